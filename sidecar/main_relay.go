//go:build relay

// Command sidecar runs on the instance of one upstream that terminates TCP itself. It makes the final
// decision which new flows the upstream gets.
package main

import "github.com/crocuslanding/crocuslanding/sidecar/pkg/relay"

func main() {
	relay.Run()
}
