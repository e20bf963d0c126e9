// Package scrape serves counters over HTTP in the text format that Prometheus reads.
package scrape

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/counter"
)

const (
	prefix        = "crocuslanding_"
	headerTimeout = 5 * time.Second
)

// Server serves the counters of a process.
type Server struct {
	listener net.Listener
	http     *http.Server
	done     *common.Done
}

// New returns a server on this TCP address; one that serves nothing when the address is empty.
// It returns an error when the address cannot be used.
func New(address string, counters *counter.Set) (*Server, error) {
	if address == "" {
		return &Server{done: common.NewDone()}, nil
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		Write(w, counters.Values())
	})
	return &Server{
		listener: listener,
		http:     &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout},
		done:     common.NewDone(),
	}, nil
}

// Start starts the server.
func (s *Server) Start() {
	if s.http != nil {
		s.done.Go(func() { _ = s.http.Serve(s.listener) })
	}
}

// Stop ends all connections and waits for the server.
func (s *Server) Stop() {
	if s.http != nil {
		_ = s.http.Close()
		_ = s.listener.Close()
	}
	s.done.Wait()
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
