// Package upstream is a stand-in for an upstream: a plain HTTP server with slots, a cold start,
// a drain, and a memory of the confirmations that it ran.
//
// GET /feed holds a stream of lines open, GET /pack downloads a pack, GET /ping answers at once,
// POST /confirm runs the confirmation that the query names, and GET /ran/ID says how often it ran.
package upstream

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
)

const (
	headerTimeout = 5 * time.Second
	stopTime      = 20 * time.Second
)

// Server is the stand-in.
type Server struct {
	common   common.Telemetry
	settings landing.UpstreamSettings
	slots    *slots
	ledger   *ledger
	pack     *pack
	listener net.Listener
	http     *http.Server
	done     *common.Stopper
}

// New returns a server on the address of these settings. It returns an error when the address cannot be used.
func New(c common.Telemetry, s landing.UpstreamSettings) (*Server, error) {
	listener, err := net.Listen("tcp4", s.Listen())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	server := &Server{
		common:   c,
		settings: s,
		slots:    newSlots(s, time.Now()),
		ledger:   newLedger(),
		pack:     newPack(s.Pack().Bytes()),
		listener: listener,
		done:     common.NewStopper(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ping", server.ping)
	mux.HandleFunc("GET /feed", server.feed)
	mux.HandleFunc("GET /pack", server.download)
	mux.HandleFunc("POST /confirm", server.confirm)
	mux.HandleFunc("GET /ran/{id}", server.ran)
	server.http = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	return server, nil
}

// Address returns the TCP address of the server.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Start starts the server and announces it to its sidecar.
func (s *Server) Start() {
	s.done.Go(func() { _ = s.http.Serve(s.listener) })
	s.done.Go(func() { s.announce(landing.ConditionStarted, startTries) })
}

// RestartColdStart lets the server fall back into cold start without a word: it serves this number of
// requests at once, and all its slots after the warm-up.
func (s *Server) RestartColdStart(cold uint32) {
	s.slots.fallBack(cold, time.Now())
}

// AnnounceLeaving announces that the server leaves. A sidecar that does not answer is not waited for long.
func (s *Server) AnnounceLeaving() {
	s.announce(landing.ConditionLeaving, leaveTries)
}

// Stop waits for open requests, then ends the server.
func (s *Server) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	_ = s.http.Shutdown(ctx)
	s.done.Close()
	_ = s.http.Close()
	s.done.Wait()
}

// Kill ends the server at once.
func (s *Server) Kill() {
	s.done.Close()
	_ = s.http.Close()
	s.done.Wait()
}

// ConfirmationRuns returns how often each confirmation ran.
func (s *Server) ConfirmationRuns() map[string]int {
	return s.ledger.all()
}

// MaxExcessRequests returns the highest number of requests by which the slots were exceeded.
func (s *Server) MaxExcessRequests() uint32 {
	return s.slots.overshoot()
}
