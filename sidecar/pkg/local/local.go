// Package local receives the announcements of the upstream on the same instance over HTTP.
package local

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/codec"
	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/gen/landingpb"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/document"
)

const (
	// AnnouncePath is the path to which the upstream posts its announcements.
	AnnouncePath = "/announce"

	maxBodyBytes  = 4 << 10
	headerTimeout = 5 * time.Second
)

// AnnouncementFunc handles an announcement of the upstream.
type AnnouncementFunc func(landing.UpstreamAnnouncement)

// Server is the HTTP server for the announcements of the upstream.
type Server struct {
	telemetry      common.Telemetry
	onAnnouncement AnnouncementFunc
	listener       net.Listener
	http           *http.Server
	stopper        *common.Stopper
}

// New returns a server that listens on this TCP address and calls onAnnouncement for each announcement.
// It returns an error when the address cannot be used.
func New(c common.Telemetry, address string, onAnnouncement AnnouncementFunc) (*Server, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s := &Server{telemetry: c, onAnnouncement: onAnnouncement, listener: listener, stopper: common.NewStopper()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+AnnouncePath, s.handleAnnouncement)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	return s, nil
}

// Start starts the server.
func (s *Server) Start() {
	s.stopper.Go(func() { _ = s.http.Serve(s.listener) })
}

// Stop ends all connections and waits for the server.
func (s *Server) Stop() {
	_ = s.http.Close()
	_ = s.listener.Close()
	s.stopper.Wait()
}

func (s *Server) handleAnnouncement(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m := &landingpb.UpstreamAnnouncement{}
	d := document.Parse("announcement", b, m)
	if err := document.FindingsError(d.Findings()); err != nil {
		s.telemetry.Counters().CountRefusal(landing.RefusalMalformed)
		http.Error(w, trace.UserMessage(err), http.StatusBadRequest)
		return
	}
	s.onAnnouncement(codec.DecodeUpstreamAnnouncement(m))
}
