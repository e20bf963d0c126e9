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

// nobody is a flow that no sidecar of a whole walk holds.
type nobody struct {
	key          landing.FlowKey
	acknowledged uint32
	roll         uint64
	request      string
	// dark are the zones whose sidecars were not asked.
	dark map[string]bool
}

// forward sends a packet of a flow that is not new to the sidecar that holds it.
func (t *Forwarder) forward(s Snapshot, l landing.Listener, segment landing.Segment, packet platform.Packet) {
	hop, found := t.cache.find(segment, time.Now())
	dark := t.darkness(s, hop)
	switch {
	case dark != nil && t.cache.isClaimed(segment.Key()):
		t.giveUp(segment, hop)
		return
	case dark != nil || !found:
		t.search(s, l, segment, t.parcel(s, packet))
		return
	}
	for _, way := range t.ways(s, hop) {
		t.send(t.parcel(s, packet).WithHopAddresses(way...))
	}
}

// darkness returns the dark zones if the sidecar at this address is in one of them, else nil.
func (t *Forwarder) darkness(s Snapshot, hop uint64) map[string]bool {
	now := time.Now()
	n, found := s.directory.Find(hop)
	if !found || !absence.IsStatusOverdue(n, now) {
		return nil
	}
	if dark := absence.UnreachableZones(s.directory.Sidecars(), now); dark[n.Enrollment().Zone()] {
		return dark
	}
	return nil
}

// giveUp resets a flow that is known to be in a dark zone.
func (t *Forwarder) giveUp(segment landing.Segment, hop uint64) {
	t.cache.forget(segment.Key(), hop)
	if segment.IsReset() {
		return
	}
	t.common.Counters().Counter("reset.dark").Inc(1)
	t.reset(segment, landing.RefusalZone)
}

// ways returns the hops to the sidecar at this address: by way of the one that vouches for it while it is not heard here,
// and both ways while that is not known yet. An upstream that gets a packet twice takes it once.
func (t *Forwarder) ways(s Snapshot, hop uint64) [][]uint64 {
	now := time.Now()
	direct := []uint64{hop}
	n, found := s.directory.Find(hop)
	if !found {
		return [][]uint64{direct}
	}
	if absence.IsReachableByProxy(n, now) {
		return [][]uint64{{n.ProbeAckProxy(), hop}}
	}
	if detour, isLate := absence.DetourHop(s.directory.Sidecars(), n, t.zone, now); isLate {
		return [][]uint64{direct, {detour, hop}}
	}
	return [][]uint64{direct}
}

// search sends a packet along the next part of the walk over all sidecars.
func (t *Forwarder) search(s Snapshot, l landing.Listener, segment landing.Segment, p landing.ForwardedPacket) {
	dark := absence.UnreachableZones(s.directory.Sidecars(), time.Now())
	hops := walk.NextPart(stops(s, l), withGone(s, p.AskedSidecars(), dark), chain.HashKey(segment.Key()))
	if len(hops) == 0 {
		t.note(s, segment, p, dark)
		return
	}
	if p.ChainPart() >= maxParts {
		t.common.Counters().Counter("walks_broken_off").Inc(1)
		return
	}
	t.send(p.WithHopAddresses(hops...).WithHopIndex(0).WithChainPart(p.ChainPart() + 1))
}

// withGone returns the set with the sidecars that have said that their upstream has ended, and those of dark zones.
func withGone(s Snapshot, asked walk.AskedSet, dark map[string]bool) walk.AskedSet {
	for i, n := range s.directory.Sidecars() {
		if n.LastStatus().UpstreamPhase() == landing.PhaseLeft || dark[n.Enrollment().Zone()] {
			asked = asked.With(i)
		}
	}
	return asked
}

// note hands over a flow that no sidecar holds, if all of them were asked.
func (t *Forwarder) note(s Snapshot, segment landing.Segment, p landing.ForwardedPacket, dark map[string]bool) {
	t.common.Counters().CountRefusal(landing.RefusalUnknown)
	if p.EnrollmentsChangedRevision() != s.directory.ChangedRevision() || segment.IsReset() {
		return
	}
	n := nobody{key: segment.Key(), acknowledged: segment.AcknowledgementNumber(), roll: p.EnrollmentsChangedRevision(), request: requestOf(p), dark: dark}
	select {
	case t.nobodies <- n:
	default:
		t.common.Counters().Counter("proofs_left_out").Inc(1)
	}
}

// requestOf returns the identifier of the request that a parcel carries, if any.
func requestOf(p landing.ForwardedPacket) string {
	packet, err := platform.ParsePacket(p.Packet())
	if err != nil {
		return ""
	}
	return platform.RequestID(packet.Data())
}

// maxParts bounds a walk: 320 parts are 2,560 sidecars, more than a region of the size to design for has, and a walk that
// begins anew with each change of the roll ends.
const maxParts = 320

// stops returns all sidecars as stops of a walk for a flow of the listener.
func stops(s Snapshot, l landing.Listener) []walk.Candidate {
	isAllowed := func(service string) bool { return rules.Allows(l, service) }
	return walk.NewCandidates(s.directory.Sidecars(), isAllowed, time.Now())
}

// withAsked returns a parcel that counts its hops as asked. When the roll has changed since the walk began, it begins
// anew, since the indexes are those of the roll.
func withAsked(s Snapshot, l landing.Listener, p landing.ForwardedPacket) landing.ForwardedPacket {
	roll := s.directory.ChangedRevision()
	if p.EnrollmentsChangedRevision() != roll {
		return p.WithEnrollmentsChangedRevision(roll).WithAskedSidecars(nil)
	}
	return p.WithAskedSidecars(walk.AskedSet(p.AskedSidecars()).WithAddresses(stops(s, l), p.HopAddresses()))
}
