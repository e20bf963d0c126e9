// Package logs finds the lines of one request or flow in the logs of several processes.
package logs

import (
	"bufio"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes is far more than any line of the programs has.
const maxLineBytes = 1 << 16

// Line is one line of a log. It is immutable.
type Line struct {
	time   time.Time
	text   string
	fields map[string]string
}

// Field returns the value of a key; an empty text when the line has none.
func (l Line) Field(key string) string {
	return l.fields[key]
}

// Text returns the line as it stands in the log.
func (l Line) Text() string {
	return l.text
}

// Read returns the lines of a log, and the number of those that were passed over: cut off, or of another program.
// It returns an error when the log cannot be read to its end.
func Read(r io.Reader) ([]Line, int, error) {
	var lines []Line
	skipped := 0
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, scanner.Err()
}

// parse reads pairs such as "key"="text" and "key"=5. A line without a time and a message is none of the programs'.
func parse(text string) (Line, bool) {
	l := Line{text: text, fields: map[string]string{}}
	for rest := text; rest != ""; {
		var key, value string
		var ok bool
		if key, rest, ok = quoted(strings.TrimLeft(rest, " ")); !ok || !strings.HasPrefix(rest, "=") {
			return Line{}, false
		}
		if value, rest, ok = valueOf(rest[1:]); !ok {
			return Line{}, false
		}
		l.fields[key] = value
	}
	at, err := time.Parse(time.RFC3339Nano, l.fields["ts"])
	if err != nil || l.fields["msg"] == "" {
		return Line{}, false
	}
	l.time = at
	return l, true
}

func valueOf(text string) (value, rest string, ok bool) {
	if strings.HasPrefix(text, `"`) {
		return quoted(text)
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

// quoted reads a text in quotes at the start.
func quoted(text string) (value, rest string, ok bool) {
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

// Story returns the lines about a request or a flow: those that name it, and those about the flows on which the request
// was sent. They are ordered by the times of their processes, whose clocks may differ; lines of one process stay in
// order.
func Story(lines []Line, id string) []Line {
	if id == "" {
		return nil
	}
	flows := map[string]bool{id: true}
	for _, l := range lines {
		if l.Field("request") == id && l.Field("flow") != "" {
			flows[l.Field("flow")] = true
		}
	}
	var story []Line
	for _, l := range lines {
		if l.Field("request") == id || l.Field("flow") != "" && flows[l.Field("flow")] {
			story = append(story, l)
		}
	}
	slices.SortStableFunc(story, func(a, b Line) int { return a.time.Compare(b.time) })
	return story
}
