// Package app runs the protoc plugin.
package app

import (
	"flag"

	"google.golang.org/protobuf/compiler/protogen"
	"google.golang.org/protobuf/types/pluginpb"

	"github.com/crocuslanding/crocuslanding/valuegen/pkg/value"
)

// Run reads the request of protoc from standard input and answers it on standard output.
func Run() {
	var flags flag.FlagSet
	pages := flags.Bool("pages", false, "write the page of settings in place of code")
	var o value.Options
	flags.StringVar(&o.Wire, "wire", "", "messages that get codecs without reflection")
	flags.StringVar(&o.Form, "form", "", "messages that are read from JSON without reflection")
	opts := protogen.Options{ParamFunc: flags.Set}
	opts.Run(func(p *protogen.Plugin) error {
		p.SupportedFeatures = uint64(pluginpb.CodeGeneratorResponse_FEATURE_PROTO3_OPTIONAL)
		if *pages {
			value.WriteSettingsPage(p)
			return nil
		}
		return value.WriteCode(p, o)
	})
}
