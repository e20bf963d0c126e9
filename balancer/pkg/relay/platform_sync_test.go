package relay

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/clock"
	"github.com/crocuslanding/crocuslanding/core/pkg/directory"
	"github.com/crocuslanding/crocuslanding/core/pkg/policy"
)

// countReceived returns the number of sockets at which a datagram has arrived.
func countReceived(t *testing.T, sockets []net.PacketConn) int {
	t.Helper()
	is := is.New(t)
	count := 0
	for _, socket := range sockets {
		is.NoErr(socket.SetReadDeadline(time.Now().Add(20 * time.Millisecond)))
		if _, _, err := socket.ReadFrom(make([]byte, 1500)); err == nil {
			count++
		}
	}
	return count
}

// Guards against a change that waits for the next regular subscriptions, up to a second, and against one that each balancer
// passes on to all sidecars at once.
func TestSendSubscriptions_TellsSomeSidecarsOfChangeAtOnce(t *testing.T) {
	is := is.New(t)
	f, _ := newTestForwarder(t)
	var sidecars []net.PacketConn
	var enrollments []landing.Enrollment
	for i := range 2 * maxToldSidecars {
		sidecar, err := net.ListenPacket("udp4", "127.0.0.1:0")
		is.NoErr(err)
		t.Cleanup(func() { _ = sidecar.Close() })
		sidecars = append(sidecars, sidecar)
		enrollments = append(enrollments, landing.Enrollment{}.WithInstance(fmt.Sprintf("side-%d", i)).WithService("desk").WithZone("a").WithFleetAddress(sidecar.LocalAddr().String()))
	}
	d := directory.New(1, 0).WithEnrollmentList(landing.EnrollmentList{}.WithRevision(1).WithEnrollments(enrollments...), clock.Now())
	// withRules returns a snapshot with rules of this revision. All statuses have just arrived, with the revision 7.
	withRules := func(revision uint64) Snapshot {
		d := d
		for _, s := range d.Sidecars() {
			status := landing.SidecarStatus{}.WithInstance(s.Enrollment().Instance()).WithIncarnation(1).WithSequenceNumber(1).WithRulesRevision(7)
			d = d.WithStatuses(landing.ReceivedStatus{}.WithStatus(status).WithSourceAddress(s.Address()).WithReceivedAt(clock.Now()))
		}
		return NewSnapshot(1, 0).WithDirectory(d).WithPolicy(policy.Policy{}.WithRules(landing.RoutingRules{}.WithRevision(revision)))
	}
	f.sendSubscriptions(withRules(7), false, maxToldSidecars)
	is.Equal(countReceived(t, sidecars), 0)
	f.sendSubscriptions(withRules(8), false, 0)
	is.Equal(countReceived(t, sidecars), 0)
	f.sendSubscriptions(withRules(8), false, maxToldSidecars)
	is.Equal(countReceived(t, sidecars), maxToldSidecars)
	f.sendSubscriptions(withRules(8), true, 0)
	is.Equal(countReceived(t, sidecars), len(sidecars))
}
