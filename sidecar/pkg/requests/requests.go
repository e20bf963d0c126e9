// Package requests serves the flows of services of the kind requests: it admits, sends, retries and
// refuses HTTP/1.1 requests one by one. Each error response of the sidecar states whether the request
// may have run.
package requests

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/netstack"
	"github.com/crocuslanding/crocuslanding/sidecar/pkg/flows"
	"github.com/crocuslanding/crocuslanding/sidecar/pkg/gate"
)

const (
	headerReadTimeout = 30 * time.Second
	idleTimeout       = 30 * time.Second
	maxHeaderBytes    = 64 << 10
)

// connKey is the key under which the context of a request holds the caller's connection.
type connKey struct{}

// DecideFunc returns the action that follows from the outcome of an attempt to send a request.
type DecideFunc func(landing.RequestOutcome, landing.RetryInput) landing.RequestAction

// Handler serves the requests of all flows.
type Handler struct {
	decide        DecideFunc
	telemetry     common.Telemetry
	table         *flows.Table
	keepaliveIdle time.Duration
	upstream      *upstream
	gate          *gate.Gate
	budget        *retryBudget
	listener      *listener
	server        *http.Server
	// closing is set when connections are to be closed after their next response.
	closing atomic.Bool
	stopper *common.Stopper
}

// New returns a handler that sends requests to the upstream s.Upstream() and carries out the actions that
// decide returns.
func New(c common.Telemetry, s landing.SidecarSettings, g *gate.Gate, t *flows.Table, decide DecideFunc) *Handler {
	h := &Handler{
		decide:        decide,
		telemetry:     c,
		table:         t,
		keepaliveIdle: s.Keepalive(),
		upstream:      newUpstream(s),
		gate:          g,
		budget:        newRetryBudget(),
		listener:      newListener(),
		stopper:       common.NewStopper(),
	}
	h.server = &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerReadTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	return h
}

// Start starts the HTTP server.
func (h *Handler) Start() {
	h.stopper.Go(func() { _ = h.server.Serve(h.listener) })
}

// CloseAfterNextResponse makes the handler close every connection after its next response.
func (h *Handler) CloseAfterNextResponse() {
	h.closing.Store(true)
}

// Stop ends all connections and waits for the server.
func (h *Handler) Stop() {
	h.stopper.Close()
	_ = h.server.Close()
	h.stopper.Wait()
}

// Handle completes the handshake of flow k and passes the flow to the HTTP server.
func (h *Handler) Handle(r *tcp.ForwarderRequest, k landing.FlowKey) {
	conn, err := netstack.Accept(r)
	r.Complete(false) // without a reset
	if err != nil {
		h.table.Remove(k)
		return
	}
	conn.SetKeepalive(h.keepaliveIdle)
	entry, _ := h.table.Find(k)
	c := &callerConn{Conn: conn, customer: entry.Customer()}
	if !h.table.SetConn(k, conn) || !h.listener.add(c) {
		conn.Reset()
	}
}
