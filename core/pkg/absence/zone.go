package absence

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

const (
	// unreachableAfterSilence is the time without a sign of life from any sidecar of a zone after
	// which the zone counts as unreachable. Sidecars that are killed or stopped while their
	// upstreams keep running send statuses again within 0.6 s, also when those of a whole zone are
	// stopped together.
	unreachableAfterSilence = 1500 * time.Millisecond
	// minUnansweredRemoteProbes is the smallest number of unanswered probes through other zones,
	// sent to the same sidecar, with which it counts as unreachable if its zone does.
	minUnansweredRemoteProbes = 2
	// minUnansweredRemoteProbesWithoutStatus is the same for a sidecar to which the balancer does not
	// subscribe. Its silence is known from probes only, and the answer to the last one may still arrive.
	minUnansweredRemoteProbesWithoutStatus = 3
	// maxProbesWithoutStatus is the largest number of sidecars to which the balancer does not subscribe
	// that are probed in one round.
	maxProbesWithoutStatus = 64
)

// zoneState summarizes the sidecars of one zone.
type zoneState struct {
	// lastSignAt is the time of the last sign of life of any sidecar in the zone.
	lastSignAt time.Time
	// hasRecentStatus reports whether a recent status of any sidecar in the zone has arrived.
	hasRecentStatus bool
}

// UnreachableSidecars returns the sidecars that cannot be reached together with their zones, and for
// each the time since which it is silent, by address. A zone is unreachable when its sidecars show no
// sign of life, neither to this balancer nor to sidecars of other zones. Of its sidecars only those
// that have left probes of their own unanswered are returned, since a balancer receives statuses of
// some sidecars only. It returns nil when the balancer receives recent statuses from half of the zones
// or fewer, since then the balancer itself may be cut off.
//
// When a whole zone is lost, no proxy in it can confirm that its sidecars are gone, so their
// enrollments stay, and callers with an open flow there would wait without an answer until their
// deadline. No process that is connected to the rest of the fleet can reach the sidecar that holds
// such a flow, so the caller should open a new flow.
func UnreachableSidecars(sidecars []landing.KnownSidecar, now time.Time) map[uint64]time.Time {
	zones := zoneStates(sidecars, now)
	zonesWithStatus := 0
	for _, state := range zones {
		if state.hasRecentStatus {
			zonesWithStatus++
		}
	}
	if 2*zonesWithStatus <= len(zones) {
		return nil
	}
	unreachable := map[uint64]time.Time{}
	for _, s := range sidecars {
		state := zones[s.Enrollment().Zone()]
		if now.Sub(state.lastSignAt) <= unreachableAfterSilence || !HasUnansweredRemoteProbes(s) {
			continue
		}
		silentSince := s.LastStatusAt()
		if silentSince.IsZero() {
			silentSince = state.lastSignAt
		}
		unreachable[s.Address()] = silentSince
	}
	return unreachable
}

// HasUnansweredRemoteProbes reports whether the sidecar has left enough probes through other zones
// unanswered to count as unreachable if its zone does.
func HasUnansweredRemoteProbes(s landing.KnownSidecar) bool {
	if s.LastStatusAt().IsZero() {
		return s.UnansweredRemoteProbes() >= minUnansweredRemoteProbesWithoutStatus
	}
	return s.UnansweredRemoteProbes() >= minUnansweredRemoteProbes
}

// zoneStates returns the states of all zones.
func zoneStates(sidecars []landing.KnownSidecar, now time.Time) map[string]zoneState {
	zones := map[string]zoneState{}
	for _, s := range sidecars {
		state := zones[s.Enrollment().Zone()]
		if signAt := lastSignOfLife(s); signAt.After(state.lastSignAt) {
			state.lastSignAt = signAt
		}
		state.hasRecentStatus = state.hasRecentStatus || isRecent(s, now)
		zones[s.Enrollment().Zone()] = state
	}
	return zones
}
