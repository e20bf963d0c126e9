// Command standin runs small stand-ins for the systems around crocuslanding: the platform,
// the fabric and an upstream.
package main

import "github.com/crocuslanding/crocuslanding/standin/pkg/app"

func main() {
	app.Run()
}
