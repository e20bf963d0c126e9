// Package app runs the protoc plugin.
package app

import (
	"flag"

	"google.golang.org/protobuf/compiler/protogen"
	"google.golang.org/protobuf/types/pluginpb"

	"github.com/crocuslanding/crocuslanding/valuegen/pkg/value"
)

// Run reads the code generator request of protoc from standard input and writes the response to standard output.
func Run() {
	var flags flag.FlagSet
	pages := flags.Bool("pages", false, "write the settings page instead of code")
	var o value.Options
	flags.StringVar(&o.Wire, "wire", "", "messages, separated by plus signs, for which codecs without reflection are written")
	flags.StringVar(&o.Form, "form", "", "messages, separated by plus signs, for which JSON readers without reflection are written")
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
