// Package common contains what all programs share: logging and counters, the control thread (the one thread that owns
// the control state of a process), and the means to stop goroutines.
package common

import (
	"fmt"
	"io"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"github.com/crocuslanding/crocuslanding/core/pkg/counter"
)

// Telemetry is the logger and the counters of a process, which are passed to constructors together.
type Telemetry struct {
	log      logr.Logger
	counters *counter.Set
}

// New returns a Telemetry with this logger and these counters.
func New(log logr.Logger, counters *counter.Set) Telemetry {
	return Telemetry{log: log, counters: counters}
}

// Log returns the logger.
func (t Telemetry) Log() logr.Logger {
	return t.log
}

// Counters returns the counters.
func (t Telemetry) Counters() *counter.Set {
	return t.counters
}

// NewLogger returns a logger that writes each event to w as one line of key=value pairs. Each line contains the name of
// the instance. Events with a level above verbosity are not logged.
func NewLogger(w io.Writer, instance string, verbosity int) logr.Logger {
	// The first argument is the name of the logger, which is not set.
	write := func(_, args string) {
		fmt.Fprintln(w, args)
	}
	options := funcr.Options{
		LogTimestamp:    true,
		TimestampFormat: time.RFC3339Nano,
		Verbosity:       verbosity,
	}
	return funcr.New(write, options).WithValues("instance", instance)
}
