package value

import (
	"google.golang.org/protobuf/compiler/protogen"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// writeCodecFile writes the functions that convert between the values and the protobuf messages of f.
func writeCodecFile(p *protogen.Plugin, f *protogen.File, sealed sealedInterfaces) {
	g := p.NewGeneratedFile(string(codecPath)+"/"+baseName(f)+".go", codecPath)
	g.P(generatedHeader)
	g.P()
	g.P("// Package codec converts between the values of package landing and the protobuf messages of package landingpb.")
	g.P("package codec")
	for _, m := range f.Messages {
		if sealed.isInterface(m) {
			writeInterfaceCodec(g, m)
			continue
		}
		writeEncode(g, m)
		writeDecode(g, m)
	}
}

func writeInterfaceCodec(g *protogen.GeneratedFile, m *protogen.Message) {
	name := m.GoIdent.GoName
	value := g.QualifiedGoIdent(valuePath.Ident(name))
	message := g.QualifiedGoIdent(m.GoIdent)
	g.P()
	g.P("// Encode", name, " converts v to its protobuf message. It returns an empty message when v is nil.")
	g.P("func Encode", name, "(v ", value, ") *", message, " {")
	g.P("switch v := v.(type) {")
	for _, f := range m.Fields {
		caseName := f.Message.GoIdent.GoName
		g.P("case ", g.QualifiedGoIdent(valuePath.Ident(caseName)), ":")
		g.P("return &", message, "{", m.Oneofs[0].GoName, ": &", g.QualifiedGoIdent(f.GoIdent), "{", f.GoName, ": Encode", caseName, "(v)}}")
	}
	g.P("default:")
	g.P("return &", message, "{}")
	g.P("}")
	g.P("}")
	g.P()
	g.P("// Decode", name, " converts the protobuf message m to its value. It returns nil when no case of m is set.")
	g.P("func Decode", name, "(m *", message, ") ", value, " {")
	g.P("switch c := m.Get", m.Oneofs[0].GoName, "().(type) {")
	for _, f := range m.Fields {
		g.P("case *", g.QualifiedGoIdent(f.GoIdent), ":")
		g.P("return Decode", f.Message.GoIdent.GoName, "(c.", f.GoName, ")")
	}
	g.P("default:")
	g.P("return nil")
	g.P("}")
	g.P("}")
}

func writeEncode(g *protogen.GeneratedFile, m *protogen.Message) {
	name := m.GoIdent.GoName
	g.P()
	g.P("// Encode", name, " converts v to its protobuf message.")
	g.P("func Encode", name, "(v ", g.QualifiedGoIdent(valuePath.Ident(name)), ") *", g.QualifiedGoIdent(m.GoIdent), " {")
	g.P("m := &", g.QualifiedGoIdent(m.GoIdent), "{}")
	for _, f := range m.Fields {
		if !f.Desc.IsList() {
			g.P("m.", f.GoName, " = ", encodeElement(g, f, "v."+f.GoName+"()"))
			continue
		}
		g.P("for i := range v.", f.GoName, "Len() {")
		g.P("m.", f.GoName, " = append(m.", f.GoName, ", ", encodeElement(g, f, "v."+f.GoName+"At(i)"), ")")
		g.P("}")
	}
	g.P("return m")
	g.P("}")
}

func writeDecode(g *protogen.GeneratedFile, m *protogen.Message) {
	name := m.GoIdent.GoName
	value := g.QualifiedGoIdent(valuePath.Ident(name))
	g.P()
	g.P("// Decode", name, " converts the protobuf message m to its value. Unset fields (all fields of a nil m) become zero, times 1970-01-01 UTC.")
	g.P("func Decode", name, "(m *", g.QualifiedGoIdent(m.GoIdent), ") ", value, " {")
	g.P("v := ", value, "{}")
	for _, f := range m.Fields {
		if !f.Desc.IsList() {
			g.P("v = v.With", f.GoName, "(", decodeElement(g, f, "m.Get"+f.GoName+"()"), ")")
			continue
		}
		variable := lowerFirst(f.GoName)
		g.P("var ", variable, " []", elementType(g, f))
		g.P("for _, e := range m.Get", f.GoName, "() {")
		g.P(variable, " = append(", variable, ", ", decodeElement(g, f, "e"), ")")
		g.P("}")
		g.P("v = v.With", f.GoName, "(", variable, "...)")
	}
	g.P("return v")
	g.P("}")
}

func encodeElement(g *protogen.GeneratedFile, f *protogen.Field, expr string) string {
	switch f.Desc.Kind() {
	case protoreflect.EnumKind:
		return g.QualifiedGoIdent(f.Enum.GoIdent) + "(" + expr + ")"
	case protoreflect.MessageKind:
		return encodeMessage(g, f, expr)
	default:
		return expr
	}
}

func encodeMessage(g *protogen.GeneratedFile, f *protogen.Field, expr string) string {
	switch f.Message.Desc.FullName() {
	case durationName:
		return g.QualifiedGoIdent(protogen.GoImportPath("google.golang.org/protobuf/types/known/durationpb").Ident("New")) + "(" + expr + ")"
	case timestampName:
		return g.QualifiedGoIdent(protogen.GoImportPath("google.golang.org/protobuf/types/known/timestamppb").Ident("New")) + "(" + expr + ")"
	default:
		return "Encode" + f.Message.GoIdent.GoName + "(" + expr + ")"
	}
}

func decodeElement(g *protogen.GeneratedFile, f *protogen.Field, expr string) string {
	switch f.Desc.Kind() {
	case protoreflect.EnumKind:
		return g.QualifiedGoIdent(valuePath.Ident(f.Enum.GoIdent.GoName)) + "(" + expr + ")"
	case protoreflect.MessageKind:
		return decodeMessage(f, expr)
	default:
		return expr
	}
}

func decodeMessage(f *protogen.Field, expr string) string {
	switch f.Message.Desc.FullName() {
	case durationName:
		return expr + ".AsDuration()"
	case timestampName:
		return expr + ".AsTime()"
	default:
		return "Decode" + f.Message.GoIdent.GoName + "(" + expr + ")"
	}
}
