// Package document reads JSON files into schema messages. It reports all errors of a file at once, as findings that
// name the field (its place) and its line.
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

// wholeFile is the place of a finding about JSON that cannot be read any further.
const wholeFile = "file"

// MaxBytes is the largest size in bytes of a file that Parse accepts.
const MaxBytes = 1 << 20

// Document is the content of a file, with the line of each field and the findings about them.
type Document struct {
	file        string
	data        []byte
	lineOfPlace map[string]uint32
	findings    []landing.Finding
}

// Parse decodes data, the content of file, into m and returns the document. When the document has findings, m must
// not be used.
func Parse(file string, data []byte, m proto.Message) *Document {
	d := &Document{file: file, data: data, lineOfPlace: map[string]uint32{}}
	if len(data) > MaxBytes {
		d.AddFinding("", fmt.Sprintf("the file has %d bytes, more than %d", len(data), MaxBytes))
		return d
	}
	d.checkAgainstSchema(m.ProtoReflect().Descriptor())
	if len(d.findings) > 0 {
		return d
	}
	if err := protojson.Unmarshal(data, m); err != nil {
		d.AddFinding("", trace.UserMessage(err))
	}
	return d
}

// Findings returns all findings that were added so far.
func (d *Document) Findings() []landing.Finding {
	return d.findings
}

// AddFinding adds a finding about the field at place, such as customers[2].plan.
func (d *Document) AddFinding(place, fault string) {
	f := landing.Finding{}.
		WithFile(d.file).
		WithPlace(place).
		WithFault(fault).
		WithLine(d.lineOf(place))
	d.findings = append(d.findings, f)
}

// lineOf returns the line of the field at place, or of the nearest enclosing field when the file lacks the field. It
// returns 0 when there is neither.
func (d *Document) lineOf(place string) uint32 {
	for place != "" {
		if line, ok := d.lineOfPlace[place]; ok {
			return line
		}
		place = place[:max(strings.LastIndexAny(place, ".["), 0)]
	}
	return 0
}

// FindingsError returns one error that joins a trace.BadParameter error for each finding. It returns nil when there are
// no findings.
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

func (d *Document) checkAgainstSchema(descriptor protoreflect.MessageDescriptor) {
	w := walker{document: d, decoder: json.NewDecoder(bytes.NewReader(d.data))}
	w.decoder.UseNumber()
	err := w.walkMessage("", descriptor)
	if err == nil {
		err = w.expectEnd()
	}
	if err != nil {
		d.lineOfPlace[wholeFile] = w.currentLine()
		d.AddFinding(wholeFile, describeJSONError(err))
	}
}

func describeJSONError(err error) string {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "is cut off"
	}
	return err.Error()
}
