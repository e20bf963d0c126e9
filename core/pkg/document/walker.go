package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"
)

const durationName = "google.protobuf.Duration"

// walker compares the tokens of a document with the schema and notes the line of each field.
// Its methods return an error only when the JSON itself cannot be read any further.
type walker struct {
	document *Document
	decoder  *json.Decoder
}

func (w *walker) line() uint32 {
	read := w.document.data[:w.decoder.InputOffset()]
	return uint32(bytes.Count(read, []byte("\n"))) + 1
}

func (w *walker) end() error {
	_, err := w.decoder.Token()
	if errors.Is(err, io.EOF) {
		return nil
	}
	return errors.New("more follows after the end")
}

func (w *walker) message(place string, descriptor protoreflect.MessageDescriptor) error {
	token, err := w.decoder.Token()
	if err != nil {
		return err
	}
	if token != json.Delim('{') {
		w.document.AddFinding(place, "must be an object")
		return w.skipRest(token)
	}
	seen := map[string]bool{}
	for w.decoder.More() {
		if err := w.field(place, descriptor, seen); err != nil {
			return err
		}
	}
	_, err = w.decoder.Token()
	return err
}

func (w *walker) field(place string, descriptor protoreflect.MessageDescriptor, seen map[string]bool) error {
	token, err := w.decoder.Token()
	if err != nil {
		return err
	}
	name, _ := token.(string)
	inner := join(place, name)
	if seen[name] {
		w.document.AddFinding(inner, "is given twice")
	}
	seen[name] = true
	w.document.lines[inner] = w.line()
	f := descriptor.Fields().ByJSONName(name)
	if f == nil {
		w.document.AddFinding(inner, "is not a known field")
		return w.skip()
	}
	if f.IsList() {
		return w.list(inner, f)
	}
	return w.value(inner, f)
}

func (w *walker) list(place string, f protoreflect.FieldDescriptor) error {
	token, err := w.decoder.Token()
	if err != nil {
		return err
	}
	if token != json.Delim('[') {
		w.document.AddFinding(place, "must be a list")
		return w.skipRest(token)
	}
	for i := 0; w.decoder.More(); i++ {
		inner := fmt.Sprintf("%s[%d]", place, i)
		w.document.lines[inner] = w.line()
		if err := w.value(inner, f); err != nil {
			return err
		}
	}
	_, err = w.decoder.Token()
	return err
}

func (w *walker) value(place string, f protoreflect.FieldDescriptor) error {
	if f.Kind() == protoreflect.MessageKind && f.Message().FullName() != durationName {
		return w.message(place, f.Message())
	}
	token, err := w.decoder.Token()
	if err != nil {
		return err
	}
	if fault := faultOf(token, f); fault != "" {
		w.document.AddFinding(place, fault)
	}
	return w.skipRest(token)
}

func faultOf(token json.Token, f protoreflect.FieldDescriptor) string {
	switch f.Kind() {
	case protoreflect.MessageKind:
		return faultOfDuration(token)
	case protoreflect.StringKind:
		if _, ok := token.(string); !ok {
			return "must be a string"
		}
	case protoreflect.EnumKind:
		return faultOfEnum(token, f.Enum())
	case protoreflect.BoolKind:
		if _, ok := token.(bool); !ok {
			return "must be true or false"
		}
	default:
		return faultOfNumber(token)
	}
	return ""
}

func faultOfDuration(token json.Token) string {
	text, ok := token.(string)
	if !ok {
		return "must be a duration such as \"1.5s\""
	}
	d, err := time.ParseDuration(text)
	if err != nil || len(text) == 0 || text[len(text)-1] != 's' {
		return "must be a duration in seconds such as \"1.5s\""
	}
	if d < 0 {
		return "must not be negative"
	}
	return ""
}

func faultOfEnum(token json.Token, e protoreflect.EnumDescriptor) string {
	text, ok := token.(string)
	if ok && e.Values().ByName(protoreflect.Name(text)) != nil {
		return ""
	}
	return "must be a name of " + string(e.Name())
}

func faultOfNumber(token json.Token) string {
	n, ok := token.(json.Number)
	if !ok {
		return "must be a number"
	}
	i, err := n.Int64()
	if err != nil || i < 0 {
		return "must be a whole number from 0"
	}
	return ""
}

// skip passes over the next value.
func (w *walker) skip() error {
	token, err := w.decoder.Token()
	if err != nil {
		return err
	}
	return w.skipRest(token)
}

// skipRest passes over what remains of a value whose first token was read.
func (w *walker) skipRest(first json.Token) error {
	depth := depthOf(first)
	for depth > 0 {
		token, err := w.decoder.Token()
		if err != nil {
			return err
		}
		depth += depthOf(token)
	}
	return nil
}

func depthOf(token json.Token) int {
	switch token {
	case json.Delim('{'), json.Delim('['):
		return 1
	case json.Delim('}'), json.Delim(']'):
		return -1
	default:
		return 0
	}
}

func join(place, name string) string {
	if place == "" {
		return name
	}
	return place + "." + name
}
