package roster

import (
	"slices"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// Diff returns what changed from a to b, which are rosters of one region.
func Diff(a, b landing.Roster) landing.RosterDelta {
	var changed []landing.Target
	for i := range b.TargetsLen() {
		t := b.TargetsAt(i)
		before, found := Find(a, t.Instance())
		if !found || before != t {
			changed = append(changed, t)
		}
	}
	var gone []string
	for i := range a.TargetsLen() {
		name := a.TargetsAt(i).Instance()
		if _, found := Find(b, name); !found {
			gone = append(gone, name)
		}
	}
	d := landing.RosterDelta{}.
		WithBase(a.Serial()).
		WithSerial(b.Serial()).
		WithTargets(changed...).
		WithGone(gone...)
	if slices.Equal(a.Members(), b.Members()) {
		return d
	}
	return d.WithRegrouped(true).WithMembers(b.Members()...)
}

// Apply returns the roster that d makes of r; false when d is for another roster.
func Apply(r landing.Roster, d landing.RosterDelta) (landing.Roster, bool) {
	if d.Base() != r.Serial() || d.Serial() <= r.Serial() {
		return r, false
	}
	targets := slices.DeleteFunc(r.Targets(), func(t landing.Target) bool {
		return slices.Contains(d.Gone(), t.Instance())
	})
	for _, t := range d.Targets() {
		i, found := search(targets, t.Instance())
		if found {
			targets[i] = t
		} else {
			targets = slices.Insert(targets, i, t)
		}
	}
	next := r.WithSerial(d.Serial()).WithTargets(targets...)
	if d.Regrouped() {
		next = next.WithMembers(d.Members()...)
	}
	return next, true
}
