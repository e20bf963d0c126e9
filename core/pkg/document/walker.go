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

const durationMessage = "google.protobuf.Duration"

// walker compares the JSON tokens of a document with the schema. It records the line of each field and adds a finding
// for each difference. Its methods return an error only when the JSON itself cannot be read any further.
type walker struct {
	document *Document
	decoder  *json.Decoder
}

func (w *walker) currentLine() uint32 {
	read := w.document.data[:w.decoder.InputOffset()]
	return uint32(bytes.Count(read, []byte("\n"))) + 1
}

func (w *walker) expectEnd() error {
	_, err := w.decoder.Token()
	if errors.Is(err, io.EOF) {
		return nil
	}
	return errors.New("more follows after the end")
}

func (w *walker) walkMessage(place string, descriptor protoreflect.MessageDescriptor) error {
	token, err := w.decoder.Token()
	if err != nil {
		return err
	}
	if token != json.Delim('{') {
		w.document.AddFinding(place, "must be an object")
		return w.skipRemainder(token)
	}
	seenNames := map[string]bool{}
	for w.decoder.More() {
		if err := w.walkField(place, descriptor, seenNames); err != nil {
			return err
		}
	}
	_, err = w.decoder.Token()
	return err
}

func (w *walker) walkField(place string, descriptor protoreflect.MessageDescriptor, seenNames map[string]bool) error {
	token, err := w.decoder.Token()
	if err != nil {
		return err
	}
	name, _ := token.(string)
	fieldPlace := joinPlace(place, name)
	if seenNames[name] {
		w.document.AddFinding(fieldPlace, "is given twice")
	}
	seenNames[name] = true
	w.document.lineOfPlace[fieldPlace] = w.currentLine()
	f := descriptor.Fields().ByJSONName(name)
	if f == nil {
		w.document.AddFinding(fieldPlace, "is not a known field")
		return w.skip()
	}
	if f.IsList() {
		return w.walkList(fieldPlace, f)
	}
	return w.walkValue(fieldPlace, f)
}

func (w *walker) walkList(place string, f protoreflect.FieldDescriptor) error {
	token, err := w.decoder.Token()
	if err != nil {
		return err
	}
	if token != json.Delim('[') {
		w.document.AddFinding(place, "must be a list")
		return w.skipRemainder(token)
	}
	for i := 0; w.decoder.More(); i++ {
		elementPlace := fmt.Sprintf("%s[%d]", place, i)
		w.document.lineOfPlace[elementPlace] = w.currentLine()
		if err := w.walkValue(elementPlace, f); err != nil {
			return err
		}
	}
	_, err = w.decoder.Token()
	return err
}

func (w *walker) walkValue(place string, f protoreflect.FieldDescriptor) error {
	if f.Kind() == protoreflect.MessageKind && f.Message().FullName() != durationMessage {
		return w.walkMessage(place, f.Message())
	}
	token, err := w.decoder.Token()
	if err != nil {
		return err
	}
	if fault := valueFault(token, f); fault != "" {
		w.document.AddFinding(place, fault)
	}
	return w.skipRemainder(token)
}

// valueFault returns what is wrong with a value of field f that begins with this token. It returns an empty string when
// nothing is wrong.
func valueFault(token json.Token, f protoreflect.FieldDescriptor) string {
	switch f.Kind() {
	case protoreflect.MessageKind:
		return durationFault(token)
	case protoreflect.StringKind:
		if _, ok := token.(string); !ok {
			return "must be a string"
		}
	case protoreflect.EnumKind:
		return enumFault(token, f.Enum())
	case protoreflect.BoolKind:
		if _, ok := token.(bool); !ok {
			return "must be true or false"
		}
	default:
		return numberFault(token)
	}
	return ""
}

func durationFault(token json.Token) string {
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

func enumFault(token json.Token, e protoreflect.EnumDescriptor) string {
	text, ok := token.(string)
	if ok && e.Values().ByName(protoreflect.Name(text)) != nil {
		return ""
	}
	return "must be a name of " + string(e.Name())
}

func numberFault(token json.Token) string {
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

// skip reads the next value and discards it.
func (w *walker) skip() error {
	token, err := w.decoder.Token()
	if err != nil {
		return err
	}
	return w.skipRemainder(token)
}

// skipRemainder reads and discards the rest of a value whose first token was read before.
func (w *walker) skipRemainder(firstToken json.Token) error {
	depth := depthChange(firstToken)
	for depth > 0 {
		token, err := w.decoder.Token()
		if err != nil {
			return err
		}
		depth += depthChange(token)
	}
	return nil
}

func depthChange(token json.Token) int {
	switch token {
	case json.Delim('{'), json.Delim('['):
		return 1
	case json.Delim('}'), json.Delim(']'):
		return -1
	default:
		return 0
	}
}

func joinPlace(place, name string) string {
	if place == "" {
		return name
	}
	return place + "." + name
}
