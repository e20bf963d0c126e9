//go:build relay

// Command balancer sends callers' packets along chains of sidecars that relay them whole.
package main

import "github.com/crocuslanding/crocuslanding/balancer/pkg/relay"

func main() {
	relay.Run()
}
