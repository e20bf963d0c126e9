// Command standin runs stand-ins for the systems around crocuslanding: the platform (a store of versioned objects), the
// fabric (the network between callers and balancers), an upstream, or HTTP clients. Tests and demonstrations use them in
// place of the real systems.
package main

import "github.com/crocuslanding/crocuslanding/standin/pkg/app"

func main() {
	app.Run()
}
