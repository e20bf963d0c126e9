// Package finding formats the findings of configuration checks as text. A finding is an error in a file,
// with its place, such as customers[2].plan, and a description of the fault.
package finding

import (
	"fmt"
	"strings"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// Format returns the finding as "file:line: place: fault". Parts that are unknown are left out.
func Format(f landing.Finding) string {
	parts := []string{}
	if f.File() != "" && f.Line() > 0 {
		parts = append(parts, fmt.Sprintf("%s:%d", f.File(), f.Line()))
	} else if f.File() != "" {
		parts = append(parts, f.File())
	}
	if f.Place() != "" {
		parts = append(parts, f.Place())
	}
	return strings.Join(append(parts, f.Fault()), ": ")
}
