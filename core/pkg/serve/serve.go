// Package serve runs the HTTP servers of a process.
package serve

import (
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/pkg/common"
)

// headerTimeout is the longest time that a client may take to send the header of a request.
const headerTimeout = 5 * time.Second

// Server is an HTTP server on one address.
type Server struct {
	listener net.Listener
	http     *http.Server
	stopper  *common.Stopper
}

// New returns a server that listens on this TCP address, an IP and port, and handles requests with h after Start is
// called. It returns an error when it cannot listen on the address.
func New(address string, h http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Server{
		listener: listener,
		http:     &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout},
		stopper:  common.NewStopper(),
	}, nil
}

// Start starts handling requests on a goroutine of its own.
func (s *Server) Start() {
	s.stopper.Go(func() { _ = s.http.Serve(s.listener) })
}

// Stop closes all connections and waits for the server's goroutine.
func (s *Server) Stop() {
	_ = s.http.Close()
	_ = s.listener.Close()
	s.stopper.Wait()
}
