package value

import (
	"strings"

	"google.golang.org/protobuf/compiler/protogen"
)

// writeEnum writes the type, the constants and the String method of e.
func writeEnum(g *protogen.GeneratedFile, e *protogen.Enum) {
	name := e.GoIdent.GoName
	g.P()
	g.P(leadingComment(e.Comments))
	g.P("type ", name, " uint8")
	g.P()
	g.P("// Values of ", name, ".")
	g.P("const (")
	for _, v := range e.Values {
		g.P(leadingComment(v.Comments))
		g.P(enumConstant(e, v), " ", name, " = ", v.Desc.Number())
	}
	g.P(")")
	g.P()
	g.P("// String returns the name of the value in lower case, or \"invalid\" when v is not one of the values.")
	g.P("func (v ", name, ") String() string {")
	g.P("switch v {")
	for _, v := range e.Values {
		g.P("case ", enumConstant(e, v), ":")
		g.P(`return "`, strings.ToLower(enumSuffix(e, v)), `"`)
	}
	g.P("default:")
	g.P(`return "invalid"`)
	g.P("}")
	g.P("}")
}

func enumSuffix(e *protogen.Enum, v *protogen.EnumValue) string {
	prefix := strings.ToUpper(string(e.Desc.Name())) + "_"
	return strings.TrimPrefix(string(v.Desc.Name()), prefix)
}

func enumConstant(e *protogen.Enum, v *protogen.EnumValue) string {
	s := strings.ToLower(enumSuffix(e, v))
	return e.GoIdent.GoName + strings.ToUpper(s[:1]) + s[1:]
}
