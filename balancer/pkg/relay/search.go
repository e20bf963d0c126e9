package relay

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/absence"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
	"github.com/crocuslanding/crocuslanding/core/pkg/chain"
	"github.com/crocuslanding/crocuslanding/core/pkg/clock"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/rules"
	"github.com/crocuslanding/crocuslanding/core/pkg/walk"
	"github.com/crocuslanding/crocuslanding/platform"
)

// orphanCandidate is a flow that none of the reachable sidecars known to the balancer holds, as a complete walk has shown.
type orphanCandidate struct {
	key landing.FlowKey
	// lastAcknowledged is the last TCP acknowledgement number from the caller.
	lastAcknowledged uint32
	// generation identifies the set of sidecars that the walk covered.
	generation uint64
	// requestID identifies the request in the packet, for the log; empty when there is none.
	requestID string
	// unreachable are the addresses of the sidecars that were not asked, with the time since which each is silent.
	unreachable map[uint64]time.Time
	// foundAt is the time at which the walk ended.
	foundAt time.Time
}

// forwardOpenFlow sends a packet of an open flow to the sidecar at which the flow was last seen. It starts a walk over
// all sidecars when no sidecar is cached for the flow, and when the cached sidecar is unreachable together with its zone.
// In the second case the flow is reset at once if the sidecar has claimed it for an upstream process whose start time is
// known: that sidecar then certainly held the flow, and cannot be reached.
func (f *Forwarder) forwardOpenFlow(s Snapshot, listener landing.Listener, segment landing.Segment, packet platform.Packet) {
	sidecarAddress, found := f.flows.lookupAndUpdate(segment, clock.Now())
	isUnreachable := f.isUnreachable(s, sidecarAddress)
	switch {
	case isUnreachable && f.flows.isClaimedByKnownProcess(segment.Key()):
		f.resetUnreachable(segment, sidecarAddress)
		return
	case isUnreachable || !found:
		f.findHolder(s, listener, segment, f.newForwardedPacket(s, packet))
		return
	}
	for _, path := range f.paths(s, sidecarAddress) {
		f.send(f.newForwardedPacket(s, packet).WithHopAddresses(path...))
	}
}

// isUnreachable reports whether the sidecar at this address is unreachable together with its zone.
func (f *Forwarder) isUnreachable(s Snapshot, sidecarAddress uint64) bool {
	now := clock.Now()
	sidecar, found := s.directory.Find(sidecarAddress)
	// The state of its zone, for which all sidecars are looked at, is needed only for a sidecar that may be unreachable.
	if !found || !absence.IsStatusOverdue(sidecar, now) || !absence.HasUnansweredRemoteProbes(sidecar) {
		return false
	}
	_, isUnreachable := absence.UnreachableSidecars(s.directory.Sidecars(), now)[sidecarAddress]
	return isUnreachable
}

// resetUnreachable resets a flow that is held by a sidecar in an unreachable zone, unless the packet is itself a reset.
func (f *Forwarder) resetUnreachable(segment landing.Segment, sidecarAddress uint64) {
	f.flows.remove(segment.Key(), sidecarAddress)
	if segment.IsReset() {
		return
	}
	// reset.dark counts flows reset because of an unreachable zone.
	f.telemetry.Counters().Counter("reset.dark").Inc(1)
	f.resetFlow(segment, landing.RefusalZone)
}

// paths returns the lists of hops over which a packet is sent to the sidecar at this address. Usually there is one, the
// direct path. When no status of the sidecar arrives but a proxy, another sidecar, recently relayed its answer to a probe,
// the only path leads through the proxy. Otherwise, when the status is overdue, the packet is sent both directly and
// through a third sidecar (the detour), if there is one. The upstream discards the duplicate.
func (f *Forwarder) paths(s Snapshot, sidecarAddress uint64) [][]uint64 {
	now := clock.Now()
	direct := []uint64{sidecarAddress}
	sidecar, found := s.directory.Find(sidecarAddress)
	if !found {
		return [][]uint64{direct}
	}
	if absence.IsReachableByProxy(sidecar, now) {
		return [][]uint64{{sidecar.ProbeAckProxy(), sidecarAddress}}
	}
	if detour, hasDetour := absence.DetourHop(s.directory.Sidecars(), sidecar, f.zone, now); hasDetour {
		return [][]uint64{direct, {detour, sidecarAddress}}
	}
	return [][]uint64{direct}
}

// findHolder begins a search over all sidecars for the one that holds the flow of a packet.
func (f *Forwarder) findHolder(s Snapshot, listener landing.Listener, segment landing.Segment, p landing.ForwardedPacket) {
	number, isBegun := f.searches.begin(segment.Key(), p, s.directory.Generation(), clock.Now())
	if !isBegun {
		// searches_left_out counts packets whose holder was not searched because too many searches are in progress.
		f.telemetry.Counters().Counter("searches_left_out").Inc(1)
		return
	}
	common.Notify(f.searchBegun)
	f.continueSearch(s, listener, segment, number, nil)
}

