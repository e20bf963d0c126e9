// Command experiment measures deployments under load, the cost of messages and lists, and the effect of changes of the
// fleet. It prints tables and writes plots.
package main

import "github.com/crocuslanding/crocuslanding/experiment/pkg/app"

func main() {
	app.Run()
}
