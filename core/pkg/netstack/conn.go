package netstack

import (
	"context"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv4"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
	"gvisor.dev/gvisor/pkg/waiter"

	"github.com/crocuslanding/crocuslanding/core/pkg/probe"
)

// Conn is one flow of the stack.
type Conn struct {
	*gonet.TCPConn
	endpoint tcpip.Endpoint
}

// Accept completes the handshake of r. It returns an error when the caller does not complete it.
func Accept(r *tcp.ForwarderRequest) (*Conn, error) {
	var queue waiter.Queue
	e, err := r.CreateEndpoint(&queue)
	if err != nil {
		return nil, trace.ConnectionProblem(nil, "handshake: %s", err)
	}
	return &Conn{TCPConn: gonet.NewTCPConn(&queue, e), endpoint: e}, nil
}

// Dial opens a flow from one address to another. Port 0 stands for a port that the stack chooses.
// It returns trace.ConnectionProblem when the flow is refused or ctx ends first.
func (s *Stack) Dial(ctx context.Context, from, to netip.AddrPort) (*Conn, error) {
	var queue waiter.Queue
	e, terr := s.stack.NewEndpoint(tcp.ProtocolNumber, ipv4.ProtocolNumber, &queue)
	if terr != nil {
		return nil, trace.ConnectionProblem(nil, "endpoint: %s", terr)
	}
	if err := connect(ctx, e, &queue, from, to); err != nil {
		e.Abort()
		return nil, err
	}
	return &Conn{TCPConn: gonet.NewTCPConn(&queue, e), endpoint: e}, nil
}

func connect(ctx context.Context, e tcpip.Endpoint, queue *waiter.Queue, from, to netip.AddrPort) error {
	entry, ready := waiter.NewChannelEntry(waiter.WritableEvents)
	queue.EventRegister(&entry)
	defer queue.EventUnregister(&entry)
	local := tcpip.FullAddress{NIC: interfaceID, Addr: tcpip.AddrFrom4(from.Addr().As4()), Port: from.Port()}
	if err := e.Bind(local); err != nil {
		return trace.ConnectionProblem(nil, "bind: %s", err)
	}
	remote := tcpip.FullAddress{NIC: interfaceID, Addr: tcpip.AddrFrom4(to.Addr().As4()), Port: to.Port()}
	err := e.Connect(remote)
	if _, started := err.(*tcpip.ErrConnectStarted); !started {
		return trace.ConnectionProblem(nil, "connect: %s", err)
	}
	select {
	case <-ctx.Done():
		return trace.ConnectionProblem(ctx.Err(), "connect")
	case <-ready:
	}
	if err := e.LastError(); err != nil {
		return trace.ConnectionProblem(nil, "connect: %s", err)
	}
	return nil
}

// SetKeepalive probes the other end after this idle time, and ends the flow when it stays silent.
func (c *Conn) SetKeepalive(idle time.Duration) {
	c.endpoint.SocketOptions().SetKeepAlive(true)
	first := tcpip.KeepaliveIdleOption(idle)
	_ = c.endpoint.SetSockOpt(&first)
	next := tcpip.KeepaliveIntervalOption(probe.Interval(idle))
	_ = c.endpoint.SetSockOpt(&next)
	_ = c.endpoint.SetSockOptInt(tcpip.KeepaliveCountOption, probe.Count)
	timeout := tcpip.TCPUserTimeoutOption(probe.Timeout(idle))
	_ = c.endpoint.SetSockOpt(&timeout)
}

// Reset ends the flow with a RST.
func (c *Conn) Reset() {
	c.endpoint.Abort()
}

// IsFinished says whether both ends have finished the flow, though its last acknowledgement may still be under way.
func (c *Conn) IsFinished() bool {
	switch tcp.EndpointState(c.endpoint.State()) {
	case tcp.StateLastAck, tcp.StateClosing, tcp.StateTimeWait:
		return true
	default:
		return c.IsClosed()
	}
}

// IsClosed says whether the stack has no more use for packets of the flow.
func (c *Conn) IsClosed() bool {
	state := tcp.EndpointState(c.endpoint.State())
	return state == tcp.StateClose || state == tcp.StateError
}
