package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/roster"
)

// nextRoster returns the roster that this balancer would write now. Its serial number is
// the present one when nothing changes.
func nextRoster(w landing.MembershipState, now time.Time) landing.Roster {
	r := w.RegionState().Roster()
	targets, targetsChanged := roster.MergeTargets(r.Targets(), TargetUpdates(w))
	targets, removed := withoutLeft(targets, w)
	members, membersChanged := nextMembers(w, now)
	if !targetsChanged && !removed && !membersChanged {
		return r
	}
	return r.
		WithSerial(r.Serial() + 1).
		WithRegion(w.Region()).
		WithTargets(targets...).
		WithMembers(members...)
}

// withoutLeft drops targets that the roster in force already shows as having left.
func withoutLeft(targets []landing.Target, w landing.MembershipState) ([]landing.Target, bool) {
	kept := targets[:0:0]
	for _, t := range targets {
		present, found := roster.Find(w.RegionState().Roster(), t.Instance())
		if t.Phase() == landing.PhaseLeft && found && present.Phase() == landing.PhaseLeft {
			continue
		}
		kept = append(kept, t)
	}
	return kept, len(kept) != len(targets)
}

// nextMembers returns the balancers that were met lately, and whether they differ from the roster's.
func nextMembers(w landing.MembershipState, now time.Time) ([]landing.Balancer, bool) {
	members := []landing.Balancer{w.Self()}
	for i := range w.PeerContactsLen() {
		e := w.PeerContactsAt(i)
		if now.Sub(e.LastContact()) < memberExpiries*w.TargetExpiry() && e.Balancer().Instance() != w.Self().Instance() {
			members = append(members, e.Balancer())
		}
	}
	members = keepUnheard(w, members, now)
	slices.SortFunc(members, func(a, b landing.Balancer) int {
		return cmp.Compare(a.Instance(), b.Instance())
	})
	return members, !slices.Equal(members, w.RegionState().Roster().Members())
}

// keepUnheard adds members of the roster in force that a balancer has had no time to meet since the
// balancers last changed or since it was paused.
func keepUnheard(w landing.MembershipState, members []landing.Balancer, now time.Time) []landing.Balancer {
	if now.Sub(w.HomesLastChanged()) >= memberExpiries*w.TargetExpiry() {
		return members
	}
	for _, m := range w.RegionState().Roster().Members() {
		known := slices.ContainsFunc(members, func(o landing.Balancer) bool { return o.Instance() == m.Instance() })
		if !known {
			members = append(members, m)
		}
	}
	return members
}

// forgetSightings drops the sightings of targets that are no longer heard here.
func forgetSightings(w landing.MembershipState, now time.Time) landing.MembershipState {
	kept := w.TargetHeartbeats()
	kept = slices.DeleteFunc(kept, func(s landing.TargetHeartbeat) bool {
		return now.Sub(s.ReceivedAt()) >= w.TargetExpiry()
	})
	if len(kept) == w.TargetHeartbeatsLen() {
		return w
	}
	return w.WithTargetHeartbeats(kept...)
}

// reportSilent reports as gone the targets whose home is this balancer and that it does not hear.
// After a change of the balancers it waits, so that sidecars can turn to their new home first.
func reportSilent(w landing.MembershipState, now time.Time) landing.MembershipState {
	if now.Sub(w.HomesLastChanged()) < settleExpiries*w.TargetExpiry() {
		return w
	}
	reports := w.ReportedTargets()
	for i := range w.HomeTargetsLen() {
		t, found := roster.Find(w.RegionState().Roster(), w.HomeTargetsAt(i))
		if !found || t.Phase() == landing.PhaseLeft || isSighted(w, t.Instance()) {
			continue
		}
		reports, _ = roster.MergeTargets(reports, []landing.Target{t.WithPhase(landing.PhaseLeft)})
	}
	return w.WithReportedTargets(reports...)
}

func isSighted(w landing.MembershipState, instance string) bool {
	probe := landing.TargetHeartbeat{}.WithTarget(landing.Target{}.WithInstance(instance))
	_, found := slices.BinarySearchFunc(w.TargetHeartbeats(), probe, compareSightings)
	return found
}

// homedHere returns the instance names of the targets whose home is this balancer.
func homedHere(w landing.MembershipState) []string {
	r := w.RegionState().Roster()
	members := r.Members()
	var names []string
	for i := range r.TargetsLen() {
		name := r.TargetsAt(i).Instance()
		home, found := roster.HomeBalancer(members, name)
		if found && home.Instance() == w.Self().Instance() {
			names = append(names, name)
		}
	}
	return names
}

func compareNames(a, b string) int {
	return cmp.Compare(a, b)
}
