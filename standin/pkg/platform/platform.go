// Package platform is a stand-in for the platform, the service that stores versioned objects. It implements the platform's
// object API and can simulate failures.
//
// GET and PUT of /objects/NAME read and write an object. The ETag of a response is the object's version. A GET with the
// parameters after (a version that the client knows) and wait (a duration) responds as soon as the object has another
// version, or when the duration is over. PUT requires the header If-Match with the expected version, or
// If-None-Match: * for a new object.
//
// PUT of /trouble/NAME switches to a simulated fault: down (calls fail), slow (calls are delayed), deaf (the responses to
// writes are lost), garbled (responses are garbage), or healthy for none. These are the values of landing.PlatformFault.
package platform

import (
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
)

const readHeaderTimeout = 5 * time.Second

// Server is the stand-in for the platform.
type Server struct {
	objects      *objects
	fault        *currentFault
	readLimiter  *limiter
	writeLimiter *limiter
	listener     net.Listener
	httpServer   *http.Server
	stopper      *common.Stopper
}

// New returns a server on the address in these settings. Start must be called. New returns an error if the address cannot
// be used.
func New(settings landing.PlatformSettings) (*Server, error) {
	listener, err := net.Listen("tcp4", settings.Listen())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	server := &Server{
		objects:      newObjects(),
		fault:        newCurrentFault(),
		readLimiter:  newLimiter(settings.Reads()),
		writeLimiter: newLimiter(settings.Writes()),
		listener:     listener,
		stopper:      common.NewStopper(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{name}", server.getObject)
	mux.HandleFunc("PUT /objects/{name}", server.putObject)
	mux.HandleFunc("PUT /trouble/{name}", server.putFault)
	server.httpServer = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	return server, nil
}

// Address returns the TCP address on which the server listens.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Start starts to serve requests.
func (s *Server) Start() {
	s.stopper.Go(func() { _ = s.httpServer.Serve(s.listener) })
}

// Stop closes all connections and waits for the server to end.
func (s *Server) Stop() {
	s.stopper.Close()
	_ = s.httpServer.Close()
	s.stopper.Wait()
}

// SetFault makes the platform simulate this fault from now on. Waiting reads respond at once if the fault is
// landing.CallsFail.
func (s *Server) SetFault(fault landing.PlatformFault) {
	s.fault.set(fault)
	s.objects.wakeWaiters()
}

// CallCounts returns the numbers of reads and of writes since the server was created, including those that it refused.
func (s *Server) CallCounts() (reads, writes uint64) {
	return s.readLimiter.callCount(), s.writeLimiter.callCount()
}
