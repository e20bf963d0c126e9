package relay

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/presence"
	"github.com/crocuslanding/crocuslanding/platform"
)

// carryOut does what was decided about a caller's packet.
func (t *Traffic) carryOut(step landing.Step, p landing.Parcel, packet platform.Packet, segment landing.Segment, refusal landing.Refusal) {
	switch step := step.(type) {
	case landing.Complete:
		t.deliver(p, packet)
		t.claim(p, segment.Key())
	case landing.Deliver:
		t.deliver(p, packet)
		if p.Part() > 0 || p.Position() > 0 {
			t.claim(p, segment.Key())
		}
	case landing.Take:
		now := time.Now()
		if s := t.keeper.Snapshot(); t.isFull(s, now) {
			t.park(s, p, segment, now)
			return
		}
		t.table.noteEntry(segment.Key(), now)
		t.deliver(p, packet)
		if p.Part() > 0 || p.Position() > 0 {
			t.claim(p, segment.Key())
		}
	case landing.Ask:
		t.deliver(p, packet)
	case landing.Both:
		t.deliver(p, packet)
		t.pass(p)
	case landing.Pass:
		t.pass(p)
	case landing.Defer:
		if p.Deferred() == 0 {
			p = p.WithDeferred(p.Position() + 1)
		}
		t.pass(p)
	case landing.Recall:
		t.send(p.WithPosition(p.Deferred() - 1).WithRecalled(true))
	case landing.Return:
		t.refund(p, refusal)
	case landing.Reset:
		t.refund(p, step.Reason())
	case landing.Replace:
		t.table.forget(segment.Key())
	case landing.Drop:
		t.common.Counters().Refused(step.Reason())
	}
}

func (t *Traffic) pass(p landing.Parcel) {
	t.send(p.WithPosition(p.Position() + 1))
}

func (t *Traffic) send(p landing.Parcel) {
	t.link.Send(p, p.HopsAt(int(p.Position())))
}

func (t *Traffic) refund(p landing.Parcel, reason landing.Refusal) {
	s := t.keeper.Snapshot()
	shown := s.policy.Shown()
	p = p.WithRules(max(p.Rules(), shown.Rules())).WithExclusions(max(p.Exclusions(), shown.Exclusions()))
	t.link.Send(landing.Refund{}.WithParcel(p).WithReason(reason), p.Home())
}

// claim tells the balancer of a parcel where the flow is. That it is the present incarnation's is certain only after the
// next heartbeat.
func (t *Traffic) claim(p landing.Parcel, k landing.Key) {
	t.table.noteHome(k, p.Home())
	s := t.keeper.Snapshot()
	born := uint64(0)
	if opened, isOpen := t.table.openSince(k); isOpen && presence.HasHeld(s.presence, opened) {
		born = bornMillis(s.presence)
	}
	t.link.Send(landing.Claim{}.WithKey(k).WithBorn(born), p.Home())
}

// claimHeld tells balancers which of the flows opened since the heartbeat before are this incarnation's.
func (t *Traffic) claimHeld(p landing.Presence) {
	for _, c := range t.table.takeUnclaimed(p) {
		t.link.Send(landing.Claim{}.WithKey(c.key).WithBorn(bornMillis(p)), c.home)
	}
}

func bornMillis(p landing.Presence) uint64 {
	return uint64(max(p.Born().UnixMilli(), 0))
}
