// Command protoc-gen-value is a protoc plugin that generates Go code from the schema: immutable value types, sealed
// interfaces, and the functions that encode and decode them. It can also write the page of all settings.
package main

import "github.com/crocuslanding/crocuslanding/valuegen/pkg/app"

func main() {
	app.Run()
}
