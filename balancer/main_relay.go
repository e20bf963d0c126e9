//go:build relay

// Command balancer forwards whole packets from callers along chains of sidecars, to upstreams that terminate TCP
// themselves.
package main

import "github.com/crocuslanding/crocuslanding/balancer/pkg/relay"

func main() {
	relay.Run()
}
