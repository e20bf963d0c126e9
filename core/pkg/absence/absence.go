// Package absence decides from statuses and indirect probes which sidecars count as gone and which
// availability zones as unreachable. The enrollment of a sidecar (its entry in the platform, the
// service outside the fleet that stores shared objects) is removed when the sidecar is gone.
// Balancers then know that no sidecar holds its open flows, and reset them.
//
// A balancer that receives no status from a sidecar may itself be cut off from it. It therefore
// probes a silent sidecar through other sidecars (proxies), one of them in the availability zone of
// the silent sidecar (indirect probes, as in SWIM, Das et al. 2002). A silent sidecar counts as
// gone only when it also leaves several probes through its own zone unanswered. Then its machine is
// probably dead or cut off from all others.
//
// Local proxies and probes are those in or through the zone of the probed sidecar, remote ones
// those in or through other zones. The zone of the balancer does not matter.
package absence

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/walk"
)

const (
	// ProbeAfterSilence is the time without a sign of life after which a sidecar is probed: more
	// than two status intervals of 250 ms, so that the loss of a single status starts no probe.
	ProbeAfterSilence = 600 * time.Millisecond
	// statusOverdueAfter is the age from which the last status is overdue: one status interval of
	// 250 ms plus 100 ms of slack. Packets to the sidecar then also take a second path. A caller
	// retransmits its packet after 200 and 600 ms. When the sidecar failed before the packet was
	// first sent, at least the second retransmission takes both paths.
	statusOverdueAfter = 350 * time.Millisecond
	// isolatedAfterSilence is the time without a status of any sidecar after which the balancer
	// considers itself isolated: four status intervals.
	isolatedAfterSilence = time.Second
	// probeAckValidity is the time for which an answered probe counts as a sign that the sidecar is
	// alive: two rounds of probes, 500 ms apart, can be lost within it.
	probeAckValidity = 1500 * time.Millisecond
	// goneAfterSilence is the time without a sign of life after which a sidecar counts as gone. A
	// sidecar that restarts while its upstream keeps running is back within about a second.
	goneAfterSilence = 2500 * time.Millisecond
	// selfRemovalTimeout is the time within which a sidecar that leaves removes its own enrollment.
	// The sidecar keeps trying for the grace period of its shutdown, less the time that the other
	// steps of the shutdown need.
	selfRemovalTimeout = 4 * time.Second
	// minUnansweredLocalProbes is the smallest number of unanswered probes through its own zone
	// with which a silent sidecar counts as gone.
	minUnansweredLocalProbes = 3
	// recentStatusAge is the age up to which the last status shows that the balancer can reach a
	// sidecar, so that the sidecar can serve as a proxy for probes.
	recentStatusAge = time.Second
)

// IndirectProbe is a check of one silent sidecar through other sidecars as proxies.
type IndirectProbe struct {
	// Subject is the silent sidecar.
	Subject landing.KnownSidecar
	// Proxies are the addresses of the sidecars that pass the probe on to Subject.
	Proxies []uint64
	// HasLocalProxy reports whether one of the proxies is in the zone of Subject.
	HasLocalProxy bool
	// HasRemoteProxy reports whether one of the proxies is in another zone than Subject.
	HasRemoteProxy bool
}

// DueProbes returns the probes that a balancer in the zone ownZone sends in this round: one for each
// sidecar without a recent sign of life, through at most one proxy in the zone of that sidecar and one
// in another zone. Sidecars for which there is no proxy are left out.
//
// Sidecars to which the balancer does not subscribe send it no statuses. They are probed, through
// other zones only, while all subscribed sidecars of their zone are silent. Their answers show whether
// the whole zone is unreachable.
func DueProbes(subscribed, others []landing.KnownSidecar, ownZone string, now time.Time) []IndirectProbe {
	var due []IndirectProbe
	silentZones := map[string]bool{}
	for _, s := range subscribed {
		zone := s.Enrollment().Zone()
		isSilent := now.Sub(lastSignOfLife(s)) > ProbeAfterSilence
		othersSilent, isKnown := silentZones[zone]
		silentZones[zone] = isSilent && (othersSilent || !isKnown)
		if !isSilent {
			continue
		}
		probe := IndirectProbe{Subject: s}
		if localProxy, found := selectProxy(localProxies(subscribed, s, now), s, now); found {
			probe.Proxies = append(probe.Proxies, localProxy)
			probe.HasLocalProxy = true
		}
		due = appendProbe(due, probe.withRemoteProxy(subscribed, ownZone, now))
	}
	for _, s := range leastProbed(others, silentZones) {
		due = appendProbe(due, IndirectProbe{Subject: s}.withRemoteProxy(subscribed, ownZone, now))
	}
	return due
}

