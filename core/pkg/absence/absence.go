// Package absence decides when an enrolled sidecar is taken to be gone for good, so that its enrollment is removed
// and its flows are proved to be held by nobody.
//
// One balancer that does not hear a sidecar may be cut off from it. So it asks by way of others, one of them in the
// silent sidecar's own availability zone (indirect probes, as in SWIM, Das et al. 2002). Only a sidecar that its
// own neighbors have not heard either for a while is gone: its machine is dead, or cut off from everybody.
package absence

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

const (
	// ProbeAfterSilence is the silence after which others are asked: more than two statuses.
	ProbeAfterSilence = 600 * time.Millisecond
	// lateAfter is the age of a status from which packets take a second way as well: one interval and some slack. A caller
	// sends its packet again after 200 and 600 ms.
	lateAfter = 350 * time.Millisecond
	// isolatedAfter is the silence of all sidecars after which the balancer takes itself to be cut off: four statuses.
	isolatedAfter = time.Second
	// vouchTime is the time for which the word of another sidecar holds: two rounds of questions.
	vouchTime = 1500 * time.Millisecond
	// goneAfter is the silence after which a sidecar is gone. A sidecar that is stopped and started again beside a
	// living upstream is back within a second or so.
	goneAfter = 2500 * time.Millisecond
	// leaveTime is the time within which a sidecar that leaves removes its enrollment itself: it tries for the grace of its
	// stop, less what it needs for the rest.
	leaveTime = 4 * time.Second
	// leastInquiries is the number of inquiries in its zone that must have stayed without an answer.
	leastInquiries = 3
	// heardWithin is the time since the last status within which a sidecar can be asked for another one.
	heardWithin = time.Second
)

// IndirectProbe says by way of which sidecars a silent one is asked for.
type IndirectProbe struct {
	// Subject is the silent sidecar.
	Subject landing.KnownSidecar
	// Proxies are the addresses of the sidecars that are asked.
	Proxies []uint64
	// IsLocal says that one of them is in the zone of the silent one.
	HasLocalProxy bool
	// IsRemote says that one of them is in another zone.
	HasRemoteProxy bool
}

// DueProbes returns the questions that are due at this time.
func DueProbes(neighbors []landing.KnownSidecar, now time.Time) []IndirectProbe {
	var due []IndirectProbe
	for _, n := range neighbors {
		if now.Sub(lastSign(n)) <= ProbeAfterSilence {
			continue
		}
		q := IndirectProbe{Subject: n}
		if local, found := proxy(neighbors, n, true, now); found {
			q.Proxies = append(q.Proxies, local)
			q.HasLocalProxy = true
		}
		if remote, found := proxy(neighbors, n, false, now); found {
			q.Proxies = append(q.Proxies, remote)
			q.HasRemoteProxy = true
		}
		if len(q.Proxies) > 0 {
			due = append(due, q)
		}
	}
	return due
}

// IsGone says whether the sidecar is gone for good: it has said so itself, or nobody has heard it for long enough.
func IsGone(n landing.KnownSidecar, now time.Time) bool {
	if n.LastStatus().UpstreamPhase() == landing.PhaseLeft {
		return true
	}
	return now.Sub(lastSign(n)) > goneAfter && n.UnansweredLocalProbes() >= leastInquiries
}

// RemovableSidecars returns the sidecars that are gone and whose enrollment nobody else removes. One that leaves takes it back
// itself, unless the platform is away for it.
func RemovableSidecars(neighbors []landing.KnownSidecar, now time.Time) []landing.KnownSidecar {
	var list []landing.KnownSidecar
	for _, n := range neighbors {
		isLeaving := n.LastStatus().UpstreamPhase() == landing.PhaseLeft && now.Sub(n.LastStatusAt()) <= leaveTime
		if IsGone(n, now) && !isLeaving {
			list = append(list, n)
		}
	}
	return list
}

// IsStatusOverdue says whether a status of the sidecar is overdue.
func IsStatusOverdue(n landing.KnownSidecar, now time.Time) bool {
	return now.Sub(n.LastStatusAt()) > lateAfter
}

// DetourHop returns a sidecar by way of which packets to a late one go as well, until it is heard again or another one has
// vouched for it. It is in a third zone where there is one: two zones may have lost each other.
func DetourHop(neighbors []landing.KnownSidecar, late landing.KnownSidecar, ownZone string, now time.Time) (uint64, bool) {
	if late.LastStatusAt().IsZero() || !IsStatusOverdue(late, now) {
		return 0, false
	}
	best, bestRank := uint64(0), 0
	for _, n := range neighbors {
		if n.Address() == late.Address() || IsStatusOverdue(n, now) {
			continue
		}
		zone := n.Enrollment().Zone()
		rank := 1
		if zone != ownZone {
			rank++
		}
		if zone != late.Enrollment().Zone() {
			rank++
		}
		if rank > bestRank {
			best, bestRank = n.Address(), rank
		}
	}
	return best, bestRank > 0
}

// IsReachableByProxy says whether a sidecar that is not heard here is heard by another one, which can pass packets on to it.
func IsReachableByProxy(n landing.KnownSidecar, now time.Time) bool {
	return now.Sub(n.LastStatusAt()) > ProbeAfterSilence && now.Sub(n.LastProbeAckAt()) <= vouchTime && n.ProbeAckProxy() != 0
}

// IsIsolated says whether a balancer that has heard sidecars hears none of them any more. It is then of no use to
// callers, whom other balancers still serve.
func IsIsolated(neighbors []landing.KnownSidecar, now time.Time) bool {
	hasHeard := false
	for _, n := range neighbors {
		if now.Sub(n.LastStatusAt()) <= isolatedAfter {
			return false
		}
		hasHeard = hasHeard || !n.LastStatusAt().IsZero()
	}
	return hasHeard
}

// lastSign returns the time of the last sign of life.
func lastSign(n landing.KnownSidecar) time.Time {
	last := n.DiscoveredAt()
	for _, t := range []time.Time{n.LastStatusAt(), n.LastProbeAckAt()} {
		if t.After(last) {
			last = t
		}
	}
	return last
}

// proxy returns a sidecar that is heard well, in the zone of the silent one or outside it. It is another one each
// second, so that one bad proxy does not decide.
func proxy(neighbors []landing.KnownSidecar, silent landing.KnownSidecar, isLocal bool, now time.Time) (uint64, bool) {
	var heard []uint64
	for _, n := range neighbors {
		inZone := n.Enrollment().Zone() == silent.Enrollment().Zone()
		if n.Address() != silent.Address() && inZone == isLocal && now.Sub(n.LastStatusAt()) <= heardWithin {
			heard = append(heard, n.Address())
		}
	}
	if len(heard) == 0 {
		return 0, false
	}
	return heard[int(now.Unix())%len(heard)], true
}