// continueSearch sends the packet of a search to the next sidecars, after a part with the hops returned has come back or,
// without hops, because the search is due. When nothing is left to ask and no sidecar holds the flow, it reports the flow
// as a candidate for a reset. The search starts again when the set of enrolled sidecars has changed, since the sidecars
// are denoted by their index in it.
func (f *Forwarder) continueSearch(s Snapshot, listener landing.Listener, segment landing.Segment, number uint32, returned []uint64) {
	now := clock.Now()
	f.searches.trust(returned...)
	unreachable := absence.UnreachableSidecars(s.directory.Sidecars(), now)
	skipped := skippedSidecars(s, unreachable)
	candidates := walk.NewCandidates(s.directory.Sidecars(), func(service string) bool { return rules.Allows(listener, service) }, f.searches.doubtedSidecars(now), now)
	var parts [][]uint64
	var silent []uint64
	current, found := f.searches.update(number, segment.Key(), func(p packetSearch, mayWiden bool) packetSearch {
		if p.generation != s.directory.Generation() {
			p.generation, p.search = s.directory.Generation(), walk.Search{}
		}
		p.search, parts, silent = p.search.WithReturned(candidates, returned).Next(candidates, skipped, chain.HashKey(segment.Key()), mayWiden, now)
		p.isEnded = p.search.IsEnded(candidates, skipped)
		return p
	})
	if !found {
		return
	}
	for _, hops := range parts {
		f.send(current.forwarded.WithHopAddresses(hops...).WithHopIndex(0).WithChainPart(firstSearchPart))
	}
	f.noteSilent(s, segment, silent, now)
	if current.isEnded && current.search.IsUnheld(candidates, skipped) {
		f.reportOrphanCandidate(current, segment, unreachable)
	}
}

// firstSearchPart is the number of a chain's part that is sent in a search. Part 0 goes to the cached sidecar.
const firstSearchPart = 1

// noteSilent logs the sidecars that have left a packet unanswered, and has them asked last for some time.
func (f *Forwarder) noteSilent(s Snapshot, segment landing.Segment, silent []uint64, now time.Time) {
	if len(silent) == 0 {
		return
	}
	f.searches.doubt(silent, now)
	names := make([]string, 0, len(silent))
	for _, sidecarAddress := range silent {
		sidecar, _ := s.directory.Find(sidecarAddress)
		names = append(names, sidecar.Enrollment().Instance())
	}
	f.telemetry.Counters().Counter("searches_unanswered").Inc(int64(len(silent)))
	f.telemetry.Log().Info("search unanswered", "flow", address.FormatFlow(segment.Key()), "sidecars", names)
}

// handleFound ends the searches for a flow that the sidecar at this address has claimed. Packets of the flow that are
// still on their way to other sidecars are sent to it at once.
func (f *Forwarder) handleFound(key landing.FlowKey, sidecarAddress uint64) {
	f.searches.trust(sidecarAddress)
	unfinished := f.searches.takeFound(key)
	if len(unfinished) < 2 {
		return
	}
	for _, p := range unfinished {
		f.send(p.forwarded.WithHopAddresses(sidecarAddress).WithHopIndex(0).WithChainPart(0))
	}
}

// continueSearches continues the searches that are due, until the forwarder stops.
func (f *Forwarder) continueSearches() {
	for {
		select {
		case <-f.stopper.C():
			return
		case <-f.searchBegun:
		}
		for common.Sleep(f.stopper, searchInterval) {
			due, isActive := f.searches.due(clock.Now())
			for _, number := range due {
				f.continueDueSearch(number)
			}
			if !isActive {
				break
			}
		}
	}
}

// searchInterval is the interval at which searches are continued whose packets do not come back.
const searchInterval = walk.BurstInterval

// continueDueSearch continues one search, unless the rules no longer have its listener.
func (f *Forwarder) continueDueSearch(number uint32) {
	p, found := f.searches.find(number)
	if !found {
		return
	}
	packet, err := platform.ParsePacket(p.forwarded.Packet())
	if err != nil {
		return
	}
	s := f.control.Snapshot()
	segment := packet.CallerSegment()
	if listener, found := s.policy.Rules().FindListener(segment.Key()); found {
		f.continueSearch(s, listener, segment, number, nil)
	}
}

// skippedSidecars returns the sidecars that need not be asked: those that have reported the end of their upstream, and
// those that are unreachable together with their zones.
func skippedSidecars(s Snapshot, unreachable map[uint64]time.Time) walk.AskedSet {
	var skipped walk.AskedSet
	for i, sidecar := range s.directory.Sidecars() {
		_, isUnreachable := unreachable[sidecar.Address()]
		if sidecar.LastStatus().UpstreamPhase() == landing.PhaseLeft || isUnreachable {
			skipped = skipped.With(i)
		}
	}
	return skipped
}

// reportOrphanCandidate counts a packet whose flow no known sidecar holds as refused, and passes the flow on to the
// OrphanResetter. The flow is not passed on when the packet is itself a reset, or when the channel is full.
func (f *Forwarder) reportOrphanCandidate(p packetSearch, segment landing.Segment, unreachable map[uint64]time.Time) {
	f.telemetry.Counters().CountRefusal(landing.RefusalUnknown)
	if segment.IsReset() {
		return
	}
	candidate := orphanCandidate{key: segment.Key(), lastAcknowledged: segment.AcknowledgementNumber(), generation: p.generation, requestID: requestIDOf(p.forwarded), unreachable: unreachable, foundAt: clock.Now()}
	select {
	case f.orphanCandidates <- candidate:
	default:
		// proofs_left_out counts candidates dropped because the channel is full.
		f.telemetry.Counters().Counter("proofs_left_out").Inc(1)
	}
}

// requestIDOf returns the identifier of the request that starts in the packet, or "" when no request starts there.
func requestIDOf(p landing.ForwardedPacket) string {
	packet, err := platform.ParsePacket(p.Packet())
	if err != nil {
		return ""
	}
	return platform.RequestID(packet.Payload())
}
