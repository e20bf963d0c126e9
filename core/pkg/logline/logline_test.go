package logline

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLinesAreWrittenInOrder(t *testing.T) {
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

// Nobody reads the output: the pipe is full at once.
func TestOutputThatNobodyReadsHoldsUpNothing(t *testing.T) {
	is := is.New(t)
	reader, out := io.Pipe()
	w := New(out)
	w.Start()
	start := time.Now()
	for range 10 * waiting {
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(time.Since(start) < time.Second)
	is.True(w.Dropped() > 0)
	w.Stop(10 * time.Millisecond)
	is.NoErr(reader.Close())
}

func TestVolumeOfASecondIsBoundedAndWhatIsLeftOutIsCounted(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := New(&out)
	w.Start()
	for range perSecond + 50 {
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
	}
	w.Stop(time.Second)
	is.True(strings.Count(out.String(), "line\n") <= perSecond)
	is.True(strings.Contains(out.String(), "log lines left out"))
}

// In a rush the lines that are as many as requests do not push out a reset.
func TestRoutineLinesLeaveRoomForResets(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := New(&out)
	w.Start()
	for range 2 * perSecond {
		_, err := w.Write([]byte(`"msg"="request arrived"` + "\n"))
		is.NoErr(err)
	}
	_, err := w.Write([]byte(`"msg"="flow reset"` + "\n"))
	is.NoErr(err)
	w.Stop(time.Second)
	is.True(strings.Contains(out.String(), "flow reset"))
}