// leastProbed returns those sidecars in silent zones that have left the fewest probes unanswered, at
// most maxProbesWithoutStatus.
func leastProbed(sidecars []landing.KnownSidecar, silentZones map[string]bool) []landing.KnownSidecar {
	inSilentZones := slices.DeleteFunc(slices.Clone(sidecars), func(s landing.KnownSidecar) bool { return !silentZones[s.Enrollment().Zone()] })
	slices.SortStableFunc(inSilentZones, func(a, b landing.KnownSidecar) int {
		return cmp.Compare(a.UnansweredRemoteProbes(), b.UnansweredRemoteProbes())
	})
	return inSilentZones[:min(len(inSilentZones), maxProbesWithoutStatus)]
}

// withRemoteProxy returns the probe with a proxy in another zone than that of its subject, if there is one.
func (p IndirectProbe) withRemoteProxy(sidecars []landing.KnownSidecar, ownZone string, now time.Time) IndirectProbe {
	if proxy, found := selectProxy(remoteProxies(sidecars, p.Subject, ownZone, now), p.Subject, now); found {
		p.Proxies = append(p.Proxies, proxy)
		p.HasRemoteProxy = true
	}
	return p
}

// appendProbe appends the probe unless it has no proxy.
func appendProbe(due []IndirectProbe, probe IndirectProbe) []IndirectProbe {
	if len(probe.Proxies) == 0 {
		return due
	}
	return append(due, probe)
}

// IsGone reports whether the sidecar counts as gone: its last status says that its upstream has
// left, or it has shown no sign of life for goneAfterSilence and has left enough probes through its
// own zone unanswered.
func IsGone(s landing.KnownSidecar, now time.Time) bool {
	if s.LastStatus().UpstreamPhase() == landing.PhaseLeft {
		return true
	}
	return now.Sub(lastSignOfLife(s)) > goneAfterSilence && s.UnansweredLocalProbes() >= minUnansweredLocalProbes
}

// RemovableSidecars returns the sidecars that are gone and whose enrollments the balancers must
// remove. A sidecar that leaves removes its own enrollment. It is therefore returned only after
// selfRemovalTimeout, when it has probably failed to, for instance because it is cut off from the
// platform.
func RemovableSidecars(sidecars []landing.KnownSidecar, now time.Time) []landing.KnownSidecar {
	var removable []landing.KnownSidecar
	for _, s := range sidecars {
		isRemovingItself := s.LastStatus().UpstreamPhase() == landing.PhaseLeft && now.Sub(s.LastStatusAt()) <= selfRemovalTimeout
		if IsGone(s, now) && !isRemovingItself {
			removable = append(removable, s)
		}
	}
	return removable
}

// IsStatusOverdue reports whether the sidecar should have sent another status by now.
func IsStatusOverdue(s landing.KnownSidecar, now time.Time) bool {
	return now.Sub(s.LastStatusAt()) > statusOverdueAfter
}

// DetourHop returns the address of a sidecar that passes packets on to the overdue sidecar, one
// whose status is overdue. Until the overdue sidecar sends a status or answers a probe, packets to
// it take both the direct path and this detour. DetourHop prefers a sidecar that is neither in the
// balancer's zone (ownZone) nor in that of the overdue sidecar, since the connection between these
// two may be lost. For a sidecar without statuses, to which the balancer does not subscribe, it is the
// proxy through which the sidecar has recently answered a probe. It returns false when there is no such
// proxy, when the status is not overdue, and when no other sidecar has a timely status.
func DetourHop(sidecars []landing.KnownSidecar, overdue landing.KnownSidecar, ownZone string, now time.Time) (uint64, bool) {
	if overdue.LastStatusAt().IsZero() {
		return overdue.ProbeAckProxy(), hasRecentProbeAck(overdue, now)
	}
	if !IsStatusOverdue(overdue, now) {
		return 0, false
	}
	best, bestRank := uint64(0), 0
	for _, s := range sidecars {
		if s.Address() == overdue.Address() || IsStatusOverdue(s, now) {
			continue
		}
		zone := s.Enrollment().Zone()
		rank := 1 // one more for each of the two zones that the detour avoids
		if zone != ownZone {
			rank++
		}
		if zone != overdue.Enrollment().Zone() {
			rank++
		}
		if rank > bestRank {
			best, bestRank = s.Address(), rank
		}
	}
	return best, bestRank > 0
}

