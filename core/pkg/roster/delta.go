package roster

import (
	"slices"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// Diff returns the difference between two rosters of a region.
func Diff(before, after landing.Roster) landing.RosterDelta {
	var changed []landing.Target
	for i := range after.TargetsLen() {
		t := after.TargetsAt(i)
		previous, found := Find(before, t.Instance())
		if !found || previous != t {
			changed = append(changed, t)
		}
	}
	var removed []string
	for i := range before.TargetsLen() {
		name := before.TargetsAt(i).Instance()
		if _, found := Find(after, name); !found {
			removed = append(removed, name)
		}
	}
	delta := landing.RosterDelta{}.
		WithBase(before.Serial()).
		WithSerial(after.Serial()).
		WithTargets(changed...).
		WithGone(removed...)
	if slices.Equal(before.Members(), after.Members()) {
		return delta
	}
	return delta.WithRegrouped(true).WithMembers(after.Members()...)
}

// Apply returns the roster that results from applying delta to r. It returns r and false when the delta
// applies to a roster with another serial number than r, or when the serial number of the delta is not
// higher than that of r.
func Apply(r landing.Roster, delta landing.RosterDelta) (landing.Roster, bool) {
	if delta.Base() != r.Serial() || delta.Serial() <= r.Serial() {
		return r, false
	}
	targets := slices.DeleteFunc(r.Targets(), func(t landing.Target) bool {
		return slices.Contains(delta.Gone(), t.Instance())
	})
	for _, t := range delta.Targets() {
		i, found := searchTargets(targets, t.Instance())
		if found {
			targets[i] = t
		} else {
			targets = slices.Insert(targets, i, t)
		}
	}
	next := r.WithSerial(delta.Serial()).WithTargets(targets...)
	if delta.Regrouped() {
		next = next.WithMembers(delta.Members()...)
	}
	return next, true
}
