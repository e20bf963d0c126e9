// Package stream carries the flows of services of the kind stream: it copies bytes between the caller and
// the upstream.
package stream

import (
	"context"
	"net"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/netstack"
	"github.com/crocuslanding/crocuslanding/core/pkg/probe"
	"github.com/crocuslanding/crocuslanding/core/pkg/splice"
	"github.com/crocuslanding/crocuslanding/sidecar/pkg/flows"
	"github.com/crocuslanding/crocuslanding/sidecar/pkg/gate"
)

// Handler carries flows, each on a goroutine of its own.
type Handler struct {
	telemetry     common.Telemetry
	upstream      string
	dialTimeout   time.Duration
	keepaliveIdle time.Duration
	gate          *gate.Gate
	table         *flows.Table
}

// New returns a handler that connects to the upstream s.Upstream().
func New(c common.Telemetry, s landing.SidecarSettings, g *gate.Gate, t *flows.Table) *Handler {
	return &Handler{
		telemetry:     c,
		upstream:      s.Upstream(),
		dialTimeout:   s.Deadline(),
		keepaliveIdle: s.Keepalive(),
		gate:          g,
		table:         t,
	}
}

// Handle carries flow k until the flow ends. It completes the handshake with the caller only after the
// upstream has accepted a connection.
func (h *Handler) Handle(r *tcp.ForwarderRequest, k landing.FlowKey) {
	upstream, refusal := h.dial(k)
	if refusal != landing.RefusalUnspecified {
		h.telemetry.Counters().CountRefusal(refusal)
		h.table.Remove(k)
		r.Complete(true) // with a reset
		return
	}
	conn, err := netstack.Accept(r)
	r.Complete(false) // without a reset
	if err != nil {
		upstream.Reset()
		h.table.Remove(k)
		return
	}
	conn.SetKeepalive(h.keepaliveIdle)
	if !h.table.SetConn(k, conn) {
		conn.Reset()
	}
	splice.Run(conn, upstream)
}

// dial waits until flow k may run and connects to the upstream. It returns the reason for the refusal when
// the flow may not run or the connection fails, otherwise RefusalUnspecified.
func (h *Handler) dial(k landing.FlowKey) (splice.TCPConn, landing.Refusal) {
	entry, _ := h.table.Find(k)
	refusal := h.gate.Admit(context.Background(), entry.Customer())
	if refusal != landing.RefusalUnspecified {
		return splice.TCPConn{}, refusal
	}
	start := time.Now()
	conn, err := net.DialTimeout("tcp4", h.upstream, h.dialTimeout)
	if err != nil {
		h.gate.HandleEvent(landing.RequestFailed{}.WithObservedAt(time.Now()))
		return splice.TCPConn{}, landing.RefusalUpstream
	}
	h.gate.HandleEvent(landing.RequestAnswered{}.WithObservedAt(time.Now()).WithLatency(time.Since(start)))
	tcpConn := conn.(*net.TCPConn)
	_ = tcpConn.SetKeepAliveConfig(probe.KeepAliveConfig(h.keepaliveIdle))
	return splice.NewTCPConn(tcpConn), landing.RefusalUnspecified
}
