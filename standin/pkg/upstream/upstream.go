// Package upstream is a stand-in for an upstream. It is a plain HTTP server that limits the number of parallel requests
// (slots), has a cold start (a time after its start with fewer slots), and announces its start and its shutdown to its
// sidecar.
//
// GET /feed responds with a stream of lines, GET /pack with a file of fixed content (the pack), and GET /ping with the
// name of the instance. POST /confirm runs the confirmation with the identifier in the query: a request with an effect,
// which is counted so that tests can detect requests that ran more than once. GET /ran/ID returns the number of runs of
// the confirmation ID.
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
	readHeaderTimeout = 5 * time.Second
	// shutdownTimeout limits the wait for the requests in progress when the server stops.
	shutdownTimeout = 20 * time.Second
)

// Server is the stand-in for an upstream.
type Server struct {
	telemetry     common.Telemetry
	settings      landing.UpstreamSettings
	slots         *slots
	confirmations *confirmationCounter
	pack          *pack
	listener      net.Listener
	httpServer    *http.Server
	stopper       *common.Stopper
}

// New returns a server on the address in these settings. Start must be called. New returns an error if the address cannot
// be used.
func New(telemetry common.Telemetry, settings landing.UpstreamSettings) (*Server, error) {
	listener, err := net.Listen("tcp4", settings.Listen())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	server := &Server{
		telemetry:     telemetry,
		settings:      settings,
		slots:         newSlots(settings, time.Now()),
		confirmations: newConfirmationCounter(),
		pack:          newPack(settings.Pack().Bytes()),
		listener:      listener,
		stopper:       common.NewStopper(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ping", server.ping)
	mux.HandleFunc("GET /feed", server.feed)
	mux.HandleFunc("GET /pack", server.download)
	mux.HandleFunc("POST /confirm", server.confirm)
	mux.HandleFunc("GET /ran/{id}", server.runCount)
	server.httpServer = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	return server, nil
}

// Address returns the TCP address on which the server listens.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Start starts to serve requests, and announces the start to the sidecar in the background.
func (s *Server) Start() {
	s.stopper.Go(func() { _ = s.httpServer.Serve(s.listener) })
	s.stopper.Go(func() { s.announce(landing.ConditionStarted, maxStartAttempts) })
}

// RestartColdStart begins another cold start without an announcement to the sidecar. The server has coldLimit slots at
// first, and reaches the number in its settings at the end of the warm-up.
func (s *Server) RestartColdStart(coldLimit uint32) {
	s.slots.restartColdStart(coldLimit, time.Now())
}

// AnnounceLeaving announces to the sidecar that the server is about to shut down. It gives up after maxLeaveAttempts.
func (s *Server) AnnounceLeaving() {
	s.announce(landing.ConditionLeaving, maxLeaveAttempts)
}

// Stop waits for the requests in progress, at most for shutdownTimeout, and then ends the server.
func (s *Server) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = s.httpServer.Shutdown(ctx)
	s.stopper.Close()
	_ = s.httpServer.Close()
	s.stopper.Wait()
}

// Kill ends the server at once and closes all its connections.
func (s *Server) Kill() {
	s.stopper.Close()
	_ = s.httpServer.Close()
	s.stopper.Wait()
}

// ConfirmationRuns returns how often each confirmation ran, by its identifier.
func (s *Server) ConfirmationRuns() map[string]int {
	return s.confirmations.all()
}

// MaxExcessRequests returns the largest number by which the parallel requests, including a new one that was refused,
// exceeded the limit.
func (s *Server) MaxExcessRequests() uint32 {
	return s.slots.maxExcessRequests()
}
