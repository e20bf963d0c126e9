package value

import (
	"google.golang.org/protobuf/compiler/protogen"
	"google.golang.org/protobuf/reflect/protoreflect"
)

const (
	durationName  = "google.protobuf.Duration"
	timestampName = "google.protobuf.Timestamp"
)

// elementType returns the Go type of f in a value. For a list it is the type of one element.
func elementType(g *protogen.GeneratedFile, f *protogen.Field) string {
	switch f.Desc.Kind() {
	case protoreflect.MessageKind:
		return messageType(g, f.Message)
	case protoreflect.EnumKind:
		return g.QualifiedGoIdent(valuePath.Ident(f.Enum.GoIdent.GoName))
	case protoreflect.BytesKind:
		return "[]byte"
	default:
		return scalarType(f.Desc.Kind())
	}
}

func messageType(g *protogen.GeneratedFile, m *protogen.Message) string {
	switch m.Desc.FullName() {
	case durationName:
		return g.QualifiedGoIdent(timePath.Ident("Duration"))
	case timestampName:
		return g.QualifiedGoIdent(timePath.Ident("Time"))
	default:
		return g.QualifiedGoIdent(valuePath.Ident(m.GoIdent.GoName))
	}
}

func scalarType(k protoreflect.Kind) string {
	switch k {
	case protoreflect.BoolKind:
		return "bool"
	case protoreflect.StringKind:
		return "string"
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return "uint32"
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return "uint64"
	case protoreflect.Int64Kind:
		return "int64"
	case protoreflect.DoubleKind:
		return "float64"
	default:
		panic("field kind is not supported: " + k.String())
	}
}
