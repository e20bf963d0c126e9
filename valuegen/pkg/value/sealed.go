package value

import (
	"fmt"

	"google.golang.org/protobuf/compiler/protogen"
)

// sealedInterfaces records which messages become sealed interfaces, and which messages implement them.
type sealedInterfaces struct {
	// interfaces holds the Go names of the messages that become sealed interfaces.
	interfaces map[string]bool
	// interfacesOfCase holds, by the Go name of a message, the names of the interfaces that the message implements.
	interfacesOfCase map[string][]string
}

// findSealedInterfaces returns the messages that consist of exactly one oneof. Each becomes a sealed interface that the
// cases of the oneof implement. It returns an error for a oneof in a message with other fields, and for a case that is
// not a message.
func findSealedInterfaces(p *protogen.Plugin) (sealedInterfaces, error) {
	s := sealedInterfaces{interfaces: map[string]bool{}, interfacesOfCase: map[string][]string{}}
	for _, f := range p.Files {
		for _, m := range f.Messages {
			if err := s.add(m); err != nil {
				return s, err
			}
		}
	}
	return s, nil
}

func (s sealedInterfaces) add(m *protogen.Message) error {
	if len(m.Oneofs) == 0 {
		return nil
	}
	if len(m.Oneofs) > 1 || len(m.Oneofs[0].Fields) != len(m.Fields) {
		return fmt.Errorf("%s: a message with a oneof must not have other fields", m.Desc.FullName())
	}
	for _, f := range m.Fields {
		if f.Message == nil {
			return fmt.Errorf("%s: a case of a oneof must be a message", f.Desc.FullName())
		}
		name := f.Message.GoIdent.GoName
		s.interfacesOfCase[name] = append(s.interfacesOfCase[name], m.GoIdent.GoName)
	}
	s.interfaces[m.GoIdent.GoName] = true
	return nil
}

func (s sealedInterfaces) isInterface(m *protogen.Message) bool {
	return s.interfaces[m.GoIdent.GoName]
}

// interfacesOf returns the names of the sealed interfaces that m implements.
func (s sealedInterfaces) interfacesOf(m *protogen.Message) []string {
	return s.interfacesOfCase[m.GoIdent.GoName]
}
