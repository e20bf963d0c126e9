// Package document reads JSON files into schema messages and collects all findings with their place.
package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/finding"
)

// wholeFile is the place of a finding that ends the reading of the file.
const wholeFile = "file"

// MaxBytes is the length of the longest file that is read.
const MaxBytes = 1 << 20

// Document is a file that was read, with the line of each field.
type Document struct {
	file     string
	data     []byte
	lines    map[string]uint32
	findings []landing.Finding
}

// Parse reads data, the content of file, into m and returns the document.
// When the document has findings, m is not filled.
func Parse(file string, data []byte, m proto.Message) *Document {
	d := &Document{file: file, data: data, lines: map[string]uint32{}}
	if len(data) > MaxBytes {
		d.AddFinding("", fmt.Sprintf("the file has %d bytes, more than %d", len(data), MaxBytes))
		return d
	}
	d.walk(m.ProtoReflect().Descriptor())
	if len(d.findings) > 0 {
		return d
	}
	if err := protojson.Unmarshal(data, m); err != nil {
		d.AddFinding("", trace.UserMessage(err))
	}
	return d
}

// Findings returns all findings so far.
func (d *Document) Findings() []landing.Finding {
	return d.findings
}

// AddFinding adds a finding about the field at place, such as customers[2].plan.
func (d *Document) AddFinding(place, fault string) {
	f := landing.Finding{}.
		WithFile(d.file).
		WithPlace(place).
		WithFault(fault).
		WithLine(d.line(place))
	d.findings = append(d.findings, f)
}

// line returns the line of the field at place, or else of the nearest field around it.
func (d *Document) line(place string) uint32 {
	for place != "" {
		if line, ok := d.lines[place]; ok {
			return line
		}
		place = place[:max(strings.LastIndexAny(place, ".["), 0)]
	}
	return 0
}

// FindingsError returns one error that reports all findings; nil when there are none.
func FindingsError(findings []landing.Finding) error {
	if len(findings) == 0 {
		return nil
	}
	errs := make([]error, 0, len(findings))
	for _, f := range findings {
		errs = append(errs, trace.BadParameter("%s", finding.Format(f)))
	}
	return trace.NewAggregate(errs...)
}

func (d *Document) walk(descriptor protoreflect.MessageDescriptor) {
	w := walker{document: d, decoder: json.NewDecoder(bytes.NewReader(d.data))}
	w.decoder.UseNumber()
	err := w.message("", descriptor)
	if err == nil {
		err = w.end()
	}
	if err != nil {
		d.lines[wholeFile] = w.line()
		d.AddFinding(wholeFile, faultOfJSON(err))
	}
}

func faultOfJSON(err error) string {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "is cut off"
	}
	return err.Error()
}
