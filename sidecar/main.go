//go:build !relay

// Command sidecar runs on the instance (machine) of one upstream. It terminates the TCP flows of callers and
// admits their requests and streams to the upstream.
package main

import "github.com/crocuslanding/crocuslanding/sidecar/pkg/app"

func main() {
	app.Run()
}
