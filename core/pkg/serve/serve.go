// Package serve serves small HTTP interfaces.
package serve

import (
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/pkg/common"
)

// headerTimeout bounds the time for which a caller may take to send the header of its request.
const headerTimeout = 5 * time.Second

// Server is one HTTP server.
type Server struct {
	listener net.Listener
	http     *http.Server
	done     *common.Stopper
}

// New returns a server on this TCP address. It returns an error when the address cannot be used.
func New(address string, h http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Server{
		listener: listener,
		http:     &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout},
		done:     common.NewStopper(),
	}, nil
}

// Start starts the server.
func (s *Server) Start() {
	s.done.Go(func() { _ = s.http.Serve(s.listener) })
}

// Stop ends all connections and waits for the server.
func (s *Server) Stop() {
	_ = s.http.Close()
	_ = s.listener.Close()
	s.done.Wait()
}
