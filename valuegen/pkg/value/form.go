package value

import (
	"google.golang.org/protobuf/compiler/protogen"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// writeFormFile writes the functions that read the given messages of f from JSON objects without protobuf reflection.
func writeFormFile(p *protogen.Plugin, f *protogen.File, messages messageSet) {
	selected := messages.messagesOf(f)
	if len(selected) == 0 {
		return
	}
	g := p.NewGeneratedFile(string(formPath)+"/"+baseName(f)+".go", formPath)
	g.P(generatedHeader)
	g.P()
	g.P("// Package form reads settings from JSON objects without protobuf reflection.")
	g.P("package form")
	for _, m := range selected {
		writeReadFunc(g, m)
	}
}

func writeReadFunc(g *protogen.GeneratedFile, m *protogen.Message) {
	name := m.GoIdent.GoName
	g.P()
	g.P("// Read", name, " reads the fields from the JSON object of r. The reader r records an error for each field with a wrong type.")
	g.P("func Read", name, "(r *", g.QualifiedGoIdent(readerPath.Ident("Reader")), ") ", valueType(g, name), " {")
	g.P("v := ", valueType(g, name), "{}")
	for _, f := range m.Fields {
		expr := "r." + readerMethod(f) + "(\"" + f.Desc.JSONName() + "\")"
		if f.Desc.IsList() {
			expr += "..."
		}
		g.P("v = v.With", f.GoName, "(", expr, ")")
	}
	g.P("return v")
	g.P("}")
}

// readerMethod returns the name of the method of reader.Reader that reads a field of the type of f.
func readerMethod(f *protogen.Field) string {
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
		panic("type of settings field is not supported: " + f.GoName)
	}
}
