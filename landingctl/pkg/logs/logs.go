// Package logs parses the logs of several processes and finds the lines about one request or flow.
package logs

import (
	"bufio"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes limits the length of a line. It is far more than any line that the programs write.
const maxLineBytes = 1 << 16

// Line is one line of a log, with its fields by key. It is immutable.
type Line struct {
	timestamp time.Time
	text      string
	fields    map[string]string
}

// Field returns the value of a key, or an empty string if the line does not have the key.
func (l Line) Field(key string) string {
	return l.fields[key]
}

// Text returns the line exactly as it was read.
func (l Line) Text() string {
	return l.text
}

// Read returns the lines of a log, and the number of lines that it skipped because they are truncated or were written by
// another program. It returns an error if the log cannot be read to its end or has a line longer than maxLineBytes.
func Read(r io.Reader) ([]Line, int, error) {
	var lines []Line
	skipped := 0
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Text())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, scanner.Err()
}

// parseLine returns the line in text, which consists of pairs such as "key"="text" and "key"=5. It returns false if text
// does not have this form, or has no valid time or no message and so was not written by one of the programs.
func parseLine(text string) (Line, bool) {
	line := Line{text: text, fields: map[string]string{}}
	for rest := text; rest != ""; {
		var key, value string
		var ok bool
		if key, rest, ok = parseQuoted(strings.TrimLeft(rest, " ")); !ok || !strings.HasPrefix(rest, "=") {
			return Line{}, false
		}
		if value, rest, ok = parseValue(rest[1:]); !ok {
			return Line{}, false
		}
		line.fields[key] = value
	}
	timestamp, err := time.Parse(time.RFC3339Nano, line.fields["ts"])
	if err != nil || line.fields["msg"] == "" {
		return Line{}, false
	}
	line.timestamp = timestamp
	return line, true
}

// parseValue returns the value at the start of text and the rest of text after it. A value is quoted, a list in
// brackets, or anything else up to the next space. It returns false if a quote or bracket is not closed, or the value is
// empty.
func parseValue(text string) (value, rest string, ok bool) {
	if strings.HasPrefix(text, `"`) {
		return parseQuoted(text)
	}
	if strings.HasPrefix(text, "[") {
		end := strings.IndexByte(text, ']')
		if end < 0 {
			return "", "", false
		}
		return text[:end+1], text[end+1:], true
	}
	value, rest, _ = strings.Cut(text, " ")
	return value, rest, value != ""
}

// parseQuoted returns the content of the quoted string at the start of text, with escaped quotes replaced, and the rest
// of text after it. It returns false if text does not start with a complete quoted string.
func parseQuoted(text string) (value, rest string, ok bool) {
	if !strings.HasPrefix(text, `"`) {
		return "", "", false
	}
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return strings.ReplaceAll(text[1:i], `\"`, `"`), text[i+1:], true
		}
	}
	return "", "", false
}

// FilterByID returns the lines about the request or flow with this identifier: lines with the identifier, and, for a
// request, all lines about the flows on which it was sent. It sorts them by timestamp. Lines of one process keep their
// order; the order among processes is only as exact as their clocks.
func FilterByID(lines []Line, id string) []Line {
	if id == "" {
		return nil
	}
	flows := map[string]bool{id: true}
	for _, l := range lines {
		if l.Field("request") == id && l.Field("flow") != "" {
			flows[l.Field("flow")] = true
		}
	}
	var matching []Line
	for _, l := range lines {
		if l.Field("request") == id || l.Field("flow") != "" && flows[l.Field("flow")] {
			matching = append(matching, l)
		}
	}
	slices.SortStableFunc(matching, func(a, b Line) int { return a.timestamp.Compare(b.timestamp) })
	return matching
}
