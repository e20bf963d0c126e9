// Package platform is a stand-in for the platform's object API, with switches for its failures.
//
// GET and PUT of /objects/NAME read and write an object, with its version as the ETag. A GET with after
// and wait answers when the version differs from after. PUT takes If-Match or If-None-Match.
// PUT of /trouble/NAME makes the platform down, slow, deaf, garbled or healthy.
package platform

import (
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
)

const headerTimeout = 5 * time.Second

// Server is the stand-in.
type Server struct {
	objects  *objects
	trouble  *trouble
	reads    *limiter
	writes   *limiter
	listener net.Listener
	http     *http.Server
	done     *common.Stopper
}

// New returns a server on the address of these settings. It returns an error when the address cannot be used.
func New(s landing.PlatformSettings) (*Server, error) {
	listener, err := net.Listen("tcp4", s.Listen())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	server := &Server{
		objects:  newObjects(),
		trouble:  newTrouble(),
		reads:    newLimiter(s.Reads()),
		writes:   newLimiter(s.Writes()),
		listener: listener,
		done:     common.NewStopper(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{name}", server.get)
	mux.HandleFunc("PUT /objects/{name}", server.put)
	mux.HandleFunc("PUT /trouble/{name}", server.setTrouble)
	server.http = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	return server, nil
}

// Address returns the TCP address of the server.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Start starts the server.
func (s *Server) Start() {
	s.done.Go(func() { _ = s.http.Serve(s.listener) })
}

// Stop ends all connections and waits for the server.
func (s *Server) Stop() {
	s.done.Close()
	_ = s.http.Close()
	s.done.Wait()
}

// SetFault makes the platform fail in this way from now on.
func (s *Server) SetFault(t landing.PlatformFault) {
	s.trouble.set(t)
	s.objects.wake()
}

// CallCounts returns the number of reads and writes so far.
func (s *Server) CallCounts() (reads, writes uint64) {
	return s.reads.total(), s.writes.total()
}
