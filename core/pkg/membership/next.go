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
func nextRoster(w landing.Watch, now time.Time) landing.Roster {
	r := w.Record().Roster()
	targets, targetsChanged := roster.MergeTargets(r.Targets(), Deviations(w))
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
func withoutLeft(targets []landing.Target, w landing.Watch) ([]landing.Target, bool) {
	kept := targets[:0:0]
	for _, t := range targets {
		present, found := roster.Find(w.Record().Roster(), t.Instance())
		if t.Phase() == landing.PhaseLeft && found && present.Phase() == landing.PhaseLeft {
			continue
		}
		kept = append(kept, t)
	}
	return kept, len(kept) != len(targets)
}

// nextMembers returns the balancers that were met lately, and whether they differ from the roster's.
func nextMembers(w landing.Watch, now time.Time) ([]landing.Member, bool) {
	members := []landing.Member{w.Self()}
	for i := range w.EncountersLen() {
		e := w.EncountersAt(i)
		if now.Sub(e.At()) < memberExpiries*w.Expiry() && e.Member().Instance() != w.Self().Instance() {
			members = append(members, e.Member())
		}
	}
	members = keepUnheard(w, members, now)
	slices.SortFunc(members, func(a, b landing.Member) int {
		return cmp.Compare(a.Instance(), b.Instance())
	})
	return members, !slices.Equal(members, w.Record().Roster().Members())
}

// keepUnheard adds members of the roster in force that a balancer has had no time to meet since the
// balancers last changed or since it was paused.
func keepUnheard(w landing.Watch, members []landing.Member, now time.Time) []landing.Member {
	if now.Sub(w.Settled()) >= memberExpiries*w.Expiry() {
		return members
	}
	for _, m := range w.Record().Roster().Members() {
		known := slices.ContainsFunc(members, func(o landing.Member) bool { return o.Instance() == m.Instance() })
		if !known {
			members = append(members, m)
		}
	}
	return members
}

// forgetSightings drops the sightings of targets that are no longer heard here.
func forgetSightings(w landing.Watch, now time.Time) landing.Watch {
	kept := w.Sightings()
	kept = slices.DeleteFunc(kept, func(s landing.Sighting) bool {
		return now.Sub(s.At()) >= w.Expiry()
	})
	if len(kept) == w.SightingsLen() {
		return w
	}
	return w.WithSightings(kept...)
}

// reportSilent reports as gone the targets whose home is this balancer and that it does not hear.
// After a change of the balancers it waits, so that sidecars can turn to their new home first.
func reportSilent(w landing.Watch, now time.Time) landing.Watch {
	if now.Sub(w.Settled()) < settleExpiries*w.Expiry() {
		return w
	}
	reports := w.Reports()
	for i := range w.HomedLen() {
		t, found := roster.Find(w.Record().Roster(), w.HomedAt(i))
		if !found || t.Phase() == landing.PhaseLeft || isSighted(w, t.Instance()) {
			continue
		}
		reports, _ = roster.MergeTargets(reports, []landing.Target{t.WithPhase(landing.PhaseLeft)})
	}
	return w.WithReports(reports...)
}

func isSighted(w landing.Watch, instance string) bool {
	probe := landing.Sighting{}.WithTarget(landing.Target{}.WithInstance(instance))
	_, found := slices.BinarySearchFunc(w.Sightings(), probe, compareSightings)
	return found
}

// homedHere returns the instance names of the targets whose home is this balancer.
func homedHere(w landing.Watch) []string {
	r := w.Record().Roster()
	members := r.Members()
	var names []string
	for i := range r.TargetsLen() {
		name := r.TargetsAt(i).Instance()
		home, found := roster.Home(members, name)
		if found && home.Instance() == w.Self().Instance() {
			names = append(names, name)
		}
	}
	return names
}

func compareNames(a, b string) int {
	return cmp.Compare(a, b)
}
