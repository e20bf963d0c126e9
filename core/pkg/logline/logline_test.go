package logline

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestWriteKeepsOrder(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := New(&out)
	w.Start()
	for _, line := range []string{"a\n", "b\n"} {
		_, err := w.Write([]byte(line))
		is.NoErr(err)
	}
	w.Stop(time.Second)
	is.Equal(out.String(), "a\nb\n")
}

// The output blocks at the first line because nothing reads the pipe.
func TestWriteDoesNotBlockOnStalledOutput(t *testing.T) {
	is := is.New(t)
	reader, out := io.Pipe()
	w := New(out)
	w.Start()
	start := time.Now()
	for range 10 * queueLines {
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(time.Since(start) < time.Second)
	is.True(w.Dropped() > 0)
	w.Stop(10 * time.Millisecond)
	is.NoErr(reader.Close())
}

// Stop writes the line "log lines left out" when lines were dropped.
func TestWriteDropsLinesOverLimitAndStopReportsThem(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := New(&out)
	w.Start()
	for range maxLinesPerSecond + 50 {
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
	}
	w.Stop(time.Second)
	is.True(strings.Count(out.String(), "line\n") <= maxLinesPerSecond)
	is.True(strings.Contains(out.String(), "log lines left out"))
}

// Events in perRequestEvents, such as "request arrived", have a limit of their own. Under high load, their lines must
// not displace a line about a reset.
func TestWriteLimitsPerRequestEventsSeparately(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := New(&out)
	w.Start()
	for range 2 * maxLinesPerSecond {
		_, err := w.Write([]byte(`"msg"="request arrived"` + "\n"))
		is.NoErr(err)
	}
	_, err := w.Write([]byte(`"msg"="flow reset"` + "\n"))
	is.NoErr(err)
	w.Stop(time.Second)
	is.True(strings.Contains(out.String(), "flow reset"))
}
