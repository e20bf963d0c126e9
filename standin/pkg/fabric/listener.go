package fabric

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/netstack"
	"github.com/crocuslanding/crocuslanding/core/pkg/splice"
)

const (
	// dialTimeout limits the time to open a flow in the TCP/IP stack.
	dialTimeout = 20 * time.Second
	// keepaliveIdleTime is the time without packets after which a flow sends keepalive packets.
	keepaliveIdleTime = time.Minute
)

// listener accepts ordinary TCP connections of clients and opens a flow from caller to service in the TCP/IP stack for
// each.
type listener struct {
	tcp     *net.TCPListener
	stack   *netstack.Stack
	caller  netip.Addr
	service netip.AddrPort
	ctx     context.Context
	cancel  context.CancelFunc
	stopper *common.Stopper
}

// newListener returns a listener with these settings. It returns an error if an address is not valid or cannot be used.
func newListener(settings landing.ListenerSettings, stack *netstack.Stack) (*listener, error) {
	caller, err := netip.ParseAddr(settings.Caller())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	service, err := netip.ParseAddrPort(settings.Service())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	tcp, err := net.Listen("tcp4", settings.Listen())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &listener{
		tcp:     tcp.(*net.TCPListener),
		stack:   stack,
		caller:  caller,
		service: service,
		ctx:     ctx,
		cancel:  cancel,
		stopper: common.NewStopper(),
	}, nil
}

// acceptConnections forwards each connection on a goroutine of its own until the listener is stopped.
func (l *listener) acceptConnections() {
	for {
		c, err := l.tcp.AcceptTCP()
		if err != nil {
			return
		}
		l.stopper.Go(func() { l.forward(splice.NewTCPConn(c)) })
	}
}

// forward opens a flow for the client and copies bytes between the two in both directions. If the flow cannot be opened,
// it resets the client's connection.
func (l *listener) forward(client splice.TCPConn) {
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	defer cancel()
	// With the port 0, the stack chooses a port.
	flow, err := l.stack.Dial(ctx, netip.AddrPortFrom(l.caller, 0), l.service)
	if err != nil {
		client.Reset()
		return
	}
	flow.SetKeepalive(keepaliveIdleTime)
	stop := context.AfterFunc(l.ctx, func() {
		client.Reset()
		flow.Reset()
	})
	defer stop()
	splice.Run(client, flow)
}

// stop resets all connections and flows and waits for the goroutines to end.
func (l *listener) stop() {
	_ = l.tcp.Close()
	l.cancel()
	l.stopper.Wait()
}
