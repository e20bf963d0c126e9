// Package logline writes log lines without ever making their writer wait.
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
	// waiting is the number of lines that wait for a slow reader of the output.
	waiting = 512
	// perSecond is the number of lines of each class written in one second at most; further ones are counted.
	perSecond = 200
)

// routine marks the lines of events that are as many as requests. They have a budget of their own, so that in a rush
// they leave room for refusals, resets and what the process believes.
var routine = [][]byte{[]byte(`"msg"="request arrived"`), []byte(`"msg"="flow placed"`), []byte(`"msg"="flow taken"`), []byte(`"msg"="flow waits"`)}

// Writer takes lines and writes them on a goroutine of its own. Lines that do not fit are left out and counted.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	left    atomic.Int64
	budgets [2]budget
	start   time.Time
	done    *common.Stopper
}

// New returns a writer to out. Start must be called.
func New(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, waiting), start: time.Now(), done: common.NewStopper()}
}

// Start starts the goroutine that writes.
func (w *Writer) Start() {
	w.done.Go(w.run)
}

// Stop writes the lines that wait and stops. A reader that has stalled is not waited for longer than this time.
func (w *Writer) Stop(patience time.Duration) {
	w.done.Close()
	stopped := make(chan struct{})
	go func() {
		w.done.Wait()
		close(stopped)
	}()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-stopped:
	case <-timer.C:
	}
}

// budget counts the lines of one class in the present second.
type budget struct {
	second  atomic.Int64
	written atomic.Int64
}

// Write takes one line. It never waits and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.mayWrite(&w.budgets[class(line)]) {
		w.left.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.left.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were left out.
func (w *Writer) Dropped() int64 {
	return w.left.Load()
}

func class(line []byte) int {
	for _, r := range routine {
		if bytes.Contains(line, r) {
			return 1
		}
	}
	return 0
}

func (w *Writer) mayWrite(b *budget) bool {
	second := int64(time.Since(w.start) / time.Second)
	if b.second.Swap(second) != second {
		b.written.Store(0)
	}
	return b.written.Add(1) <= perSecond
}

func (w *Writer) run() {
	for {
		select {
		case line := <-w.lines:
			w.emit(line)
		case <-w.done.C():
			w.drain()
			return
		}
	}
}

func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.emit(line)
		default:
			if left := w.left.Load(); left > 0 {
				w.emit([]byte(fmt.Sprintf("\"level\"=0 \"msg\"=\"log lines left out\" \"count\"=%d\n", left)))
			}
			return
		}
	}
}

// emit writes one line. An output that is closed can be told to nobody.
func (w *Writer) emit(line []byte) {
	_, _ = w.out.Write(line)
}
