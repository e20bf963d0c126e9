package relay

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/entry"
	"github.com/crocuslanding/crocuslanding/core/pkg/presence"
	"github.com/crocuslanding/crocuslanding/core/pkg/rules"
)

func (t *Traffic) position(s Snapshot, p landing.ForwardedPacket) landing.ChainPosition {
	l := t.table.load()
	isFull := s.presence.Slots() > 0 && l.running >= int(s.presence.Slots())
	return landing.ChainPosition{}.
		WithHasNext(int(p.HopIndex())+1 < p.HopAddressesLen()).
		WithHasMore(true).
		WithUpstreamBusy(isFull || !l.record.Takes(time.Now())).
		WithDeferredEarlier(p.DeferredBy() > 0).
		WithReturnedToDeferrer(p.ReturnedToDeferrer())
}

// refuse is the last gate for a new flow.
func (t *Traffic) refuse(s Snapshot, p landing.ForwardedPacket, segment landing.Segment, l load, now time.Time) landing.Refusal {
	listener, found := s.policy.Rules().Find(segment.Key())
	// A balancer with newer rules knows better than this sidecar.
	isAllowed := p.RulesRevision() > s.policy.Rules().Rules().Revision() || found && rules.Allows(listener, t.settings.Service())
	return entry.Refuse(entry.Door{
		IsForeign:  p.ServiceTag() != t.service,
		IsEnrolled: s.IsEnrolled(now),
		IsAllowed:  s.policy.Rules() != nil && isAllowed,
		IsExcluded: s.policy.IsExcluded(t.settings.Zone()),
		Phase:      s.Phase(now, t.settings.Heartbeat()),
		IsCold:     presence.IsCold(s.presence, now),
		Room:       t.room(s, l, now),
	})
}

// room returns the number of new flows that the upstream takes now.
func (t *Traffic) room(s Snapshot, l load, now time.Time) int {
	pool := s.policy.Rules().Pool(t.settings.Service())
	room := int(pool.MaxFlows()) - l.flows
	if presence.IsCold(s.presence, now) {
		return min(room, l.window.Room(pool.ColdFlowsPerSecond(), now))
	}
	return room
}
