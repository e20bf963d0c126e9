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
	dialTime  = 20 * time.Second
	keepalive = time.Minute
)

// listener takes ordinary connections and opens a flow in the stack for each.
type listener struct {
	tcp     *net.TCPListener
	stack   *netstack.Stack
	caller  netip.Addr
	service netip.AddrPort
	ctx     context.Context
	cancel  context.CancelFunc
	done    *common.Stopper
}

func newListener(s landing.ListenerSettings, stack *netstack.Stack) (*listener, error) {
	caller, err := netip.ParseAddr(s.Caller())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	service, err := netip.ParseAddrPort(s.Service())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	tcp, err := net.Listen("tcp4", s.Listen())
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
		done:    common.NewStopper(),
	}, nil
}

func (l *listener) run() {
	for {
		c, err := l.tcp.AcceptTCP()
		if err != nil {
			return
		}
		l.done.Go(func() { l.carry(splice.NewTCPConn(c)) })
	}
}

// carry passes bytes between the client and the flow. A flow that is refused resets the client.
func (l *listener) carry(client splice.TCPConn) {
	ctx, cancel := context.WithTimeout(l.ctx, dialTime)
	defer cancel()
	flow, err := l.stack.Dial(ctx, netip.AddrPortFrom(l.caller, 0), l.service)
	if err != nil {
		client.Reset()
		return
	}
	flow.SetKeepalive(keepalive)
	stop := context.AfterFunc(l.ctx, func() {
		client.Reset()
		flow.Reset()
	})
	defer stop()
	splice.Run(client, flow)
}

func (l *listener) stop() {
	_ = l.tcp.Close()
	l.cancel()
	l.done.Wait()
}
