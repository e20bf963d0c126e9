package relay

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/absence"
	"github.com/crocuslanding/crocuslanding/core/pkg/chain"
	"github.com/crocuslanding/crocuslanding/core/pkg/rules"
	"github.com/crocuslanding/crocuslanding/core/pkg/walk"
	"github.com/crocuslanding/crocuslanding/platform"
)

// orphanCandidate is a flow that none of the reachable sidecars known to the balancer holds, as a complete walk has shown.
type orphanCandidate struct {
	key landing.FlowKey
	// lastAcknowledged is the last TCP acknowledgement number from the caller.
	lastAcknowledged uint32
	// enrollmentsRevision identifies the set of enrolled sidecars that the walk covered.
	enrollmentsRevision uint64
	// requestID identifies the request in the packet, for the log; empty when there is none.
	requestID string
	// unreachableZones are the zones whose sidecars were not asked.
	unreachableZones map[string]bool
}

// forwardOpenFlow sends a packet of an open flow to the sidecar at which the flow was last seen. It starts a walk over
// all sidecars when no sidecar is cached for the flow, and when the cached sidecar's status is overdue and its zone
// unreachable. In the second case the flow is reset at once if the sidecar has claimed it for an upstream process whose
// start time is known: that sidecar then certainly held the flow, and cannot be reached.
func (f *Forwarder) forwardOpenFlow(s Snapshot, listener landing.Listener, segment landing.Segment, packet platform.Packet) {
	sidecarAddress, found := f.flows.lookupAndUpdate(segment, time.Now())
	unreachable := f.zonesIfUnreachable(s, sidecarAddress)
	switch {
	case unreachable != nil && f.flows.isClaimedByKnownProcess(segment.Key()):
		f.resetUnreachable(segment, sidecarAddress)
		return
	case unreachable != nil || !found:
		f.findHolder(s, listener, segment, f.newForwardedPacket(s, packet))
		return
	}
	for _, path := range f.paths(s, sidecarAddress) {
		f.send(f.newForwardedPacket(s, packet).WithHopAddresses(path...))
	}
}

// zonesIfUnreachable returns all unreachable zones if the sidecar at this address is in one of them and its status is
// overdue, and nil otherwise.
func (f *Forwarder) zonesIfUnreachable(s Snapshot, sidecarAddress uint64) map[string]bool {
	now := time.Now()
	sidecar, found := s.directory.Find(sidecarAddress)
	if !found || !absence.IsStatusOverdue(sidecar, now) {
		return nil
	}
	if unreachable := absence.UnreachableZones(s.directory.Sidecars(), now); unreachable[sidecar.Enrollment().Zone()] {
		return unreachable
	}
	return nil
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
	now := time.Now()
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

// findHolder sends a packet along the next part of the walk over all sidecars, to find the one that holds the flow. When
// all have been asked, it reports the flow as a candidate for a reset. It gives up after maxWalkParts parts.
func (f *Forwarder) findHolder(s Snapshot, listener landing.Listener, segment landing.Segment, p landing.ForwardedPacket) {
	unreachable := absence.UnreachableZones(s.directory.Sidecars(), time.Now())
	hops := walk.NextPart(walkCandidates(s, listener), withSkipped(s, p.AskedSidecars(), unreachable), chain.HashKey(segment.Key()))
	if len(hops) == 0 {
		f.reportOrphanCandidate(s, segment, p, unreachable)
		return
	}
	if p.ChainPart() >= maxWalkParts {
		f.telemetry.Counters().Counter("walks_broken_off").Inc(1)
		return
	}
	f.send(p.WithHopAddresses(hops...).WithHopIndex(0).WithChainPart(p.ChainPart() + 1))
}

// withSkipped returns the set together with the sidecars that need not be asked: those that have reported the end of
// their upstream, and those in unreachable zones.
func withSkipped(s Snapshot, asked walk.AskedSet, unreachable map[string]bool) walk.AskedSet {
	for i, sidecar := range s.directory.Sidecars() {
		if sidecar.LastStatus().UpstreamPhase() == landing.PhaseLeft || unreachable[sidecar.Enrollment().Zone()] {
			asked = asked.With(i)
		}
	}
	return asked
}

// reportOrphanCandidate counts a packet whose flow no known sidecar holds as refused, and passes the flow on to the
// OrphanResetter. The flow is not passed on when the packet is itself a reset, when the channel is full, or when the set
// of enrolled sidecars has changed since the walk last began, so that some were not asked.
func (f *Forwarder) reportOrphanCandidate(s Snapshot, segment landing.Segment, p landing.ForwardedPacket, unreachable map[string]bool) {
	f.telemetry.Counters().CountRefusal(landing.RefusalUnknown)
	if p.EnrollmentsChangedRevision() != s.directory.ChangedRevision() || segment.IsReset() {
		return
	}
	candidate := orphanCandidate{key: segment.Key(), lastAcknowledged: segment.AcknowledgementNumber(), enrollmentsRevision: p.EnrollmentsChangedRevision(), requestID: requestIDOf(p), unreachableZones: unreachable}
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

// maxWalkParts limits the parts of a walk, so that a walk that starts again at each change of the enrolled sidecars ends.
// 320 parts of 8 sidecars each (walk.MaxHopsPerPart) reach 2,560 sidecars, which is more than a region of the largest
// intended size has.
const maxWalkParts = 320

// walkCandidates returns all known sidecars with the ranks that determine the order of a walk for a flow of the listener.
func walkCandidates(s Snapshot, listener landing.Listener) []walk.Candidate {
	isAllowed := func(service string) bool { return rules.Allows(listener, service) }
	return walk.NewCandidates(s.directory.Sidecars(), isAllowed, time.Now())
}

// withHopsAsked returns the packet with its hops marked as asked. When the set of enrolled sidecars has changed since the
// walk last began, all marks are cleared and the walk starts again, since the marks are indexes into the old list.
func withHopsAsked(s Snapshot, listener landing.Listener, p landing.ForwardedPacket) landing.ForwardedPacket {
	revision := s.directory.ChangedRevision()
	if p.EnrollmentsChangedRevision() != revision {
		return p.WithEnrollmentsChangedRevision(revision).WithAskedSidecars(nil)
	}
	return p.WithAskedSidecars(walk.AskedSet(p.AskedSidecars()).WithAddresses(walkCandidates(s, listener), p.HopAddresses()))
}
