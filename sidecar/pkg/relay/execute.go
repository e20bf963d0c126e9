package relay

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/clock"
	"github.com/crocuslanding/crocuslanding/core/pkg/policy"
	"github.com/crocuslanding/crocuslanding/core/pkg/presence"
	"github.com/crocuslanding/crocuslanding/core/pkg/selection"
	"github.com/crocuslanding/crocuslanding/platform"
)

// execute carries out the action for a caller's packet. packet and segment are the parsed content of
// forwarded, and refusal is the reason that goes back to the balancer with a returned packet. A SYN from
// the queue has waited since waitingSince, which is the zero time for other packets.
func (f *Forwarder) execute(action landing.SegmentAction, forwarded landing.ForwardedPacket, packet platform.Packet, segment landing.Segment, refusal landing.Refusal, waitingSince time.Time) {
	switch action := action.(type) {
	case landing.CompleteHandshake:
		f.deliver(forwarded, packet)
		f.claimFlow(forwarded.BalancerAddress(), segment.Key())
	case landing.Deliver:
		f.deliver(forwarded, packet)
		f.claimFromLaterHop(forwarded, segment.Key())
	case landing.AdmitFlow:
		now := clock.Now()
		if s := f.controlThread.Snapshot(); f.isUpstreamFull(s, now) {
			f.enqueue(s, forwarded, segment, waitingSince, now)
			return
		}
		f.table.recordAdmission(segment.Key(), now)
		f.recordStart(segment, now)
		f.deliver(forwarded, packet)
		f.claimFromLaterHop(forwarded, segment.Key())
	case landing.OfferToUpstream:
		f.table.recordOffer(segment, forwarded.BalancerAddress(), clock.Now())
		f.deliver(forwarded, packet)
	case landing.DeliverAndForward:
		f.deliver(forwarded, packet)
		f.forwardToNext(forwarded)
	case landing.ForwardToNext:
		f.forwardToNext(forwarded)
	case landing.DeferAdmission:
		f.forwardToNext(f.withDeferral(forwarded, segment.Key()))
	case landing.ReturnToDeferrer:
		f.send(forwarded.WithHopIndex(forwarded.DeferredBy() - 1).WithReturnedToDeferrer(true))
	case landing.ReturnToBalancer:
		f.refuse(forwarded, refusal, waitingSince)
	case landing.ResetFlow:
		f.refuse(forwarded, action.Reason(), waitingSince)
	case landing.AbandonHandshake:
		f.table.remove(segment.Key())
	case landing.DropSegment:
		f.telemetry.Counters().CountRefusal(action.Reason())
	}
}

// withDeferral returns the packet with this sidecar as the one that defers it, unless an earlier one expects to
// respond sooner.
func (f *Forwarder) withDeferral(forwarded landing.ForwardedPacket, key landing.FlowKey) landing.ForwardedPacket {
	now := clock.Now()
	upstream := f.offeredUpstream(f.controlThread.Snapshot(), f.table.load(now), key, now)
	if forwarded.DeferredBy() > 0 && !selection.IsShortest(upstream, statedResponse(forwarded)) {
		return forwarded
	}
	return forwarded.WithDeferredBy(forwarded.HopIndex() + 1).WithExpectedResponseMicros(uint32(upstream.ExpectedResponse().Microseconds()))
}

// recordStart records that a new flow is admitted now.
func (f *Forwarder) recordStart(segment landing.Segment, now time.Time) {
	listener, _ := f.controlThread.Policy().Rules().FindListener(segment.Key())
	f.queue.recordAdmission(segment.Key(), listener.ResponseAim() > 0, now)
}

// forwardToNext sends a packet to the next sidecar of its chain.
func (f *Forwarder) forwardToNext(forwarded landing.ForwardedPacket) {
	f.send(forwarded.WithHopIndex(forwarded.HopIndex() + 1))
}

// send sends a packet to the sidecar at its hop index.
func (f *Forwarder) send(forwarded landing.ForwardedPacket) {
	f.link.Send(forwarded, forwarded.HopAddressesAt(int(forwarded.HopIndex())))
}

// returnToBalancer sends a packet back to the balancer that sent it. The packet then carries the higher
// revisions of rules and exclusions: those that it already carried or those of this sidecar.
func (f *Forwarder) returnToBalancer(forwarded landing.ForwardedPacket, reason landing.Refusal) {
	s := f.controlThread.Snapshot()
	forwarded = policy.PacketWithRevisions(forwarded, policy.Newest(policy.RevisionsOfPacket(forwarded), s.policy.AdvertisedRevisions()))
	f.link.Send(landing.ReturnedPacket{}.WithForwardedPacket(forwarded).WithReason(reason), forwarded.BalancerAddress())
}

// claimFromLaterHop claims a flow of this sidecar to the balancer that forwarded its packet, unless this sidecar is the first
// of the chain, at which the balancer has cached the flow when it sent the SYN.
func (f *Forwarder) claimFromLaterHop(forwarded landing.ForwardedPacket, k landing.FlowKey) {
	if forwarded.ChainPart() > 0 || forwarded.HopIndex() > 0 {
		f.claimFlow(forwarded.BalancerAddress(), k)
	}
}

// claimFlow tells the balancer at this address, which has sent a packet of flow k, that this sidecar's upstream
// holds the flow. Whether the flow belongs to the upstream's current process is certain only after the next
// heartbeat. Until then the claim states the start time 0.
func (f *Forwarder) claimFlow(balancerAddress uint64, k landing.FlowKey) {
	f.table.setClaimBalancer(k, balancerAddress)
	s := f.controlThread.Snapshot()
	startMillis := uint64(0)
	if firstReplyAt, isOpen := f.table.firstReplyTime(k); isOpen && presence.OwnsFlow(s.upstream, firstReplyAt) {
		startMillis = upstreamStartMillis(s.upstream)
	}
	f.link.Send(landing.FlowClaim{}.WithKey(k).WithUpstreamStartMillis(startMillis), balancerAddress)
}

// claimPendingFlows tells balancers which of the flows that were opened since the previous heartbeat belong
// to the upstream's current process.
func (f *Forwarder) claimPendingFlows(upstream landing.UpstreamState) {
	for _, c := range f.table.takePendingClaims(upstream) {
		f.link.Send(landing.FlowClaim{}.WithKey(c.key).WithUpstreamStartMillis(upstreamStartMillis(upstream)), c.balancerAddress)
	}
}

// upstreamStartMillis returns the start time of the upstream's process in milliseconds since 1970 by its
// clock; 0 before its first heartbeat.
func upstreamStartMillis(upstream landing.UpstreamState) uint64 {
	return uint64(max(upstream.StartedAt().UnixMilli(), 0))
}
