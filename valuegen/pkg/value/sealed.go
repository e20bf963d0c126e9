package value

import (
	"fmt"

	"google.golang.org/protobuf/compiler/protogen"
)

// sealedSet knows which messages become sealed interfaces, and which are their cases.
type sealedSet struct {
	interfaces map[string]bool
	cases      map[string][]string
}

// findSealed collects the messages that consist of one oneof.
// It returns an error for a oneof beside other fields and for a case that is no message.
func findSealed(p *protogen.Plugin) (sealedSet, error) {
	s := sealedSet{interfaces: map[string]bool{}, cases: map[string][]string{}}
	for _, f := range p.Files {
		for _, m := range f.Messages {
			if err := s.add(m); err != nil {
				return s, err
			}
		}
	}
	return s, nil
}

func (s sealedSet) add(m *protogen.Message) error {
	if len(m.Oneofs) == 0 {
		return nil
	}
	if len(m.Oneofs) > 1 || len(m.Oneofs[0].Fields) != len(m.Fields) {
		return fmt.Errorf("%s: a oneof must be alone in its message", m.Desc.FullName())
	}
	for _, f := range m.Fields {
		if f.Message == nil {
			return fmt.Errorf("%s: a case of a oneof must be a message", f.Desc.FullName())
		}
		name := f.Message.GoIdent.GoName
		s.cases[name] = append(s.cases[name], m.GoIdent.GoName)
	}
	s.interfaces[m.GoIdent.GoName] = true
	return nil
}

func (s sealedSet) isInterface(m *protogen.Message) bool {
	return s.interfaces[m.GoIdent.GoName]
}

// interfacesOf returns the names of the sealed interfaces of which m is a case.
func (s sealedSet) interfacesOf(m *protogen.Message) []string {
	return s.cases[m.GoIdent.GoName]
}
