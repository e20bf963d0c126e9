// Package scrape serves counters over HTTP in the text format that Prometheus reads.
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

const prefix = "crocuslanding_"

// Server serves the counters of a process.
type Server struct {
	server *serve.Server
}

// New returns a server on this TCP address; one that serves nothing when the address is empty.
// It returns an error when the address cannot be used.
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

// Stop ends all connections and waits for the server.
func (s *Server) Stop() {
	if s.server != nil {
		s.server.Stop()
	}
}

// Write writes the counters, ordered by name. A name such as refused.room becomes
// crocuslanding_refused{reason="room"}.
func Write(w io.Writer, values []landing.Counter) {
	sorted := slices.SortedFunc(slices.Values(values), func(a, b landing.Counter) int {
		return cmp.Compare(a.Name(), b.Name())
	})
	for _, c := range sorted {
		fmt.Fprintf(w, "%s%s %d\n", prefix, label(c.Name()), c.Value())
	}
}

func label(name string) string {
	base, reason, found := strings.Cut(name, ".")
	if !found {
		return base
	}
	return fmt.Sprintf("%s{reason=%q}", base, reason)
}
