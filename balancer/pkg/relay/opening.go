package relay

import (
	"slices"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
	"github.com/crocuslanding/crocuslanding/core/pkg/chain"
	"github.com/crocuslanding/crocuslanding/core/pkg/placement"
	"github.com/crocuslanding/crocuslanding/core/pkg/plan"
	"github.com/crocuslanding/crocuslanding/core/pkg/policy"
	"github.com/crocuslanding/crocuslanding/core/pkg/reject"
	"github.com/crocuslanding/crocuslanding/core/pkg/rules"
	"github.com/crocuslanding/crocuslanding/core/pkg/walk"
	"github.com/crocuslanding/crocuslanding/platform"
)

// firstHops is the number of sidecars to which a new flow is offered before the balancer orders the rest.
const firstHops = 3

// refuseUnlisted takes a packet to an address that is in no rule. An open flow is reset only when this balancer
// knew it: another balancer may have newer rules.
func (t *Forwarder) refuseUnlisted(segment landing.Segment) {
	t.common.Counters().CountRefusal(landing.RefusalService)
	hop, found := t.cache.find(segment, time.Now())
	if found {
		t.cache.forget(segment.Key(), hop)
	}
	if found || segment.IsSyn() && segment.EarlierCopies() == 0 {
		t.reset(segment, landing.RefusalService)
	}
}

// open sends an opening packet to the sidecars that are best for the flow.
func (t *Forwarder) open(s Snapshot, l landing.Listener, segment landing.Segment, packet platform.Packet) {
	now := time.Now()
	service, order := t.order(s, l, segment.Key(), now)
	if before, isCopy := t.cache.find(segment, now); isCopy && segment.EarlierCopies() > 0 {
		n, _ := s.directory.Find(before)
		order = placement.OrderForCopy(order, n, segment.EarlierCopies(), now)
	}
	if len(order) == 0 {
		t.refuse(s, l, segment)
		return
	}
	hops := hopsOf(order)
	hops = hops[:min(len(hops), firstHops)]
	t.place(s, service, segment, hops, 0, packet)
}

// order returns the first service of the listener with sidecars that may take the flow, and those in order.
func (t *Forwarder) order(s Snapshot, l landing.Listener, k landing.FlowKey, now time.Time) (string, []landing.Candidate) {
	hash := chain.HashKey(k)
	for _, service := range rules.ServiceOrder(l, hash) {
		var candidates []landing.Candidate
		neighbors := s.directory.OfService(service)
		mean := placement.MeanCapacity(neighbors)
		for _, n := range neighbors {
			isExcluded := s.policy.IsExcluded(n.Enrollment().Zone())
			candidates = append(candidates, placement.NewCandidate(n, mean, isExcluded, t.cache.sentSince(n), now))
		}
		if order := placement.Order(candidates, hash); len(order) > 0 {
			return service, order
		}
	}
	return "", nil
}

func hopsOf(order []landing.Candidate) []uint64 {
	hops := make([]uint64, 0, len(order))
	for _, c := range order {
		hops = append(hops, c.Address())
	}
	return hops
}

// place sends an opening packet along hops and remembers where it went.
func (t *Forwarder) place(s Snapshot, service string, segment landing.Segment, hops []uint64, part uint32, packet platform.Packet) {
	t.cache.put(segment, hops[0], time.Now())
	if n, found := s.directory.Find(hops[0]); found {
		t.cache.noteSent(n)
		t.common.Log().Info("flow placed", "flow", address.FormatFlow(segment.Key()), "sidecar", n.Enrollment().Instance(),
			"copies", segment.EarlierCopies(), "part", part, "running", n.LastStatus().RunningRequests(), "flows", n.LastStatus().OpenFlows(),
			"age", ageOf(n), "rules", s.policy.Rules().Rules().Revision())
	}
	t.send(t.parcel(s, packet).WithServiceTag(plan.ServiceTag(service)).WithChainPart(part).WithHopAddresses(hops...))
}

// ageOf returns the age of a sidecar's status for the log.
func ageOf(n landing.KnownSidecar) string {
	if n.LastStatusAt().IsZero() {
		return "none"
	}
	return time.Since(n.LastStatusAt()).Round(time.Millisecond).String()
}

// refuse rejects a new flow for which no sidecar is open. While it is not known whether one will be in a moment,
// the caller is left to send its packet again.
func (t *Forwarder) refuse(s Snapshot, l landing.Listener, segment landing.Segment) {
	if !reject.IsEnrollmentListSettled(s.directory.ChangedAt(), time.Now()) {
		t.common.Counters().CountRefusal(landing.RefusalUnready)
		return
	}
	for i := range l.SharesLen() {
		for _, n := range s.directory.OfService(l.SharesAt(i).Service()) {
			if n.LastStatus().UpstreamPhase() == landing.PhaseUnspecified && !s.policy.IsExcluded(n.Enrollment().Zone()) {
				t.common.Counters().CountRefusal(landing.RefusalUnready)
				return
			}
		}
	}
	t.refuseNew(segment, landing.RefusalZone)
}

// openAgain offers a new flow to the sidecars that have not been asked yet.
func (t *Forwarder) openAgain(s Snapshot, l landing.Listener, segment landing.Segment, p landing.ForwardedPacket, reason landing.Refusal, packet platform.Packet) {
	if t.cache.isPlacedAgain(segment) {
		t.common.Counters().CountRefusal(reason)
		return
	}
	t.cache.forget(segment.Key(), p.HopAddressesAt(0))
	tried := p.HopAddresses()[:p.HopIndex()+1]
	service, order := t.order(s, l, segment.Key(), time.Now())
	hops := slices.DeleteFunc(hopsOf(order), func(hop uint64) bool { return slices.Contains(tried, hop) })
	if p.ChainPart() == 0 && len(hops) > 0 {
		t.place(s, service, segment, hops[:min(len(hops), walk.MaxHopsPerPart)], 1, packet)
		return
	}
	isBehind := s.policy.IsOlderThan(policy.NewRevisions(p.RulesRevision(), p.ExclusionsChangedRevision()))
	if !reject.IsFinal(reason, isBehind) {
		t.common.Counters().CountRefusal(reason)
		t.common.Log().Info("flow left to its next copy", "flow", address.FormatFlow(segment.Key()), "copies", segment.EarlierCopies(),
			"reason", reason.String(), "behind", isBehind)
		return
	}
	t.refuseNew(segment, reason)
}

// refuseNew refuses a new flow at once. An earlier copy of its opening packet may have opened it meanwhile, so a copy
// is not answered.
func (t *Forwarder) refuseNew(segment landing.Segment, reason landing.Refusal) {
	if _, isHeld := t.cache.find(segment, time.Now()); isHeld || segment.EarlierCopies() > 0 {
		t.common.Counters().CountRefusal(reason)
		return
	}
	t.reset(segment, reason)
}
