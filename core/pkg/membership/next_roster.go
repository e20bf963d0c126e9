package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/roster"
)

// nextRoster returns the roster that this balancer would write now. It has the next serial number, or
// is the current roster when nothing changes.
func nextRoster(s landing.MembershipState, now time.Time) landing.Roster {
	current := s.RegionState().Roster()
	targets, targetsChanged := roster.MergeTargets(current.Targets(), TargetUpdates(s))
	targets, targetsRemoved := removeLeftTargets(targets, s)
	balancers, balancersChanged := nextBalancers(s, now)
	if !targetsChanged && !targetsRemoved && !balancersChanged {
		return current
	}
	return current.
		WithSerial(current.Serial() + 1).
		WithRegion(s.Region()).
		WithTargets(targets...).
		WithMembers(balancers...)
}

// removeLeftTargets removes the targets that have left, if the current roster already shows them as
// left. It returns the remaining targets and whether it removed any. A target that leaves is thus in one
// roster as left before it is removed.
func removeLeftTargets(targets []landing.Target, s landing.MembershipState) ([]landing.Target, bool) {
	kept := targets[:0:0]
	for _, t := range targets {
		listed, found := roster.Find(s.RegionState().Roster(), t.Instance())
		if t.Phase() == landing.PhaseLeft && found && listed.Phase() == landing.PhaseLeft {
			continue
		}
		kept = append(kept, t)
	}
	return kept, len(kept) != len(targets)
}

// nextBalancers returns this balancer and those that it had contact with recently, ordered by instance
// name, and whether they differ from the balancers in the roster.
func nextBalancers(s landing.MembershipState, now time.Time) ([]landing.Balancer, bool) {
	balancers := []landing.Balancer{s.Self()}
	for i := range s.PeerContactsLen() {
		contact := s.PeerContactsAt(i)
		if now.Sub(contact.LastContact()) < balancerExpiryFactor*s.TargetExpiry() && contact.Balancer().Instance() != s.Self().Instance() {
			balancers = append(balancers, contact.Balancer())
		}
	}
	balancers = keepListedBalancers(s, balancers, now)
	slices.SortFunc(balancers, func(a, b landing.Balancer) int {
		return cmp.Compare(a.Instance(), b.Instance())
	})
	return balancers, !slices.Equal(balancers, s.RegionState().Roster().Members())
}

// keepListedBalancers adds the balancers of the current roster that are missing in balancers if the
// balancers in the roster changed or this balancer was paused a short time ago. This balancer may not
// have had time for a contact with them.
func keepListedBalancers(s landing.MembershipState, balancers []landing.Balancer, now time.Time) []landing.Balancer {
	if now.Sub(s.HomesLastChanged()) >= balancerExpiryFactor*s.TargetExpiry() {
		return balancers
	}
	for _, b := range s.RegionState().Roster().Members() {
		isListed := slices.ContainsFunc(balancers, func(other landing.Balancer) bool { return other.Instance() == b.Instance() })
		if !isListed {
			balancers = append(balancers, b)
		}
	}
	return balancers
}

// dropExpiredHeartbeats removes the heartbeats that arrived at least the target expiry ago.
func dropExpiredHeartbeats(s landing.MembershipState, now time.Time) landing.MembershipState {
	kept := s.TargetHeartbeats()
	kept = slices.DeleteFunc(kept, func(h landing.TargetHeartbeat) bool {
		return now.Sub(h.ReceivedAt()) >= s.TargetExpiry()
	})
	if len(kept) == s.TargetHeartbeatsLen() {
		return s
	}
	return s.WithTargetHeartbeats(kept...)
}

// reportSilentTargets reports as left those targets whose home is this balancer and from which it has no
// recent heartbeat. After a change of the balancers or a pause it waits, so that sidecars can move to
// their new home balancer first.
func reportSilentTargets(s landing.MembershipState, now time.Time) landing.MembershipState {
	if now.Sub(s.HomesLastChanged()) < homeChangeFactor*s.TargetExpiry() {
		return s
	}
	reported := s.ReportedTargets()
	for i := range s.HomeTargetsLen() {
		t, found := roster.Find(s.RegionState().Roster(), s.HomeTargetsAt(i))
		if !found || t.Phase() == landing.PhaseLeft || hasHeartbeat(s, t.Instance()) {
			continue
		}
		reported, _ = roster.MergeTargets(reported, []landing.Target{t.WithPhase(landing.PhaseLeft)})
	}
	return s.WithReportedTargets(reported...)
}

func hasHeartbeat(s landing.MembershipState, instance string) bool {
	key := landing.TargetHeartbeat{}.WithTarget(landing.Target{}.WithInstance(instance))
	_, found := slices.BinarySearchFunc(s.TargetHeartbeats(), key, compareHeartbeats)
	return found
}

// homeTargets returns the instance names of the targets in the roster whose home is this balancer.
func homeTargets(s landing.MembershipState) []string {
	r := s.RegionState().Roster()
	balancers := r.Members()
	var names []string
	for i := range r.TargetsLen() {
		name := r.TargetsAt(i).Instance()
		home, found := roster.HomeBalancer(balancers, name)
		if found && home.Instance() == s.Self().Instance() {
			names = append(names, name)
		}
	}
	return names
}

func compareNames(a, b string) int {
	return cmp.Compare(a, b)
}
