//go:build !relay

// Command balancer sends callers' packets along chains of sidecars.
package main

import "github.com/crocuslanding/crocuslanding/balancer/pkg/app"

func main() {
	app.Run()
}
