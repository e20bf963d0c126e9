// Package reader reads the fields of one JSON object by name and collects findings, the errors in them. It is used
// instead of package document in programs that do not link protobuf reflection.
package reader

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// Reader reads the fields of one JSON object by name, and records which fields were read.
type Reader struct {
	file      string
	fields    map[string]json.RawMessage
	readNames []string
	findings  []landing.Finding
}

// Open returns a reader of the file at path. When the file cannot be read, the reader has no fields and a finding with
// the error.
func Open(path string) *Reader {
	data, err := os.ReadFile(path)
	if err != nil {
		r := &Reader{file: path}
		var pathError *fs.PathError
		if errors.As(err, &pathError) {
			err = pathError.Err
		}
		r.AddFinding("file", err.Error())
		return r
	}
	return New(path, data)
}

// New returns a reader of data, the content of file. When data is not a JSON object, the reader has a finding with the
// error.
func New(file string, data []byte) *Reader {
	r := &Reader{file: file}
	if err := json.Unmarshal(data, &r.fields); err != nil {
		r.AddFinding("file", trace.UserMessage(err))
	}
	return r
}

// AddFinding adds a finding about the field at place. fault describes the error.
func (r *Reader) AddFinding(place, fault string) {
	r.findings = append(r.findings, landing.Finding{}.WithFile(r.file).WithPlace(place).WithFault(fault))
}

// Findings returns all findings that were added so far, and one for each field of the object that has not been read,
// ordered by name. It must be called after all known fields were read.
func (r *Reader) Findings() []landing.Finding {
	unknown := []string{}
	for name := range r.fields {
		if !slices.Contains(r.readNames, name) {
			unknown = append(unknown, name)
		}
	}
	slices.Sort(unknown)
	all := slices.Clone(r.findings)
	for _, name := range unknown {
		all = append(all, landing.Finding{}.WithFile(r.file).WithPlace(name).WithFault("is not a field of the settings"))
	}
	return all
}

// String returns the value of the string field with this name. It is empty when the field is missing. Like all methods
// that read a field, it adds a finding when the field has another type.
func (r *Reader) String(name string) string {
	var v string
	r.decode(name, &v, "a string")
	return v
}

// Strings returns the value of the field with this name, a list of strings. It is nil when the field is missing.
func (r *Reader) Strings(name string) []string {
	var v []string
	r.decode(name, &v, "a list of strings")
	return v
}

// Uint32 returns the value of the integer field with this name. It is 0 when the field is missing.
func (r *Reader) Uint32(name string) uint32 {
	var v uint32
	r.decode(name, &v, "a whole number")
	return v
}

// Duration returns the value of the duration field with this name, which is written as a string such as "1.5s". It is 0
// when the field is missing or empty.
func (r *Reader) Duration(name string) time.Duration {
	text := r.String(name)
	if text == "" {
		return 0
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		r.AddFinding(name, fmt.Sprintf("is not a duration: %q", text))
	}
	return v
}

func (r *Reader) decode(name string, v any, expected string) {
	r.readNames = append(r.readNames, name)
	raw, found := r.fields[name]
	if !found {
		return
	}
	if err := json.Unmarshal(raw, v); err != nil {
		r.AddFinding(name, "must be "+expected)
	}
}
