// Package requests serves flows of requests services: it admits, sends, retries and refuses
// HTTP/1.1 requests one by one, and says in each refusal what is known of the request.
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

// connKey is the key of the caller's connection in a request's context.
type connKey struct{}

// Decide decides what follows when a request ended at the upstream.
type DecideFunc func(landing.RequestOutcome, landing.RetryInput) landing.RequestAction

// Handler serves requests of all flows.
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
	closing       atomic.Bool
	stopper       *common.Stopper
}

// New returns a handler that sends requests to the upstream of these settings, and
// follows the decisions of decide.
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

// CloseSoon lets every connection end after its next answer.
func (h *Handler) CloseAfterNextResponse() {
	h.closing.Store(true)
}

// Stop ends all connections and waits for the server.
func (h *Handler) Stop() {
	h.stopper.Close()
	_ = h.server.Close()
	h.stopper.Wait()
}

// Handle takes the flow k.
func (h *Handler) Handle(r *tcp.ForwarderRequest, k landing.FlowKey) {
	conn, err := netstack.Accept(r)
	r.Complete(false)
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
