package relay

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/entry"
	"github.com/crocuslanding/crocuslanding/core/pkg/presence"
	"github.com/crocuslanding/crocuslanding/core/pkg/rules"
)

func (t *Traffic) position(s Snapshot, p landing.Parcel) landing.Position {
	l := t.table.load()
	isFull := s.presence.Slots() > 0 && l.running >= int(s.presence.Slots())
	return landing.Position{}.
		WithNext(int(p.Position())+1 < p.HopsLen()).
		WithMore(true).
		WithBusy(isFull || !l.record.Takes(time.Now())).
		WithDeferred(p.Deferred() > 0).
		WithRecalled(p.Recalled())
}

// refuse is the last gate for a new flow.
func (t *Traffic) refuse(s Snapshot, p landing.Parcel, segment landing.Segment, l load, now time.Time) landing.Refusal {
	listener, found := s.policy.Rules().Find(segment.Key())
	// A balancer with newer rules knows better than this sidecar.
	isAllowed := p.Rules() > s.policy.Rules().Rules().Revision() || found && rules.Allows(listener, t.settings.Service())
	return entry.Refuse(entry.Door{
		IsForeign:  p.Service() != t.service,
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
	room := int(pool.Connections()) - l.flows
	if presence.IsCold(s.presence, now) {
		return min(room, l.window.Room(pool.Rate(), now))
	}
	return room
}
