package relay

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
	"github.com/crocuslanding/crocuslanding/core/pkg/clock"
	"github.com/crocuslanding/crocuslanding/core/pkg/directory"
	"github.com/crocuslanding/crocuslanding/core/pkg/subset"
	"github.com/crocuslanding/crocuslanding/platform"
)

// directoryWithSilentZone returns a directory of a service in four zones. All sidecars of zone d that the balancer subscribes
// to have been silent for 3 s and have left probes unanswered. The second result is a sidecar of zone d that it does not
// subscribe to.
func directoryWithSilentZone(now time.Time) (d *directory.Directory, unsubscribed uint64) {
	var enrollments []landing.Enrollment
	for i := range 2 * subset.MaxPerService {
		enrollments = append(enrollments, landing.Enrollment{}.WithInstance(fmt.Sprintf("side-%02d", i)).WithService("desk").
			WithZone(string(rune('a'+i%4))).WithFleetAddress(fmt.Sprintf("127.0.1.%d:7000", i+1)))
	}
	d = directory.New(1, 0).WithEnrollmentList(landing.EnrollmentList{}.WithRevision(1).WithEnrollments(enrollments...), now.Add(-10*time.Second))
	subscribed := d.Subscribed()
	isSubscribed := map[uint64]bool{}
	for _, s := range subscribed {
		isSubscribed[s.Address()] = true
	}
	for _, s := range d.Sidecars() {
		if s.Enrollment().Zone() == "d" && !isSubscribed[s.Address()] {
			unsubscribed = s.Address()
		}
	}
	for sequence := uint64(1); sequence <= 21; sequence++ {
		at := now.Add(-5*time.Second + time.Duration(sequence-1)*250*time.Millisecond)
		for _, s := range subscribed {
			if s.Enrollment().Zone() == "d" && now.Sub(at) < 3*time.Second {
				continue
			}
			status := landing.SidecarStatus{}.WithInstance(s.Enrollment().Instance()).WithIncarnation(1).WithSequenceNumber(sequence).WithUpstreamPhase(landing.PhaseServing)
			d = d.WithStatuses(landing.ReceivedStatus{}.WithStatus(status).WithSourceAddress(s.Address()).WithReceivedAt(at))
		}
	}
	for _, s := range subscribed {
		if s.Enrollment().Zone() == "d" {
			d = withRemoteProbes(d, s.Address())
		}
	}
	return d, unsubscribed
}

// withRemoteProbes returns the directory after four probes of the sidecar through other zones.
func withRemoteProbes(d *directory.Directory, sidecarAddress uint64) *directory.Directory {
	for range 4 {
		d = d.WithProbesSent(nil, []uint64{sidecarAddress})
	}
	return d
}

// Guards against open flows that are reset since those sidecars of a zone that the balancer subscribes to are lost, while the
// sidecar that holds the flows runs.
func TestForwardOpenFlow_KeepsFlowOfUnsubscribedSidecarInSilentZone(t *testing.T) {
	is := is.New(t)
	f, caller := newTestForwarder(t)
	callerIP := address.ToUint32(netip.MustParseAddr("127.0.0.2"))
	segment := landing.Segment{}.WithHasAck(true).WithAcknowledgementNumber(7).
		WithKey(landing.FlowKey{}.WithSourceAddress(callerIP).WithSourcePort(40001))
	now := clock.Now()
	d, holder := directoryWithSilentZone(now)
	forward := func(d *directory.Directory) {
		f.flows.putClaim(segment.Key(), holder, 1000, now)
		f.forwardOpenFlow(Snapshot{}.WithDirectory(d), landing.Listener{}, segment, platform.NewReset(segment.Key(), 7))
	}
	forward(d)
	is.True(!receivesReset(caller))
	probed := withRemoteProbes(d, holder)
	forward(probed.WithProbeAck(holder, 1, now))
	is.True(!receivesReset(caller))
	forward(probed) // the whole zone is unreachable
	is.True(receivesReset(caller))
}
