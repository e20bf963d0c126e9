package relay

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/entry"
	"github.com/crocuslanding/crocuslanding/core/pkg/policy"
	"github.com/crocuslanding/crocuslanding/core/pkg/presence"
	"github.com/crocuslanding/crocuslanding/core/pkg/rules"
	"github.com/crocuslanding/crocuslanding/core/pkg/selection"
)

// position returns the position of a packet in its chain and, for a SYN, whether the upstream is busy.
func (f *Forwarder) position(s Snapshot, forwarded landing.ForwardedPacket, segment landing.Segment, now time.Time) landing.ChainPosition {
	position := landing.ChainPosition{}.
		WithHasNext(int(forwarded.HopIndex())+1 < forwarded.HopAddressesLen()).
		WithHasMore(true).
		WithDeferredEarlier(forwarded.DeferredBy() > 0).
		WithReturnedToDeferrer(forwarded.ReturnedToDeferrer())
	if !segment.IsSyn() {
		return position
	}
	upstream := f.offeredUpstream(s, f.table.load(now), segment.Key(), now)
	stated := statedResponse(forwarded)
	return position.WithUpstreamBusy(selection.IsBusy(upstream, stated)).WithShortestWait(selection.IsShortest(upstream, stated))
}

// statedResponse returns the expected response time that the sidecar which has deferred the flow states; 0 when there is
// none.
func statedResponse(forwarded landing.ForwardedPacket) time.Duration {
	return time.Duration(forwarded.ExpectedResponseMicros()) * time.Microsecond
}

// offeredUpstream returns the load of the upstream to which a new flow with this key is offered.
func (f *Forwarder) offeredUpstream(s Snapshot, l upstreamLoad, key landing.FlowKey, now time.Time) selection.Upstream {
	return selection.Upstream{
		Slots:          int(s.upstream.Slots()),
		BusySlots:      l.busySlots,
		Waiting:        f.queue.len(),
		RequestTime:    l.averageLatency,
		IsEjected:      l.isEjected(now),
		HasEarlierCopy: f.queue.has(key),
	}
}

// refusalReason returns the reason why a new flow may not be admitted; RefusalUnspecified when it may. This
// decision is final: the balancer has only proposed this sidecar.
func (f *Forwarder) refusalReason(s Snapshot, forwarded landing.ForwardedPacket, segment landing.Segment, l upstreamLoad, now time.Time) landing.Refusal {
	listener, found := s.policy.Rules().FindListener(segment.Key())
	// If the balancer has newer rules than this sidecar, its choice of the service is accepted.
	isAllowed := policy.AreRulesNewer(policy.RevisionsOfPacket(forwarded), s.policy.KnownRevisions()) || found && rules.Allows(listener, f.settings.Service())
	return entry.RefusalReason(entry.Conditions{
		IsForOtherService: forwarded.ServiceTag() != f.serviceTag,
		IsEnrolled:        s.IsEnrolled(now),
		IsAllowedByRules:  s.policy.Rules() != nil && isAllowed,
		IsZoneExcluded:    s.policy.IsExcluded(f.settings.Zone()),
		UpstreamPhase:     s.UpstreamPhase(now, f.settings.Heartbeat()),
		IsInColdStart:     presence.IsInColdStart(s.upstream, now),
		AdmissibleFlows:   f.admissibleFlows(s, l, now),
	})
}

// admissibleFlows returns the number of new flows that the rules allow the upstream now. It is negative when
// the upstream holds more flows than the rules allow.
func (f *Forwarder) admissibleFlows(s Snapshot, l upstreamLoad, now time.Time) int {
	pool := s.policy.Rules().Pool(f.settings.Service())
	free := int(pool.MaxFlows()) - l.flowCount
	if presence.IsInColdStart(s.upstream, now) {
		return min(free, l.newFlows.AdmissibleFlows(pool.ColdFlowsPerSecond(), now))
	}
	return free
}
