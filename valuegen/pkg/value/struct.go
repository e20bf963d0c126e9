package value

import (
	"google.golang.org/protobuf/compiler/protogen"
)

// writeInterface writes the sealed interface for a message that consists of one oneof.
func writeInterface(g *protogen.GeneratedFile, m *protogen.Message) {
	name := m.GoIdent.GoName
	g.P()
	g.P(leadingComment(m.Comments))
	g.P("//")
	g.P("//sumtype:decl")
	g.P("type ", name, " interface {")
	g.P("is", name, "()")
	g.P("}")
}

// writeStruct writes the immutable struct type for a message, with a getter and a With method for each field.
func writeStruct(g *protogen.GeneratedFile, m *protogen.Message, sealed sealedInterfaces) {
	name := m.GoIdent.GoName
	g.P()
	g.P(leadingComment(m.Comments))
	g.P("type ", name, " struct {")
	for _, f := range m.Fields {
		g.P(lowerFirst(f.GoName), " ", fieldType(g, f))
	}
	g.P("}")
	for _, i := range sealed.interfacesOf(m) {
		g.P()
		g.P("func (", name, ") is", i, "() {}")
	}
	for _, f := range m.Fields {
		if f.Desc.IsList() {
			writeListMethods(g, name, f)
			continue
		}
		writeFieldMethods(g, name, f)
	}
}

func fieldType(g *protogen.GeneratedFile, f *protogen.Field) string {
	if f.Desc.IsList() {
		return "[]" + elementType(g, f)
	}
	return elementType(g, f)
}

func writeFieldMethods(g *protogen.GeneratedFile, receiverType string, f *protogen.Field) {
	field := lowerFirst(f.GoName)
	typ := elementType(g, f)
	g.P()
	g.P("// ", f.GoName, " returns the field of the same name.\n//")
	g.P(leadingComment(f.Comments))
	g.P("func (v ", receiverType, ") ", f.GoName, "() ", typ, " {")
	g.P("return v.", field)
	g.P("}")
	g.P()
	g.P("// With", f.GoName, " returns a copy of v with the given ", field, ".")
	g.P("func (v ", receiverType, ") With", f.GoName, "(", field, " ", typ, ") ", receiverType, " {")
	g.P("v.", field, " = ", field)
	g.P("return v")
	g.P("}")
}

func writeListMethods(g *protogen.GeneratedFile, receiverType string, f *protogen.Field) {
	field := lowerFirst(f.GoName)
	typ := elementType(g, f)
	clone := g.QualifiedGoIdent(slicesPath.Ident("Clone"))
	g.P()
	g.P("// ", f.GoName, " returns a copy of the list of the same name.\n//")
	g.P(leadingComment(f.Comments))
	g.P("func (v ", receiverType, ") ", f.GoName, "() []", typ, " {")
	g.P("return ", clone, "(v.", field, ")")
	g.P("}")
	g.P()
	g.P("// ", f.GoName, "Len returns the number of elements of ", f.GoName, ".")
	g.P("func (v ", receiverType, ") ", f.GoName, "Len() int {")
	g.P("return len(v.", field, ")")
	g.P("}")
	g.P()
	g.P("// ", f.GoName, "At returns the element of ", f.GoName, " at index i.")
	g.P("func (v ", receiverType, ") ", f.GoName, "At(i int) ", typ, " {")
	g.P("return v.", field, "[i]")
	g.P("}")
	g.P()
	g.P("// With", f.GoName, " returns a copy of v with the given ", field, ".")
	g.P("func (v ", receiverType, ") With", f.GoName, "(", field, " ...", typ, ") ", receiverType, " {")
	g.P("v.", field, " = ", clone, "(", field, ")")
	g.P("return v")
	g.P("}")
}
