// Command landingctl is the operators' command-line tool. It changes the lists of services, customers and plans,
// excludes availability zones and upstreams, and shows the state of the balancers.
package main

import "github.com/crocuslanding/crocuslanding/landingctl/pkg/app"

func main() {
	app.Run()
}
