package relay

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/entry"
	"github.com/crocuslanding/crocuslanding/core/pkg/presence"
	"github.com/crocuslanding/crocuslanding/core/pkg/rules"
)

func (t *Forwarder) position(s Snapshot, p landing.ForwardedPacket) landing.ChainPosition {
	l := t.table.load()
	isFull := s.presence.Slots() > 0 && l.running >= int(s.presence.Slots())
	return landing.ChainPosition{}.
		WithHasNext(int(p.HopIndex())+1 < p.HopAddressesLen()).
		WithHasMore(true).
		WithUpstreamBusy(isFull || !l.record.AdmitsNewFlow(time.Now())).
		WithDeferredEarlier(p.DeferredBy() > 0).
		WithReturnedToDeferrer(p.ReturnedToDeferrer())
}

// refuse is the last gate for a new flow.
func (t *Forwarder) refuse(s Snapshot, p landing.ForwardedPacket, segment landing.Segment, l load, now time.Time) landing.Refusal {
	listener, found := s.policy.Rules().FindListener(segment.Key())
	// A balancer with newer rules knows better than this sidecar.
	isAllowed := p.RulesRevision() > s.policy.Rules().Rules().Revision() || found && rules.Allows(listener, t.settings.Service())
	return entry.RefusalReason(entry.Conditions{
		IsForOtherService: p.ServiceTag() != t.service,
		IsEnrolled:        s.IsEnrolled(now),
		IsAllowedByRules:  s.policy.Rules() != nil && isAllowed,
		IsZoneExcluded:    s.policy.IsExcluded(t.settings.Zone()),
		UpstreamPhase:     s.Phase(now, t.settings.Heartbeat()),
		IsInColdStart:     presence.IsInColdStart(s.presence, now),
		AdmissibleFlows:   t.room(s, l, now),
	})
}

// room returns the number of new flows that the upstream takes now.
func (t *Forwarder) room(s Snapshot, l load, now time.Time) int {
	pool := s.policy.Rules().Pool(t.settings.Service())
	room := int(pool.MaxFlows()) - l.flows
	if presence.IsInColdStart(s.presence, now) {
		return min(room, l.window.AdmissibleFlows(pool.ColdFlowsPerSecond(), now))
	}
	return room
}
