package relay

import (
	"slices"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
	"github.com/crocuslanding/crocuslanding/core/pkg/chain"
	"github.com/crocuslanding/crocuslanding/core/pkg/clock"
	"github.com/crocuslanding/crocuslanding/core/pkg/placement"
	"github.com/crocuslanding/crocuslanding/core/pkg/plan"
	"github.com/crocuslanding/crocuslanding/core/pkg/policy"
	"github.com/crocuslanding/crocuslanding/core/pkg/reject"
	"github.com/crocuslanding/crocuslanding/core/pkg/rules"
	"github.com/crocuslanding/crocuslanding/core/pkg/walk"
	"github.com/crocuslanding/crocuslanding/platform"
)

// firstPartHops is the largest number of sidecars to which a new flow is offered before the packet returns to the
// balancer, which then ranks the remaining sidecars.
const firstPartHops = 3

// refuseUnknownService refuses a packet to an address for which there is no rule. It sends a reset in reply to the first
// copy of an opening packet. An open flow is reset only when this balancer has it in its cache, since another balancer may
// have newer rules that allow the flow. It sends no reset while other processes have newer rules, which may contain the
// address.
func (f *Forwarder) refuseUnknownService(s Snapshot, segment landing.Segment) {
	if isBehind := s.policy.IsBehind(); !reject.IsFinal(landing.RefusalService, isBehind) {
		f.leaveToNextCopy(segment, landing.RefusalService, isBehind)
		return
	}
	f.telemetry.Counters().CountRefusal(landing.RefusalService)
	sidecarAddress, found := f.flows.lookupAndUpdate(segment, clock.Now())
	if found {
		f.flows.remove(segment.Key(), sidecarAddress)
	}
	if found || segment.IsSyn() && segment.EarlierCopies() == 0 {
		f.resetFlow(segment, landing.RefusalService)
	}
}

// openFlow offers a new flow to the most suitable sidecars, or refuses it when there are none.
func (f *Forwarder) openFlow(s Snapshot, listener landing.Listener, segment landing.Segment, packet platform.Packet) {
	now := clock.Now()
	service, candidates := f.rankCandidates(s, listener, segment.Key(), now)
	if previousAddress, isCached := f.flows.lookupAndUpdate(segment, now); isCached && segment.EarlierCopies() > 0 {
		sidecar, _ := s.directory.Find(previousAddress)
		candidates = placement.OrderForCopy(candidates, sidecar, segment.EarlierCopies(), now)
	}
	if len(candidates) == 0 {
		f.refuseUnserved(s, listener, segment)
		return
	}
	hops := addressesOf(candidates)
	hops = hops[:min(len(hops), firstPartHops)]
	f.sendOpening(s, service, segment, hops, 0, packet) // part 0 is the first
}

// rankCandidates returns the first service of the listener that has sidecars to which the flow may be sent, and these
// sidecars, best first. It returns no sidecars when there is no such service.
func (f *Forwarder) rankCandidates(s Snapshot, listener landing.Listener, key landing.FlowKey, now time.Time) (string, []landing.Candidate) {
	hash := chain.HashKey(key)
	for _, service := range rules.ServiceOrder(listener, hash) {
		sidecars := s.directory.OfService(service)
		candidates := make([]landing.Candidate, 0, len(sidecars))
		mean := placement.MeanCapacity(sidecars)
		for _, sidecar := range sidecars {
			isExcluded := s.policy.IsExcluded(sidecar.Enrollment().Zone())
			candidates = append(candidates, placement.NewCandidate(sidecar, mean, isExcluded, f.flows.newFlowsSinceStatus(sidecar), now))
		}
		if ranked := placement.Order(candidates, hash); len(ranked) > 0 {
			return service, ranked
		}
	}
	return "", nil
}

// addressesOf returns the addresses of the candidates, in the same order.
func addressesOf(candidates []landing.Candidate) []uint64 {
	addresses := make([]uint64, 0, len(candidates))
	for _, c := range candidates {
		addresses = append(addresses, c.Address())
	}
	return addresses
}

// sendOpening sends an opening packet along hops, and caches and counts it for the first of them.
func (f *Forwarder) sendOpening(s Snapshot, service string, segment landing.Segment, hops []uint64, part uint32, packet platform.Packet) {
	f.flows.putOpening(segment, hops[0], clock.Now())
	if sidecar, found := s.directory.Find(hops[0]); found {
		f.flows.countNewFlow(sidecar)
		f.telemetry.Log().Info("flow placed", "flow", address.FormatFlow(segment.Key()), "sidecar", sidecar.Enrollment().Instance(),
			"copies", segment.EarlierCopies(), "part", part, "running", sidecar.LastStatus().RunningRequests(), "flows", sidecar.LastStatus().OpenFlows(),
			"age", statusAge(sidecar), "rules", s.policy.Rules().Rules().Version())
	}
	f.send(f.newForwardedPacket(s, packet).WithServiceTag(plan.ServiceTag(service)).WithChainPart(part).WithHopAddresses(hops...))
}

