// Command protoc-gen-value is a protoc plugin that writes immutable value types,
// sealed interfaces and their codecs from the schema.
package main

import "github.com/crocuslanding/crocuslanding/valuegen/pkg/app"

func main() {
	app.Run()
}
