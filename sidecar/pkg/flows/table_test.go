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

const waitTime = 5 * time.Second

// pair is a caller's stack and a sidecar's, joined by a wire that may lose what the caller sends.
type pair struct {
	caller, sidecar *netstack.Stack
	isCut           atomic.Bool
	accepted        chan *netstack.Conn
}

func newPair(t *testing.T) *pair {
	t.Helper()
	is := is.New(t)
	p := &pair{accepted: make(chan *netstack.Conn, 1)}
	var err error
	p.caller, err = netstack.New(func(b []byte) {
		if !p.isCut.Load() {
			p.sidecar.Inject(b)
		}
	})
	is.NoErr(err)
	p.sidecar, err = netstack.New(func(b []byte) { p.caller.Inject(b) })
	is.NoErr(err)
	p.sidecar.SetFlowHandler(1, func(r *tcp.ForwarderRequest) {
		if c, err := netstack.Accept(r); err == nil {
			p.accepted <- c
		}
		r.Complete(false)
	})
	t.Cleanup(func() {
		p.caller.Close()
		p.sidecar.Close()
	})
	return p
}

func await(t *testing.T, isReached func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTime); !isReached(); <-time.After(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("state is not reached")
		}
	}
}

func TestPortOfAFlowThatBothEndsHaveFinishedOpensANewFlowAtOnce(t *testing.T) {
	is := is.New(t)
	from, to := netip.MustParseAddrPort("10.1.0.7:4000"), netip.MustParseAddrPort("10.200.0.1:80")
	p := newPair(t)
	ctx, cancel := context.WithTimeout(context.Background(), waitTime)
	defer cancel()
	caller, err := p.caller.Dial(ctx, from, to)
	is.NoErr(err)
	conn := <-p.accepted
	k := landing.FlowKey{}.
		WithSourceAddress(address.ToUint32(from.Addr())).WithSourcePort(uint32(from.Port())).
		WithDestinationAddress(address.ToUint32(to.Addr())).WithDestinationPort(uint32(to.Port()))
	table := New()
	first, err := packet.Parse(packet.NewCallerReset(k, 1))
	is.NoErr(err)
	first = first.WithIsReset(false).WithIsSyn(true)
	table.Decide(first, landing.ChainPosition{}, "north", landing.RefusalUnspecified)
	is.True(table.IsLetIn(k))
	is.True(table.SetConn(k, conn))
	is.True(!table.IsLetIn(k))

	is.NoErr(caller.CloseWrite())
	await(t, func() bool { _, err := conn.Read(make([]byte, 1)); return err != nil })
	p.isCut.Store(true)
	is.NoErr(conn.Close())
	await(t, conn.IsFinished)
	is.True(!conn.IsClosed())

	again := first.WithSequenceNumber(first.SequenceNumber() + 1000000)
	step := table.Decide(again, landing.ChainPosition{}, "north", landing.RefusalUnspecified)
	is.Equal(step, landing.SegmentAction(landing.AdmitFlow{}))
	is.True(table.IsLetIn(k))
	is.True(conn.IsClosed())
	is.Equal(table.FlowsOf("north"), uint32(1))
}
