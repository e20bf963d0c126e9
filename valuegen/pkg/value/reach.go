package value

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/compiler/protogen"
)

// listSeparator stands between the names of messages in a parameter of the plugin.
const listSeparator = "+"

// reach is a set of messages by full name.
type reach map[string]bool

// newReach returns the messages that are named in list and all that they contain.
// It returns an error for a name that is no message.
func newReach(p *protogen.Plugin, list string) (reach, error) {
	messages := map[string]*protogen.Message{}
	for _, f := range p.Files {
		for _, m := range f.Messages {
			messages[m.GoIdent.GoName] = m
		}
	}
	r := reach{}
	for _, name := range strings.Split(list, listSeparator) {
		if name == "" {
			continue
		}
		m, found := messages[name]
		if !found {
			return nil, fmt.Errorf("no message %s", name)
		}
		r.add(m)
	}
	return r, nil
}

func (r reach) add(m *protogen.Message) {
	name := string(m.Desc.FullName())
	if r[name] {
		return
	}
	r[name] = true
	for _, f := range m.Fields {
		if f.Message != nil && !isWellKnown(f.Message) {
			r.add(f.Message)
		}
	}
}

func (r reach) has(m *protogen.Message) bool {
	return r[string(m.Desc.FullName())]
}

// messagesOf returns the messages of f that are in the set.
func (r reach) messagesOf(f *protogen.File) []*protogen.Message {
	var list []*protogen.Message
	for _, m := range f.Messages {
		if r.has(m) {
			list = append(list, m)
		}
	}
	return list
}

func isWellKnown(m *protogen.Message) bool {
	name := m.Desc.FullName()
	return name == durationName || name == timestampName
}
