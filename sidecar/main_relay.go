//go:build relay

// Command sidecar runs on the instance (machine) of one upstream that terminates TCP itself. It passes whole
// packets on to the upstream and makes the final decision which new flows the upstream gets.
package main

import "github.com/crocuslanding/crocuslanding/sidecar/pkg/relay"

func main() {
	relay.Run()
}
