// Package common holds what the constructors of every program take: the logger and the counters.
package common

import (
	"fmt"
	"io"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"github.com/crocuslanding/crocuslanding/core/pkg/counter"
)

// Telemetry is the bundle that is passed to constructors.
type Telemetry struct {
	log      logr.Logger
	counters *counter.Set
}

// New returns a bundle of log and counters.
func New(log logr.Logger, counters *counter.Set) Telemetry {
	return Telemetry{log: log, counters: counters}
}

// Log returns the logger.
func (c Telemetry) Log() logr.Logger {
	return c.log
}

// Counters returns the counters.
func (c Telemetry) Counters() *counter.Set {
	return c.counters
}

// NewLogger returns a logger that writes each event to w as one line of key=value pairs.
func NewLogger(w io.Writer, instance string, verbosity int) logr.Logger {
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
