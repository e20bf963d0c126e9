package value

import (
	"google.golang.org/protobuf/compiler/protogen"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// writeFormFile writes functions that read values from JSON objects without reflection.
func writeFormFile(p *protogen.Plugin, f *protogen.File, messages reach) {
	list := messages.messagesOf(f)
	if len(list) == 0 {
		return
	}
	g := p.NewGeneratedFile(string(formPath)+"/"+stem(f)+".go", formPath)
	g.P(header)
	g.P()
	g.P("// Package form reads settings from JSON objects and collects all findings.")
	g.P("package form")
	for _, m := range list {
		writeRead(g, m)
	}
}

func writeRead(g *protogen.GeneratedFile, m *protogen.Message) {
	name := m.GoIdent.GoName
	g.P()
	g.P("// Read", name, " returns the value of the object that r reads; r collects the findings.")
	g.P("func Read", name, "(r *", g.QualifiedGoIdent(readerPath.Ident("Reader")), ") ", value(g, name), " {")
	g.P("v := ", value(g, name), "{}")
	for _, f := range m.Fields {
		expr := "r." + formName(f) + "(\"" + f.Desc.JSONName() + "\")"
		if f.Desc.IsList() {
			expr += "..."
		}
		g.P("v = v.With", f.GoName, "(", expr, ")")
	}
	g.P("return v")
	g.P("}")
}

func formName(f *protogen.Field) string {
	kind := f.Desc.Kind()
	switch {
	case f.Desc.IsList() && kind == protoreflect.StringKind:
		return "Strings"
	case kind == protoreflect.StringKind:
		return "String"
	case kind == protoreflect.Uint32Kind:
		return "Uint32"
	case kind == protoreflect.MessageKind && f.Message.Desc.FullName() == durationName:
		return "Duration"
	default:
		panic("field of settings not supported: " + f.GoName)
	}
}
