package relay

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/counter"
	"github.com/crocuslanding/crocuslanding/core/pkg/policy"
)

// newTestForwarder returns a forwarder with open sockets that was not started, and the socket of a caller at 127.0.0.2.
func newTestForwarder(t *testing.T) (*Forwarder, net.PacketConn) {
	t.Helper()
	is := is.New(t)
	caller, err := net.ListenPacket("udp4", "127.0.0.2:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = caller.Close() })
	// Resets go to the caller's address at the port of the balancer's front socket. Other tests use ports of 127.0.0.1.
	port := netip.MustParseAddrPort(caller.LocalAddr().String()).Port()
	settings := landing.RelayBalancerSettings{}.WithInstance("edge-1").WithZone("a").
		WithFront(netip.AddrPortFrom(netip.MustParseAddr("127.0.0.3"), port).String()).
		WithFleet("127.0.0.1:0")
	telemetry := common.New(logr.Discard(), counter.New())
	f, err := NewForwarder(telemetry, settings, NewControlThread(telemetry, 1, 0, func(uint64, uint64) {}), make(chan orphanCandidate, 1))
	is.NoErr(err)
	t.Cleanup(f.Stop)
	return f, caller
}

// receivesReset reports whether a datagram arrives at the caller.
func receivesReset(caller net.PacketConn) bool {
	_ = caller.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	_, _, err := caller.ReadFrom(make([]byte, 1500))
	return err == nil
}

// Guards against callers of a route that was added who are refused by a balancer that knows that its rules are outdated.
func TestRefuseUnknownService_WaitsForNewerRules(t *testing.T) {
	is := is.New(t)
	f, caller := newTestForwarder(t)
	callerIP := netip.MustParseAddr("127.0.0.2")
	syn := landing.Segment{}.WithIsSyn(true).WithKey(landing.FlowKey{}.WithSourceAddress(address.ToUint32(callerIP)).WithSourcePort(40001))
	current := policy.Policy{}.WithRules(landing.RoutingRules{}.WithRevision(7))
	behind := current.WithRevisionsSeen(landing.PolicyRevisions{}.WithRules(8))
	f.refuseUnknownService(Snapshot{}.WithPolicy(behind), syn)
	is.True(!receivesReset(caller))
	f.refuseUnknownService(Snapshot{}.WithPolicy(behind.WithRules(landing.RoutingRules{}.WithRevision(8))), syn)
	is.True(receivesReset(caller))
	f.refuseUnknownService(Snapshot{}.WithPolicy(current), syn)
	is.True(receivesReset(caller))
}