// statusAge returns the age of a sidecar's last status for the log, or "none" before its first status.
func statusAge(sidecar landing.KnownSidecar) string {
	if sidecar.LastStatusAt().IsZero() {
		return "none"
	}
	return clock.Since(sidecar.LastStatusAt()).Round(time.Millisecond).String()
}

// refuseUnserved refuses a new flow for which there is no candidate. It sends no reset while a sidecar may soon be
// available, because the enrolled sidecars have just changed or the phase of an upstream is not known. The caller then
// sends another copy.
func (f *Forwarder) refuseUnserved(s Snapshot, listener landing.Listener, segment landing.Segment) {
	if !reject.IsEnrollmentListSettled(s.directory.ChangedAt(), clock.Now()) {
		f.telemetry.Counters().CountRefusal(landing.RefusalUnready)
		return
	}
	for i := range listener.SharesLen() {
		for _, sidecar := range s.directory.OfService(listener.SharesAt(i).Service()) {
			if sidecar.LastStatus().UpstreamPhase() == landing.PhaseUnspecified && !s.policy.IsExcluded(sidecar.Enrollment().Zone()) {
				f.telemetry.Counters().CountRefusal(landing.RefusalUnready)
				return
			}
		}
	}
	f.refuseOpening(segment, landing.RefusalZone)
}

// retryOpening handles an opening packet that came back because no sidecar of its chain accepted the flow. After the
// first part of the chain it offers the flow to sidecars that have not been tried. After the second part, when there are
// no such sidecars, or when the reason applies to them too (reject.IsFinalEverywhere), it refuses the flow, or leaves it to
// the next copy of the packet when the reason may no longer apply by then. When a later copy has been sent or the flow has
// been claimed meanwhile, it only counts the refusal.
func (f *Forwarder) retryOpening(s Snapshot, listener landing.Listener, segment landing.Segment, returned landing.ForwardedPacket, reason landing.Refusal, packet platform.Packet) {
	if f.flows.hasNewerPlacement(segment) {
		f.telemetry.Counters().CountRefusal(reason)
		return
	}
	f.flows.remove(segment.Key(), returned.HopAddressesAt(0))
	// The sidecar that returns the flow may have claimed it while it waited there.
	f.flows.remove(segment.Key(), returned.HopAddressesAt(int(returned.HopIndex())))
	tried := returned.HopAddresses()[:returned.HopIndex()+1]
	service, candidates := f.rankCandidates(s, listener, segment.Key(), clock.Now())
	hops := slices.DeleteFunc(addressesOf(candidates), func(hop uint64) bool { return slices.Contains(tried, hop) })
	if returned.ChainPart() == 0 && len(hops) > 0 && !reject.IsFinalEverywhere(reason) {
		f.sendOpening(s, service, segment, hops[:min(len(hops), walk.MaxHopsPerPart)], 1, packet) // part 1 is the second
		return
	}
	isOutdated := s.policy.IsOlderThan(policy.RevisionsOfPacket(returned))
	if !reject.IsFinal(reason, isOutdated) {
		f.leaveToNextCopy(segment, reason, isOutdated)
		return
	}
	f.refuseOpening(segment, reason)
}

// leaveToNextCopy counts and logs a refusal that may no longer apply to the caller's next copy, and sends no reset.
func (f *Forwarder) leaveToNextCopy(segment landing.Segment, reason landing.Refusal, isBehind bool) {
	f.telemetry.Counters().CountRefusal(reason)
	f.telemetry.Log().Info("flow left to its next copy", "flow", address.FormatFlow(segment.Key()), "copies", segment.EarlierCopies(),
		"reason", reason.String(), "behind", isBehind)
}

// refuseOpening refuses a new flow with a reset. It sends no reset in reply to a later copy of an opening packet or for a
// cached flow, since an earlier copy may have opened the flow meanwhile.
func (f *Forwarder) refuseOpening(segment landing.Segment, reason landing.Refusal) {
	if _, isCached := f.flows.lookupAndUpdate(segment, clock.Now()); isCached || segment.EarlierCopies() > 0 {
		f.telemetry.Counters().CountRefusal(reason)
		return
	}
	f.resetFlow(segment, reason)
}
