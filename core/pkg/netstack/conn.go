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

// Conn is a TCP connection of the stack. It is one end of a flow.
type Conn struct {
	*gonet.TCPConn
	endpoint tcpip.Endpoint
}

// Accept answers the SYN in request and returns the connection when the handshake is complete. It returns
// trace.ConnectionProblem when the caller does not complete the handshake.
func Accept(request *tcp.ForwarderRequest) (*Conn, error) {
	var queue waiter.Queue
	e, err := request.CreateEndpoint(&queue)
	if err != nil {
		return nil, trace.ConnectionProblem(nil, "complete handshake: %s", err)
	}
	return &Conn{TCPConn: gonet.NewTCPConn(&queue, e), endpoint: e}, nil
}

// Dial opens a flow from one address to another. When the port of from is 0, the stack chooses a port.
// It returns trace.ConnectionProblem when the flow is refused or ctx is done before the handshake is complete.
func (s *Stack) Dial(ctx context.Context, from, to netip.AddrPort) (*Conn, error) {
	var queue waiter.Queue
	e, tcpErr := s.stack.NewEndpoint(tcp.ProtocolNumber, ipv4.ProtocolNumber, &queue)
	if tcpErr != nil {
		return nil, trace.ConnectionProblem(nil, "create endpoint: %s", tcpErr)
	}
	if err := connect(ctx, e, &queue, from, to); err != nil {
		e.Abort()
		return nil, err
	}
	return &Conn{TCPConn: gonet.NewTCPConn(&queue, e), endpoint: e}, nil
}

func connect(ctx context.Context, e tcpip.Endpoint, queue *waiter.Queue, from, to netip.AddrPort) error {
	entry, writable := waiter.NewChannelEntry(waiter.WritableEvents)
	queue.EventRegister(&entry)
	defer queue.EventUnregister(&entry)
	local := tcpip.FullAddress{NIC: nicID, Addr: tcpip.AddrFrom4(from.Addr().As4()), Port: from.Port()}
	if err := e.Bind(local); err != nil {
		return trace.ConnectionProblem(nil, "bind: %s", err)
	}
	remote := tcpip.FullAddress{NIC: nicID, Addr: tcpip.AddrFrom4(to.Addr().As4()), Port: to.Port()}
	err := e.Connect(remote)
	if _, started := err.(*tcpip.ErrConnectStarted); !started {
		return trace.ConnectionProblem(nil, "connect: %s", err)
	}
	select {
	case <-ctx.Done():
		return trace.ConnectionProblem(ctx.Err(), "connect")
	case <-writable:
	}
	if err := e.LastError(); err != nil {
		return trace.ConnectionProblem(nil, "connect: %s", err)
	}
	return nil
}

// SetKeepalive makes the connection send keepalive probes after this idle time. When the other end does not respond,
// the stack closes the connection after the time that probe.Timeout returns.
func (c *Conn) SetKeepalive(idle time.Duration) {
	c.endpoint.SocketOptions().SetKeepAlive(true)
	idleTime := tcpip.KeepaliveIdleOption(idle)
	_ = c.endpoint.SetSockOpt(&idleTime)
	interval := tcpip.KeepaliveIntervalOption(probe.Interval(idle))
	_ = c.endpoint.SetSockOpt(&interval)
	_ = c.endpoint.SetSockOptInt(tcpip.KeepaliveCountOption, probe.Count)
	timeout := tcpip.TCPUserTimeoutOption(probe.Timeout(idle))
	_ = c.endpoint.SetSockOpt(&timeout)
}

// Reset closes the connection with a TCP reset.
func (c *Conn) Reset() {
	c.endpoint.Abort()
}

// IsFinished reports whether both ends have closed the flow or it has failed. The last acknowledgement may still be
// outstanding.
func (c *Conn) IsFinished() bool {
	switch tcp.EndpointState(c.endpoint.State()) {
	case tcp.StateLastAck, tcp.StateClosing, tcp.StateTimeWait:
		return true
	default:
		return c.IsClosed()
	}
}

// IsClosed reports whether the connection is closed or failed, so that the stack ignores further packets of the flow.
func (c *Conn) IsClosed() bool {
	state := tcp.EndpointState(c.endpoint.State())
	return state == tcp.StateClose || state == tcp.StateError
}
