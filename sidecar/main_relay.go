//go:build relay

// Command sidecar stands beside one upstream that ends flows itself, and is the last gate in front of it.
package main

import "github.com/crocuslanding/crocuslanding/sidecar/pkg/relay"

func main() {
	relay.Run()
}
