package flows

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
	"github.com/crocuslanding/crocuslanding/core/pkg/netstack"
	"github.com/crocuslanding/crocuslanding/core/pkg/packet"
)

const testTimeout = 5 * time.Second

// stackPair is the TCP stack of a caller connected to that of a sidecar. While dropsCallerPackets is set,
// packets from the caller are lost.
type stackPair struct {
	caller, sidecar    *netstack.Stack
	dropsCallerPackets atomic.Bool
	accepted           chan *netstack.Conn
}

func newStackPair(t *testing.T) *stackPair {
	t.Helper()
	is := is.New(t)
	p := &stackPair{accepted: make(chan *netstack.Conn, 1)}
	var err error
	p.caller, err = netstack.New(func(b []byte) {
		if !p.dropsCallerPackets.Load() {
			p.sidecar.Inject(b)
		}
	})
	is.NoErr(err)
	p.sidecar, err = netstack.New(func(b []byte) { p.caller.Inject(b) })
	is.NoErr(err)
	// 1 is the limit of incomplete handshakes.
	p.sidecar.SetFlowHandler(1, func(r *tcp.ForwarderRequest) {
		if c, err := netstack.Accept(r); err == nil {
			p.accepted <- c
		}
		r.Complete(false) // without a reset
	})
	t.Cleanup(func() {
		p.caller.Close()
		p.sidecar.Close()
	})
	return p
}

func await(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); <-time.After(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition is still false after the timeout")
		}
	}
}

// Guards against a caller that cannot use its port again at once. The caller's last acknowledgement is lost,
// so that both ends have finished the flow but the sidecar's connection is not closed yet. A SYN from the
// same port must open a new flow nevertheless.
func TestDecideAdmitsFlowOnReusedPortOfFinishedFlow(t *testing.T) {
	is := is.New(t)
	from, to := netip.MustParseAddrPort("10.1.0.7:4000"), netip.MustParseAddrPort("10.200.0.1:80")
	p := newStackPair(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	caller, err := p.caller.Dial(ctx, from, to)
	is.NoErr(err)
	conn := <-p.accepted
	k := landing.FlowKey{}.
		WithSourceAddress(address.ToUint32(from.Addr())).WithSourcePort(uint32(from.Port())).
		WithDestinationAddress(address.ToUint32(to.Addr())).WithDestinationPort(uint32(to.Port()))
	table := New()
	firstSyn, err := packet.Parse(packet.NewCallerReset(k, 1))
	is.NoErr(err)
	firstSyn = firstSyn.WithIsReset(false).WithIsSyn(true)
	table.Decide(firstSyn, landing.ChainPosition{}, "north", landing.RefusalUnspecified)
	is.True(table.AwaitsConnection(k))
	is.True(table.SetConn(k, conn))
	is.True(!table.AwaitsConnection(k))

	is.NoErr(caller.CloseWrite())
	await(t, func() bool { _, err := conn.Read(make([]byte, 1)); return err != nil })
	p.dropsCallerPackets.Store(true)
	is.NoErr(conn.Close())
	await(t, conn.IsFinished)
	is.True(!conn.IsClosed())

	secondSyn := firstSyn.WithSequenceNumber(firstSyn.SequenceNumber() + 1000000)
	action := table.Decide(secondSyn, landing.ChainPosition{}, "north", landing.RefusalUnspecified)
	is.Equal(action, landing.SegmentAction(landing.AdmitFlow{}))
	is.True(table.AwaitsConnection(k))
	is.True(conn.IsClosed())
	is.Equal(table.CustomerFlowCount("north"), uint32(1))
}
