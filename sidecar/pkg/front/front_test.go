package front

import (
	"encoding/binary"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/counter"
	"github.com/crocuslanding/crocuslanding/core/pkg/envelope"
	"github.com/crocuslanding/crocuslanding/core/pkg/packet"
	"github.com/crocuslanding/crocuslanding/sidecar/pkg/keeper"
)

const (
	synFlag        = 0x02
	flagsOffset    = 20 + 13
	checksumOffset = 20 + 16
	testTimeout    = 5 * time.Second
)

// newSnapshot returns the control state of a sidecar of the service desk. The lists in this state assign the
// address 10.200.0.1:80 to the service owner.
func newSnapshot(owner string) keeper.Snapshot {
	grant := landing.Grant{}.WithService(owner).WithZones("a").WithFlows(10)
	lists := landing.Lists{}.
		WithServices(landing.Service{}.WithName(owner).WithAddress("10.200.0.1:80").WithKind(landing.KindStream)).
		WithPlans(landing.Plan{}.WithName("full").WithGrants(grant)).
		WithCustomers(landing.Customer{}.WithName("north").WithPlan("full").WithPrefixes("10.1.0.0/24"))
	target := landing.Target{}.
		WithInstance("desk-1").
		WithService("desk").
		WithZone("a").
		WithPhase(landing.PhaseServing)
	return keeper.NewSnapshot(target).
		WithLists(landing.ListsRoot{}.WithSerial(1), lists).
		WithWeights([]uint32{1}, 0) // one target, which is this sidecar's own
}

// harness is a forwarder with a socket that takes the place of both the balancer and the fabric.
type harness struct {
	forwarder *Forwarder
	conn      *net.UDPConn
	counters  *counter.Set
}

func newHarness(t *testing.T, s keeper.Snapshot) *harness {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{conn: conn, counters: counter.New()}
	settings := landing.SidecarSettings{}.
		WithFront("127.0.0.1:0").
		WithFabric(conn.LocalAddr().String()).
		WithConnections(10).
		WithKeepalive(time.Second)
	c := common.New(logr.Discard(), h.counters)
	h.forwarder, err = New(c, settings, func() keeper.Snapshot { return s }, func() bool { return false }, func() {})
	if err != nil {
		t.Fatal(err)
	}
	h.forwarder.Start(1, func(r *tcp.ForwarderRequest) { r.Complete(true) }) // one worker; each flow is reset
	t.Cleanup(func() {
		h.forwarder.Stop()
		_ = conn.Close()
	})
	return h
}

// open sends a SYN of a flow to 10.200.0.1:80, as a balancer does whose lists assign this address to the
// given service.
func (h *harness) open(t *testing.T, service string) {
	t.Helper()
	k := landing.FlowKey{}.
		WithSourceAddress(address.ToUint32(netip.MustParseAddr("10.1.0.7"))).
		WithSourcePort(4000).
		WithDestinationAddress(address.ToUint32(netip.MustParseAddr("10.200.0.1"))).
		WithDestinationPort(80)
	syn := packet.NewCallerReset(k, 1) // with sequence number 1
	// The checksum is the complement of a ones' complement sum over the segment, so it grows by the amount by
	// which the flags decrease. The flags of a reset are a larger number than those of a SYN.
	checksum := uint32(binary.BigEndian.Uint16(syn[checksumOffset:])) + uint32(syn[flagsOffset]) - synFlag
	binary.BigEndian.PutUint16(syn[checksumOffset:], uint16(checksum+checksum>>16))
	syn[flagsOffset] = synFlag
	b := append(make([]byte, envelope.MaxHeaderBytes), syn...)
	chain := landing.Chain{}.WithService(service).WithHops(landing.Hop{})
	balancer := h.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	first := envelope.WriteHeader(b, envelope.MaxHeaderBytes, chain, 0, balancer, envelope.NewKeys(landing.Keyring{}))
	if _, err := h.conn.WriteTo(b[first:], h.forwarder.conn.LocalAddr()); err != nil {
		t.Fatal(err)
	}
}

func TestForwarderDropsSynForOtherService(t *testing.T) {
	for name, c := range map[string]struct{ owner, tag string }{
		"balancer has old lists": {"store", "desk"},
		"sidecar has old lists":  {"desk", "store"},
		"neither has old lists":  {"store", "store"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, newSnapshot(c.owner))
			h.open(t, c.tag)
			foreign := h.counters.Counter("refused." + landing.RefusalForeign.String())
			await(func() bool { return foreign.Count() > 0 })
			is.Equal(foreign.Count(), int64(1))
			is.Equal(h.forwarder.Table().Len(), 0)
		})
	}
}

func TestForwarderAdmitsSynForOwnService(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, newSnapshot("desk"))
	h.open(t, "desk")
	await(func() bool { return h.forwarder.Table().Len() > 0 })
	is.Equal(h.forwarder.Table().Len(), 1)
	is.Equal(h.forwarder.Table().CustomerFlowCount("north"), uint32(1))
}

// await waits until condition returns true, at most for testTimeout. The caller checks the result.
func await(condition func() bool) {
	for deadline := time.Now().Add(testTimeout); !condition() && time.Now().Before(deadline); {
		<-time.After(time.Millisecond)
	}
}

// The harness rejects the flow in the handler of the stack, which then sends a reset. The forwarder must
// not pass the reset on to the caller, since the flow was admitted.
func TestForwarderSuppressesStackResetOfAdmittedFlow(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, newSnapshot("desk"))
	h.open(t, "desk")
	refused := h.counters.Counter("refused_by_stack")
	await(func() bool { return refused.Count() > 0 })
	is.Equal(refused.Count(), int64(1))
	is.NoErr(h.conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond)))
	_, _, err := h.conn.ReadFromUDPAddrPort(make([]byte, packet.MaxBytes))
	is.True(err != nil) // nothing reaches the caller
	is.Equal(h.forwarder.Table().Len(), 1)
}
