//go:build !relay

// Command balancer forwards packets from callers along chains of sidecars.
package main

import "github.com/crocuslanding/crocuslanding/balancer/pkg/app"

func main() {
	app.Run()
}
