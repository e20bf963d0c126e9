//go:build !relay

// Command sidecar stands beside one upstream, ends callers' flows and admits their work.
package main

import "github.com/crocuslanding/crocuslanding/sidecar/pkg/app"

func main() {
	app.Run()
}
