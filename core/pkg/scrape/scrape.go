// Package scrape serves the metrics of a process over HTTP in the text format of Prometheus.
package scrape

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/counter"
	"github.com/crocuslanding/crocuslanding/core/pkg/serve"
)

const namePrefix = "crocuslanding_"

// Server serves the metrics of a process.
type Server struct {
	server *serve.Server
}

// New returns a server on this TCP address, an IP and port. When the address is empty, the server does nothing.
// It returns an error when it cannot listen on the address.
func New(address string, counters *counter.Set) (*Server, error) {
	if address == "" {
		return &Server{}, nil
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		Write(w, counters.Values())
	})
	server, err := serve.New(address, handler)
	if err != nil {
		return nil, err
	}
	return &Server{server: server}, nil
}

// Start starts the server.
func (s *Server) Start() {
	if s.server != nil {
		s.server.Start()
	}
}

// Stop closes all connections and waits for the server's goroutine.
func (s *Server) Stop() {
	if s.server != nil {
		s.server.Stop()
	}
}

// Write writes the metrics to w, one a line, ordered by name. The part of a name after its first dot becomes the value
// of the label "reason": refused.room is written as crocuslanding_refused{reason="room"}.
func Write(w io.Writer, values []landing.Counter) {
	sorted := slices.SortedFunc(slices.Values(values), func(a, b landing.Counter) int {
		return cmp.Compare(a.Name(), b.Name())
	})
	for _, c := range sorted {
		fmt.Fprintf(w, "%s%s %d\n", namePrefix, formatName(c.Name()), c.Value())
	}
}

func formatName(name string) string {
	base, reason, found := strings.Cut(name, ".")
	if !found {
		return base
	}
	return fmt.Sprintf("%s{reason=%q}", base, reason)
}
