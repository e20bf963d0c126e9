package relay

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/weight"
)

const (
	// statusInterval is the time between two statuses to a balancer. A new flow is placed by a status of half
	// this age on average, in which a balancer of today places a handful.
	statusInterval = 250 * time.Millisecond
	// expireTicks is the number of statuses between two sweeps of the flow table.
	expireTicks = 8
	// leastIdle is the least time without a packet after which a flow is forgotten, whatever the rules say.
	leastIdle = 15 * time.Second
)

// report sends statuses until the traffic stops.
func (t *Forwarder) report() {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	before := t.table.load()
	for {
		select {
		case <-t.done.C():
			return
		case now := <-ticker.C:
			t.admit()
			t.table.noteOverdue(now)
			after := t.table.load()
			t.logEjection(before, after, now)
			before = after
			sequence := t.sequence.Add(1)
			s := t.keeper.Snapshot()
			t.sendStatus(s, sequence, s.Phase(time.Now(), t.settings.Heartbeat()))
			if sequence%expireTicks == 0 {
				idle := max(t.keeper.Snapshot().policy.Rules().Rules().IdleTimeout(), leastIdle)
				t.table.expire(2*idle, time.Now())
			}
		}
	}
}

// sayStopping tells the balancers at once that no new flow is taken here, and whether the sidecar is gone for good.
func (t *Forwarder) sayStopping(isGone bool) {
	phase := landing.PhaseUnspecified
	if isGone {
		phase = landing.PhaseLeft
	}
	t.sendStatus(t.keeper.Snapshot(), t.sequence.Add(1), phase)
}

func (t *Forwarder) sendStatus(s Snapshot, sequence uint64, phase landing.Phase) {
	now := time.Now()
	l := t.table.load()
	measured := uint32(0)
	if l.isMeasured {
		measured = weight.FromLatency(s.presence.Slots(), l.usual)
	}
	shown := s.policy.AdvertisedRevisions()
	status := landing.SidecarStatus{}.
		WithInstance(t.settings.Instance()).
		WithIncarnation(uint64(t.startedAt.UnixNano())).
		WithSequenceNumber(sequence).
		WithUpstreamPhase(phase).
		WithRunningRequests(uint32(max(l.running, 0))).
		WithSlots(s.presence.Slots()).
		WithOpenFlows(uint32(l.flows)).
		WithRequestsPerSecond(measured).
		WithAdmissibleFlows(uint32(max(t.room(s, l, now), 0))).
		WithRulesRevision(shown.Rules()).
		WithExclusionsChangedRevision(shown.Exclusions()).
		WithUpstreamStartMillis(bornMillis(s.presence)).
		WithSubscriberCount(uint32(len(s.homes))).
		WithEjected(!l.record.IsHealthy(now))
	for _, h := range s.homes {
		if now.Sub(h.greeted) <= homeTime {
			t.link.Send(status, h.hop)
		}
	}
}
