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
	// sent to the same sidecar, with which the zone of that sidecar counts as unreachable.
	minUnansweredRemoteProbes = 2
)

// zoneState summarizes the sidecars of one zone.
type zoneState struct {
	// lastSignAt is the time of the last sign of life of any sidecar in the zone.
	lastSignAt time.Time
	// unansweredRemoteProbes is the largest number of probes through other zones that one of the
	// sidecars has left unanswered.
	unansweredRemoteProbes uint32
	// hasRecentStatus reports whether a recent status of any sidecar in the zone has arrived.
	hasRecentStatus bool
}

// UnreachableZones returns the zones whose sidecars show no sign of life, neither to this balancer
// nor to sidecars of other zones. It returns nil when the balancer receives recent statuses from
// half of the zones or fewer, since then the balancer itself may be cut off.
//
// When a whole zone is lost, no proxy in it can confirm that its sidecars are gone, so their
// enrollments stay, and callers with an open flow there would wait without an answer until their
// deadline. No process that is connected to the rest of the fleet can reach the sidecar that holds
// such a flow, so the caller should open a new flow.
func UnreachableZones(sidecars []landing.KnownSidecar, now time.Time) map[string]bool {
	zones := map[string]zoneState{}
	for _, s := range sidecars {
		state := zones[s.Enrollment().Zone()]
		if signAt := lastSignOfLife(s); signAt.After(state.lastSignAt) {
			state.lastSignAt = signAt
		}
		state.unansweredRemoteProbes = max(state.unansweredRemoteProbes, s.UnansweredRemoteProbes())
		state.hasRecentStatus = state.hasRecentStatus || now.Sub(s.LastStatusAt()) <= recentStatusAge
		zones[s.Enrollment().Zone()] = state
	}
	zonesWithStatus := 0
	unreachable := map[string]bool{}
	for zone, state := range zones {
		if state.hasRecentStatus {
			zonesWithStatus++
		}
		if now.Sub(state.lastSignAt) > unreachableAfterSilence && state.unansweredRemoteProbes >= minUnansweredRemoteProbes {
			unreachable[zone] = true
		}
	}
	if 2*zonesWithStatus <= len(zones) {
		return nil
	}
	return unreachable
}
