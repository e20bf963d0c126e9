package value

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/compiler/protogen"
)

// nameSeparator separates the names of messages in a parameter of the plugin.
const nameSeparator = "+"

// messageSet is a set of messages, by full name.
type messageSet map[string]bool

// newMessageSet returns the messages whose Go names are in names, separated by nameSeparator, and the messages of their
// fields at any depth. It returns an error for a name that no message has.
func newMessageSet(p *protogen.Plugin, names string) (messageSet, error) {
	messages := map[string]*protogen.Message{}
	for _, f := range p.Files {
		for _, m := range f.Messages {
			messages[m.GoIdent.GoName] = m
		}
	}
	s := messageSet{}
	for _, name := range strings.Split(names, nameSeparator) {
		if name == "" {
			continue
		}
		m, found := messages[name]
		if !found {
			return nil, fmt.Errorf("there is no message %q in the schema", name)
		}
		s.add(m)
	}
	return s, nil
}

func (s messageSet) add(m *protogen.Message) {
	name := string(m.Desc.FullName())
	if s[name] {
		return
	}
	s[name] = true
	for _, f := range m.Fields {
		if f.Message != nil && !isWellKnown(f.Message) {
			s.add(f.Message)
		}
	}
}

func (s messageSet) has(m *protogen.Message) bool {
	return s[string(m.Desc.FullName())]
}

// messagesOf returns the messages of f that are in the set.
func (s messageSet) messagesOf(f *protogen.File) []*protogen.Message {
	var selected []*protogen.Message
	for _, m := range f.Messages {
		if s.has(m) {
			selected = append(selected, m)
		}
	}
	return selected
}

func isWellKnown(m *protogen.Message) bool {
	name := m.Desc.FullName()
	return name == durationName || name == timestampName
}
