package value

import (
	"fmt"

	"google.golang.org/protobuf/compiler/protogen"
	"google.golang.org/protobuf/reflect/protoreflect"
)

const (
	wirePath   = protogen.GoImportPath(coreModule + "/gen/wire")
	fieldPath  = protogen.GoImportPath(coreModule + "/pkg/field")
	formPath   = protogen.GoImportPath(coreModule + "/gen/form")
	readerPath = protogen.GoImportPath(coreModule + "/pkg/reader")
)

// writeWireFile writes, for the given messages of f, functions that encode values and decode them. The functions use the
// encoding of protocol buffers but neither the generated protobuf messages nor reflection.
func writeWireFile(p *protogen.Plugin, f *protogen.File, sealed sealedInterfaces, messages messageSet) {
	selected := messages.messagesOf(f)
	if len(selected) == 0 {
		return
	}
	g := p.NewGeneratedFile(string(wirePath)+"/"+baseName(f)+".go", wirePath)
	g.P(generatedHeader)
	g.P()
	g.P("// Package wire encodes and decodes the values of package landing in the protobuf wire format, without reflection.")
	g.P("package wire")
	for _, m := range selected {
		if sealed.isInterface(m) {
			writeInterfaceAppend(g, m)
			writeInterfaceParse(g, m)
			continue
		}
		writeAppend(g, m)
		writeParse(g, m)
	}
}

func writeInterfaceAppend(g *protogen.GeneratedFile, m *protogen.Message) {
	name := m.GoIdent.GoName
	g.P()
	g.P("// Append", name, " appends the encoding of v to b and returns the extended slice. It appends nothing when v is nil.")
	g.P("func Append", name, "(b []byte, v ", valueType(g, name), ") []byte {")
	g.P("switch v := v.(type) {")
	for _, f := range m.Fields {
		g.P("case ", valueType(g, f.Message.GoIdent.GoName), ":")
		g.P("return ", fieldFunc(g, "AppendMessage"), "(b, ", f.Desc.Number(), ", func(b []byte) []byte { return Append", f.Message.GoIdent.GoName, "(b, v) })")
	}
	g.P("}")
	g.P("return b")
	g.P("}")
}

func writeInterfaceParse(g *protogen.GeneratedFile, m *protogen.Message) {
	name := m.GoIdent.GoName
	g.P()
	g.P("// Parse", name, " returns the value encoded in b, or nil when no case is set. It returns field.ErrMalformed when b is malformed.")
	g.P("func Parse", name, "(b []byte) (", valueType(g, name), ", error) {")
	g.P("var v ", valueType(g, name))
	g.P("r := ", fieldFunc(g, "NewReader"), "(b)")
	g.P("for r.Next() {")
	g.P("switch r.Number() {")
	for _, f := range m.Fields {
		g.P("case ", f.Desc.Number(), ":")
		g.P("c, err := Parse", f.Message.GoIdent.GoName, "(r.Bytes())")
		g.P("if err != nil {")
		g.P("return nil, err")
		g.P("}")
		g.P("v = c")
	}
	g.P("}")
	g.P("}")
	g.P("return v, r.Err()")
	g.P("}")
}

func writeAppend(g *protogen.GeneratedFile, m *protogen.Message) {
	name := m.GoIdent.GoName
	g.P()
	g.P("// Append", name, " appends the encoding of v to b and returns the extended slice.")
	g.P("func Append", name, "(b []byte, v ", valueType(g, name), ") []byte {")
	for _, f := range m.Fields {
		get := "v." + f.GoName + "()"
		if f.Desc.IsList() {
			g.P("for i := range v.", f.GoName, "Len() {")
			g.P("b = ", appendElement(g, f, "v."+f.GoName+"At(i)", "Element"))
			g.P("}")
			continue
		}
		g.P("b = ", appendElement(g, f, get, ""))
	}
	g.P("return b")
	g.P("}")
}

// appendElement returns the expression that appends the value expr of field f. The suffix is empty for a single field,
// which is left out of the encoding when it is zero, unless it is a message. The suffix is "Element" for an element of a
// list, which is always written.
func appendElement(g *protogen.GeneratedFile, f *protogen.Field, expr, suffix string) string {
	number := f.Desc.Number()
	switch f.Desc.Kind() {
	case protoreflect.EnumKind:
		return fmt.Sprint(fieldFunc(g, "AppendUint"+suffix), "(b, ", number, ", uint64(", expr, "))")
	case protoreflect.MessageKind:
		return appendMessage(g, f, expr)
	default:
		return fmt.Sprint(fieldFunc(g, "Append"+fieldSuffix(f.Desc.Kind())+suffix), "(b, ", number, ", ", fieldArgument(f.Desc.Kind(), expr), ")")
	}
}

