// Package reader reads one JSON object field by field and collects all findings with their place.
// It stands in for package document in programs that leave out reflection over messages.
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

// Reader reads the fields of one object. Each field is read once by name.
type Reader struct {
	file     string
	fields   map[string]json.RawMessage
	read     []string
	findings []landing.Finding
}

// Open reads the file at path. A file that cannot be read is a finding as well.
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

// New returns a reader of data, the content of file.
func New(file string, data []byte) *Reader {
	r := &Reader{file: file}
	if err := json.Unmarshal(data, &r.fields); err != nil {
		r.AddFinding("file", trace.UserMessage(err))
	}
	return r
}

// AddFinding adds a finding about the field at place.
func (r *Reader) AddFinding(place, fault string) {
	r.findings = append(r.findings, landing.Finding{}.WithFile(r.file).WithPlace(place).WithFault(fault))
}

// Findings returns all findings so far and those about fields that nobody has read.
func (r *Reader) Findings() []landing.Finding {
	unknown := []string{}
	for name := range r.fields {
		if !slices.Contains(r.read, name) {
			unknown = append(unknown, name)
		}
	}
	slices.Sort(unknown)
	all := slices.Clone(r.findings)
	for _, name := range unknown {
		all = append(all, landing.Finding{}.WithFile(r.file).WithPlace(name).WithFault("is no field of the settings"))
	}
	return all
}

// String returns the text of this name; an empty one when there is none.
func (r *Reader) String(name string) string {
	var v string
	r.decode(name, &v, "a text")
	return v
}

// Strings returns the list of texts of this name.
func (r *Reader) Strings(name string) []string {
	var v []string
	r.decode(name, &v, "a list of texts")
	return v
}

// Uint32 returns the number of this name.
func (r *Reader) Uint32(name string) uint32 {
	var v uint32
	r.decode(name, &v, "a whole number")
	return v
}

// Duration returns the duration of this name, written as a text such as 1.5s.
func (r *Reader) Duration(name string) time.Duration {
	text := r.String(name)
	if text == "" {
		return 0
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		r.AddFinding(name, fmt.Sprintf("is no duration: %q", text))
	}
	return v
}

func (r *Reader) decode(name string, v any, kind string) {
	r.read = append(r.read, name)
	raw, found := r.fields[name]
	if !found {
		return
	}
	if err := json.Unmarshal(raw, v); err != nil {
		r.AddFinding(name, "must be "+kind)
	}
}
