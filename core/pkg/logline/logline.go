// Package logline writes log lines in the background, so that the code that logs never blocks on a slow output.
package logline

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/crocuslanding/crocuslanding/core/pkg/common"
)

const (
	// queueLines is the largest number of lines that wait to be written. Further lines are dropped and counted.
	queueLines = 512
	// maxLinesPerSecond is the largest number of lines of each class that are accepted within one second. Further
	// lines are dropped and counted.
	maxLinesPerSecond = 200
)

// perRequestEvents are parts of the lines of events that occur once for each request or flow. These lines form a class
// with a limit of its own, so that under high load they do not displace lines about refusals, resets and state changes.
var perRequestEvents = [][]byte{[]byte(`"msg"="request arrived"`), []byte(`"msg"="flow placed"`), []byte(`"msg"="flow taken"`), []byte(`"msg"="flow waits"`)}

// Writer queues lines and writes them on a goroutine of its own. Lines that exceed the queue or the limit per second
// are dropped and counted.
type Writer struct {
	out        io.Writer
	lines      chan []byte
	dropped    atomic.Int64
	rateLimits [2]rateLimit
	createdAt  time.Time
	stopper    *common.Stopper
}

// New returns a writer to out. It writes lines after Start is called.
func New(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, queueLines), createdAt: time.Now(), stopper: common.NewStopper()}
}

// Start starts the goroutine that writes the lines.
func (w *Writer) Start() {
	w.stopper.Go(w.run)
}

// Stop writes the queued lines and, if lines were dropped, a line with their number, and stops the goroutine. It
// returns after timeout even when the output still blocks.
func (w *Writer) Stop(timeout time.Duration) {
	w.stopper.Close()
	stopped := make(chan struct{})
	go func() {
		w.stopper.Wait()
		close(stopped)
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-stopped:
	case <-timer.C:
	}
}

// rateLimit counts the lines of one class in the current second. Seconds are numbered from the creation of the writer.
type rateLimit struct {
	currentSecond atomic.Int64
	linesInSecond atomic.Int64
}

// Write queues one line. It never blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.withinLimit(&w.rateLimits[lineClass(line)]) {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// lineClass returns the class of a line, which is its index in Writer.rateLimits: 1 for the events in perRequestEvents,
// and 0 for all others.
func lineClass(line []byte) int {
	for _, event := range perRequestEvents {
		if bytes.Contains(line, event) {
			return 1
		}
	}
	return 0
}

func (w *Writer) withinLimit(limit *rateLimit) bool {
	second := int64(time.Since(w.createdAt) / time.Second)
	if limit.currentSecond.Swap(second) != second {
		limit.linesInSecond.Store(0)
	}
	return limit.linesInSecond.Add(1) <= maxLinesPerSecond
}

func (w *Writer) run() {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-w.stopper.C():
			w.flush()
			return
		}
	}
}

func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		default:
			if dropped := w.dropped.Load(); dropped > 0 {
				w.writeLine([]byte(fmt.Sprintf("\"level\"=0 \"msg\"=\"log lines left out\" \"count\"=%d\n", dropped)))
			}
			return
		}
	}
}

// writeLine writes one line. An error is ignored, since a failure of the log output cannot be logged.
func (w *Writer) writeLine(line []byte) {
	_, _ = w.out.Write(line)
}