func appendMessage(g *protogen.GeneratedFile, f *protogen.Field, expr string) string {
	number := f.Desc.Number()
	switch f.Message.Desc.FullName() {
	case durationName:
		return fmt.Sprint(fieldFunc(g, "AppendDuration"), "(b, ", number, ", ", expr, ")")
	case timestampName:
		return fmt.Sprint(fieldFunc(g, "AppendTime"), "(b, ", number, ", ", expr, ")")
	default:
		return fmt.Sprint(fieldFunc(g, "AppendMessage"), "(b, ", number, ", func(b []byte) []byte { return Append", f.Message.GoIdent.GoName, "(b, ", expr, ") })")
	}
}

func writeParse(g *protogen.GeneratedFile, m *protogen.Message) {
	name := m.GoIdent.GoName
	g.P()
	g.P("// Parse", name, " returns the value encoded in b. It returns field.ErrMalformed when b is malformed.")
	g.P("func Parse", name, "(b []byte) (", valueType(g, name), ", error) {")
	g.P("v := ", valueType(g, name), "{}")
	for _, f := range m.Fields {
		if f.Desc.IsList() {
			g.P("var ", lowerFirst(f.GoName), " []", elementType(g, f))
		}
	}
	g.P("r := ", fieldFunc(g, "NewReader"), "(b)")
	g.P("for r.Next() {")
	if len(m.Fields) > 0 {
		g.P("switch r.Number() {")
		for _, f := range m.Fields {
			writeParseField(g, name, f)
		}
		g.P("}")
	}
	g.P("}")
	for _, f := range m.Fields {
		if f.Desc.IsList() {
			g.P("v = v.With", f.GoName, "(", lowerFirst(f.GoName), "...)")
		}
	}
	g.P("return v, r.Err()")
	g.P("}")
}

func writeParseField(g *protogen.GeneratedFile, name string, f *protogen.Field) {
	g.P("case ", f.Desc.Number(), ":")
	expr := parseElement(g, f)
	if f.Desc.Kind() == protoreflect.MessageKind && !isWellKnown(f.Message) {
		g.P("e, err := ", expr)
		g.P("if err != nil {")
		g.P("return ", valueType(g, name), "{}, err")
		g.P("}")
		expr = "e"
	}
	if f.Desc.IsList() {
		variable := lowerFirst(f.GoName)
		g.P(variable, " = append(", variable, ", ", expr, ")")
		return
	}
	g.P("v = v.With", f.GoName, "(", expr, ")")
}

func parseElement(g *protogen.GeneratedFile, f *protogen.Field) string {
	switch f.Desc.Kind() {
	case protoreflect.EnumKind:
		return valueType(g, f.Enum.GoIdent.GoName) + "(r.Uint())"
	case protoreflect.MessageKind:
		switch f.Message.Desc.FullName() {
		case durationName:
			return "r.Duration()"
		case timestampName:
			return "r.Time()"
		default:
			return "Parse" + f.Message.GoIdent.GoName + "(r.Bytes())"
		}
	case protoreflect.Uint32Kind:
		return "uint32(r.Uint())"
	case protoreflect.BytesKind:
		return "r.Copy()"
	default:
		return "r." + fieldSuffix(f.Desc.Kind()) + "()"
	}
}

// fieldSuffix returns the part that the names of the functions of package field for this kind have in common, such as
// Bool in AppendBool and Reader.Bool.
func fieldSuffix(k protoreflect.Kind) string {
	switch k {
	case protoreflect.BoolKind:
		return "Bool"
	case protoreflect.StringKind:
		return "String"
	case protoreflect.BytesKind:
		return "Bytes"
	case protoreflect.Uint32Kind, protoreflect.Uint64Kind:
		return "Uint"
	case protoreflect.Fixed32Kind:
		return "Fixed32"
	case protoreflect.Fixed64Kind:
		return "Fixed64"
	case protoreflect.DoubleKind:
		return "Double"
	default:
		panic("field kind is not supported: " + k.String())
	}
}

// fieldArgument returns expr, converted to the type that the Append function of package field for this kind expects.
func fieldArgument(k protoreflect.Kind, expr string) string {
	if k == protoreflect.Uint32Kind {
		return "uint64(" + expr + ")"
	}
	return expr
}

// valueType returns the qualified name of a value type.
func valueType(g *protogen.GeneratedFile, name string) string {
	return g.QualifiedGoIdent(valuePath.Ident(name))
}

// fieldFunc returns the qualified name of a function of package field.
func fieldFunc(g *protogen.GeneratedFile, name string) string {
	return g.QualifiedGoIdent(fieldPath.Ident(name))
}
