package value

import (
	"strings"

	"google.golang.org/protobuf/compiler/protogen"
)

const settingsSuffix = "Settings"

// WriteSettingsPage writes a Markdown page with a table of the fields of each settings message.
func WriteSettingsPage(p *protogen.Plugin) {
	g := p.NewGeneratedFile("SETTINGS.md", "")
	g.P("# Settings")
	g.P()
	g.P("Generated from `schema/landing/v1/settings.proto`. Settings are JSON; unknown fields are rejected.")
	g.P("Durations are strings such as `\"1.5s\"`; sizes are objects such as `{\"bytes\": 1000}`.")
	for _, f := range p.Files {
		for _, m := range f.Messages {
			if strings.HasSuffix(m.GoIdent.GoName, settingsSuffix) {
				writeSettingsTable(g, m)
			}
		}
	}
}

func writeSettingsTable(g *protogen.GeneratedFile, m *protogen.Message) {
	g.P()
	g.P("## ", m.GoIdent.GoName)
	g.P()
	g.P(singleLine(m.Comments))
	g.P()
	g.P("| field | type | meaning |")
	g.P("| --- | --- | --- |")
	for _, f := range m.Fields {
		g.P("| `", f.Desc.JSONName(), "` | ", fieldTypeName(f), " | ", singleLine(f.Comments), " |")
	}
}

func fieldTypeName(f *protogen.Field) string {
	typ := f.Desc.Kind().String()
	if f.Message != nil {
		typ = f.Message.GoIdent.GoName
	}
	if f.Desc.IsList() {
		return "list of " + typ
	}
	return typ
}

// singleLine returns a comment as one line.
func singleLine(c protogen.CommentSet) string {
	return strings.Join(strings.Fields(string(c.Leading)), " ")
}