// IsReachableByProxy reports whether statuses of the sidecar have stopped arriving, but its answer to a
// probe through a proxy has arrived recently. Packets to the sidecar can then be sent through that
// proxy alone.
func IsReachableByProxy(s landing.KnownSidecar, now time.Time) bool {
	return !s.LastStatusAt().IsZero() && now.Sub(s.LastStatusAt()) > ProbeAfterSilence && hasRecentProbeAck(s, now)
}

// hasRecentProbeAck reports whether the sidecar has recently answered a probe through a proxy.
func hasRecentProbeAck(s landing.KnownSidecar, now time.Time) bool {
	return now.Sub(s.LastProbeAckAt()) <= probeAckValidity && s.ProbeAckProxy() != 0
}

// IsIsolated reports whether the balancer has received statuses earlier but now receives none from
// any sidecar. It can then serve no callers, while other balancers still can.
func IsIsolated(sidecars []landing.KnownSidecar, now time.Time) bool {
	hadStatus := false
	for _, s := range sidecars {
		if now.Sub(s.LastStatusAt()) <= isolatedAfterSilence {
			return false
		}
		hadStatus = hadStatus || !s.LastStatusAt().IsZero()
	}
	return hadStatus
}

// lastSignOfLife returns the latest of three times: the arrival of the last status, the arrival of
// the last probe answer, and the time at which the balancer learned of the sidecar, which counts
// like a sign of life.
func lastSignOfLife(s landing.KnownSidecar) time.Time {
	last := s.DiscoveredAt()
	for _, t := range []time.Time{s.LastStatusAt(), s.LastProbeAckAt()} {
		if t.After(last) {
			last = t
		}
	}
	return last
}

// localProxies returns the addresses of the other sidecars with a recent status in the zone of the silent
// sidecar.
func localProxies(sidecars []landing.KnownSidecar, silent landing.KnownSidecar, now time.Time) []uint64 {
	var proxies []uint64
	for _, s := range sidecars {
		if s.Address() != silent.Address() && s.Enrollment().Zone() == silent.Enrollment().Zone() && isRecent(s, now) {
			proxies = append(proxies, s.Address())
		}
	}
	return proxies
}

// remoteProxies returns the addresses of the sidecars with a recent status in other zones than that of the
// silent sidecar. It returns those in the zone of the balancer (ownZone) only when there are no others:
// these two zones may have lost the connection to each other while third ones reach both.
func remoteProxies(sidecars []landing.KnownSidecar, silent landing.KnownSidecar, ownZone string, now time.Time) []uint64 {
	var inOwnZone, inThirdZones []uint64
	for _, s := range sidecars {
		zone := s.Enrollment().Zone()
		switch {
		case zone == silent.Enrollment().Zone() || !isRecent(s, now):
		case zone == ownZone:
			inOwnZone = append(inOwnZone, s.Address())
		default:
			inThirdZones = append(inThirdZones, s.Address())
		}
	}
	if len(inThirdZones) == 0 {
		return inOwnZone
	}
	return inThirdZones
}

// isRecent reports whether a status of the sidecar has arrived recently.
func isRecent(s landing.KnownSidecar, now time.Time) bool {
	return now.Sub(s.LastStatusAt()) <= recentStatusAge
}

// selectProxy returns one of the proxies for a probe of the silent sidecar; false when there is none. The
// choice differs between silent sidecars and changes every second, so that a single bad proxy does not
// decide the result.
func selectProxy(proxies []uint64, silent landing.KnownSidecar, now time.Time) (uint64, bool) {
	if len(proxies) == 0 {
		return 0, false
	}
	rotation := walk.RendezvousScore(silent.Address(), uint64(now.Unix()))
	return proxies[rotation%uint64(len(proxies))], true
}
