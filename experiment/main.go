// Command experiment measures a deployment under load and failures, and writes tables and plots.
package main

import "github.com/crocuslanding/crocuslanding/experiment/pkg/app"

func main() {
	app.Run()
}
