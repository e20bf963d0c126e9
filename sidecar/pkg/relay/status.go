package relay

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/clock"
	"github.com/crocuslanding/crocuslanding/core/pkg/policy"
	"github.com/crocuslanding/crocuslanding/core/pkg/weight"
)

const (
	// statusInterval is the interval between two statuses to a balancer. When a balancer places a new flow,
	// the status is on average half this interval old. In that time a balancer presently places a handful of
	// flows.
	statusInterval = 250 * time.Millisecond
	// statusesPerExpiry is the number of statuses between two removals of idle flows from the table.
	statusesPerExpiry = 8
	// minIdleTimeout is the lower limit of the idle timeout of flows, for rules with a shorter one or none. A
	// flow is removed after twice its idle timeout.
	minIdleTimeout = 15 * time.Second
)

// reportStatus sends statuses until the forwarder stops. At each status it also admits waiting flows and
// counts overdue requests, and it regularly removes idle flows.
func (f *Forwarder) reportStatus() {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	previous := f.table.load(clock.Now())
	for {
		select {
		case <-f.stopper.C():
			return
		case <-ticker.C:
			now := clock.Now()
			f.table.recordAlive(now)
			f.admitWaiting()
			f.table.recordOverdueRequests(now)
			current := f.table.load(now)
			f.logEjection(previous, current, now)
			previous = current
			sequence := f.statusCount.Add(1)
			s := f.controlThread.Snapshot()
			f.sendStatus(s, sequence, s.UpstreamPhase(clock.Now(), f.settings.Heartbeat()))
			if sequence%statusesPerExpiry == 0 {
				idleTimeout := max(f.controlThread.Snapshot().policy.Rules().Rules().IdleTimeout(), minIdleTimeout)
				f.table.expire(2*idleTimeout, clock.Now())
			}
		}
	}
}

// announceStop tells the balancers at once that the sidecar admits no new flows and, if the upstream has
// ended, that the upstream has left.
func (f *Forwarder) announceStop(hasUpstreamEnded bool) {
	phase := landing.PhaseUnspecified
	if hasUpstreamEnded {
		phase = landing.PhaseLeft
	}
	f.sendStatus(f.controlThread.Snapshot(), f.statusCount.Add(1), phase)
}

// sendStatus sends a status with this sequence number and phase of the upstream to each subscribed
// balancer.
func (f *Forwarder) sendStatus(s Snapshot, sequence uint64, phase landing.Phase) {
	now := clock.Now()
	l := f.table.load(now)
	requestsPerSecond := uint32(0)
	if l.isMeasured {
		requestsPerSecond = weight.FromLatency(s.upstream.Slots(), l.averageLatency)
	}
	status := policy.StatusWithRevisions(landing.SidecarStatus{}, s.policy).
		WithInstance(f.settings.Instance()).
		WithIncarnation(f.incarnation()).
		WithSequenceNumber(sequence).
		WithUpstreamPhase(phase).
		WithRunningRequests(uint32(max(l.runningRequests, 0))).
		WithSlots(s.upstream.Slots()).
		WithOpenFlows(uint32(l.flowCount)).
		WithRequestsPerSecond(requestsPerSecond).
		WithAdmissibleFlows(uint32(max(f.admissibleFlows(s, l, now), 0))).
		WithSettledEra(s.confirmation.SettledEra(now)).
		WithUpstreamStartMillis(upstreamStartMillis(s.upstream)).
		WithSubscriberCount(uint32(s.SubscriberCount(now))).
		WithEjected(l.isEjected(now)).
		WithKnowsUnlisted(s.AreUnlistedKnown(now))
	f.sentStatuses.record(sequence, now)
	for _, receiver := range s.StatusReceivers(now) {
		f.link.Send(status.WithSubscriberRank(uint32(s.SubscriberRank(receiver, now))), receiver)
	}
}

// incarnation returns the number by which balancers distinguish this process of the sidecar from earlier ones: its start
// time in nanoseconds since 1970.
func (f *Forwarder) incarnation() uint64 {
	return uint64(f.startedAt.UnixNano())
}

// acknowledgedAt returns the time at which the sidecar sent the status that the subscription acknowledges. If the
// subscription acknowledges none whose time is kept, it can have waited in the socket since the start of the process, so
// that start is returned.
func (f *Forwarder) acknowledgedAt(subscription landing.StatusSubscription) time.Time {
	if subscription.StatusIncarnation() != f.incarnation() {
		return f.startedAt
	}
	if sentAt, found := f.sentStatuses.find(subscription.StatusSequenceNumber()); found {
		return sentAt
	}
	return f.startedAt
}
