// Command landingctl is the command line of the operators.
package main

import "github.com/crocuslanding/crocuslanding/landingctl/pkg/app"

func main() {
	app.Run()
}
