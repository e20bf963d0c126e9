package relay

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/gen/wire"
	"github.com/crocuslanding/crocuslanding/core/pkg/clock"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/counter"
	"github.com/crocuslanding/crocuslanding/core/pkg/enrollment"
	"github.com/crocuslanding/crocuslanding/core/pkg/hold"
)

// newBusyForwarder returns a forwarder without sockets whose upstream has one slot, in which a request runs.
func newBusyForwarder() *Forwarder {
	c := common.New(logr.Discard(), counter.New())
	settings := landing.RelaySidecarSettings{}.WithInstance("side-1").WithService("desk").WithZone("a")
	f := &Forwarder{telemetry: c, settings: settings, controlThread: NewControlThread(c, settings, nil, nil), table: newTable(start, noTimeout), startedAt: start}
	f.controlThread.snapshot.Store(&Snapshot{upstream: landing.UpstreamState{}.WithSlots(1)})
	// The request arrives later than any time in the test, so that it does not become overdue.
	f.table.ledger = f.table.ledger.WithRequest(flowKey, 0, clock.Now().Add(time.Hour))
	return f
}

// received returns the datagram that the other side gets.
func received(t *testing.T, d landing.Datagram) landing.Datagram {
	t.Helper()
	parsed, err := wire.ParseDatagram(wire.AppendDatagram(nil, d))
	is.New(t).NoErr(err)
	return parsed
}

// Guards against a flow that is sent back to a sidecar of the previous version, whose expected response time is not known
// and counts as 0, although its upstream may be the slowest of the chain.
func TestPreviousVersion_DeferrerWithoutExpectedResponse(t *testing.T) {
	is := is.New(t)
	f := newBusyForwarder()
	syn := landing.Segment{}.WithKey(flowKey.WithSourcePort(9)).WithIsSyn(true)
	forwarded := received(t, landing.ForwardedPacket{}.WithHopAddresses(7, 8, 9).WithHopIndex(1).WithDeferredBy(1)).(landing.ForwardedPacket)
	position := f.position(f.controlThread.Snapshot(), forwarded, syn, clock.Now())
	is.True(position.ShortestWait())
	is.Equal(hold.Decide(landing.FlowAbsent{}, syn, position, landing.RefusalUnspecified), landing.DeferAdmission{})
	deferred := f.withDeferral(forwarded, flowKey.WithSourcePort(9))
	is.Equal(deferred.DeferredBy(), uint32(2))
	is.True(deferred.ExpectedResponseMicros() > 0)
	last := f.position(f.controlThread.Snapshot(), forwarded.WithHopIndex(2), syn, clock.Now())
	is.Equal(hold.Decide(landing.FlowAbsent{}, syn, last, landing.RefusalUnspecified), landing.AdmitFlow{})

	// A sidecar of the previous version keeps a deferrer that is already named, and with it the time that was stated.
	stated := forwarded.WithExpectedResponseMicros(1)
	is.Equal(f.withDeferral(stated, flowKey.WithSourcePort(9)), stated)
	last = f.position(f.controlThread.Snapshot(), stated.WithHopIndex(2), syn, clock.Now())
	is.Equal(hold.Decide(landing.FlowAbsent{}, syn, last, landing.RefusalUnspecified), landing.ReturnToDeferrer{})
}

// Guards against a subscription of a balancer of the previous version, which acknowledges no status, that confirms the
// enrollment as of its arrival: it may have waited in the socket since the start of the process.
func TestPreviousVersion_SubscriptionConfirmsStartOnly(t *testing.T) {
	is := is.New(t)
	f := newBusyForwarder()
	sentAt := start.Add(10 * time.Second)
	f.sentStatuses.record(40, sentAt)
	subscription := received(t, landing.StatusSubscription{}.WithBalancerAddress(7).WithInstance("side-1")).(landing.StatusSubscription)
	is.Equal(f.acknowledgedAt(subscription), start)
	is.Equal(f.acknowledgedAt(subscription.WithStatusSequenceNumber(40)), start)
	is.Equal(f.acknowledgedAt(subscription.WithStatusIncarnation(f.incarnation()).WithStatusSequenceNumber(40)), sentAt)

	receive := func(s Snapshot, receivedAt time.Time) Snapshot {
		return f.controlThread.handle(s, landing.SubscriptionReceived{}.WithSubscription(subscription).WithReceivedAt(receivedAt).WithAcknowledgedAt(f.acknowledgedAt(subscription)))
	}
	s := receive(Snapshot{}, start.Add(time.Second))
	is.True(s.IsEnrolled(start.Add(time.Second)))
	// The platform must confirm the enrollment before this confirmation ends.
	is.True(s.confirmation.IsRenewalDue(start.Add(time.Second)))
	later := start.Add(enrollment.Validity + time.Millisecond)
	is.True(!receive(s, later).IsEnrolled(later))
	confirmed := s.WithConfirmation(s.confirmation.WithPlatformAnswer(later, 0))
	is.True(receive(confirmed, later).IsEnrolled(later))
	// The balancer still gets statuses, although it does not acknowledge them.
	is.Equal(receive(s, later).StatusReceivers(later), []uint64{7})
}

// Guards against a status of the previous version that a balancer does not acknowledge. The incarnation and the sequence
// number, which a subscription acknowledges, are older than the subscription's fields.
func TestPreviousVersion_StatusCanBeAcknowledged(t *testing.T) {
	is := is.New(t)
	f := newBusyForwarder()
	f.sentStatuses.record(1, start.Add(time.Second))
	status := received(t, landing.SidecarStatus{}.WithInstance("side-1").WithIncarnation(f.incarnation()).WithSequenceNumber(1)).(landing.SidecarStatus)
	subscription := landing.StatusSubscription{}.WithStatusIncarnation(status.Incarnation()).WithStatusSequenceNumber(status.SequenceNumber())
	is.Equal(f.acknowledgedAt(subscription), start.Add(time.Second))
}
