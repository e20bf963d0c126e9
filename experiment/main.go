// Command experiment measures deployments under load and during failures. It prints tables and writes plots.
package main

import "github.com/crocuslanding/crocuslanding/experiment/pkg/app"

func main() {
	app.Run()
}
