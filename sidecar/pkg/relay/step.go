package relay

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/presence"
	"github.com/crocuslanding/crocuslanding/platform"
)

// carryOut does what was decided about a caller's packet.
func (t *Forwarder) carryOut(step landing.SegmentAction, p landing.ForwardedPacket, packet platform.Packet, segment landing.Segment, refusal landing.Refusal) {
	switch step := step.(type) {
	case landing.CompleteHandshake:
		t.deliver(p, packet)
		t.claim(p, segment.Key())
	case landing.Deliver:
		t.deliver(p, packet)
		if p.ChainPart() > 0 || p.HopIndex() > 0 {
			t.claim(p, segment.Key())
		}
	case landing.AdmitFlow:
		now := time.Now()
		if s := t.keeper.Snapshot(); t.isFull(s, now) {
			t.park(s, p, segment, now)
			return
		}
		t.table.noteEntry(segment.Key(), now)
		t.deliver(p, packet)
		if p.ChainPart() > 0 || p.HopIndex() > 0 {
			t.claim(p, segment.Key())
		}
	case landing.OfferToUpstream:
		t.deliver(p, packet)
	case landing.DeliverAndForward:
		t.deliver(p, packet)
		t.pass(p)
	case landing.ForwardToNext:
		t.pass(p)
	case landing.DeferAdmission:
		if p.DeferredBy() == 0 {
			p = p.WithDeferredBy(p.HopIndex() + 1)
		}
		t.pass(p)
	case landing.ReturnToDeferrer:
		t.send(p.WithHopIndex(p.DeferredBy() - 1).WithReturnedToDeferrer(true))
	case landing.ReturnToBalancer:
		t.refund(p, refusal)
	case landing.ResetFlow:
		t.refund(p, step.Reason())
	case landing.AbandonHandshake:
		t.table.forget(segment.Key())
	case landing.DropSegment:
		t.common.Counters().CountRefusal(step.Reason())
	}
}

func (t *Forwarder) pass(p landing.ForwardedPacket) {
	t.send(p.WithHopIndex(p.HopIndex() + 1))
}

func (t *Forwarder) send(p landing.ForwardedPacket) {
	t.link.Send(p, p.HopAddressesAt(int(p.HopIndex())))
}

func (t *Forwarder) refund(p landing.ForwardedPacket, reason landing.Refusal) {
	s := t.keeper.Snapshot()
	shown := s.policy.AdvertisedRevisions()
	p = p.WithRulesRevision(max(p.RulesRevision(), shown.Rules())).WithExclusionsChangedRevision(max(p.ExclusionsChangedRevision(), shown.Exclusions()))
	t.link.Send(landing.ReturnedPacket{}.WithForwardedPacket(p).WithReason(reason), p.BalancerAddress())
}

// claim tells the balancer of a parcel where the flow is. That it is the present incarnation's is certain only after the
// next heartbeat.
func (t *Forwarder) claim(p landing.ForwardedPacket, k landing.FlowKey) {
	t.table.noteHome(k, p.BalancerAddress())
	s := t.keeper.Snapshot()
	born := uint64(0)
	if opened, isOpen := t.table.openSince(k); isOpen && presence.OwnsFlow(s.presence, opened) {
		born = bornMillis(s.presence)
	}
	t.link.Send(landing.FlowClaim{}.WithKey(k).WithUpstreamStartMillis(born), p.BalancerAddress())
}

// claimHeld tells balancers which of the flows opened since the heartbeat before are this incarnation's.
func (t *Forwarder) claimHeld(p landing.UpstreamState) {
	for _, c := range t.table.takeUnclaimed(p) {
		t.link.Send(landing.FlowClaim{}.WithKey(c.key).WithUpstreamStartMillis(bornMillis(p)), c.home)
	}
}

func bornMillis(p landing.UpstreamState) uint64 {
	return uint64(max(p.StartedAt().UnixMilli(), 0))
}
