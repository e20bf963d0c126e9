//go:build !relay

// Command sidecar runs on the instance of one upstream. It terminates the flows of callers and admits
// their requests and streams to the upstream.
package main

import "github.com/crocuslanding/crocuslanding/sidecar/pkg/app"

func main() {
	app.Run()
}
