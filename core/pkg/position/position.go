// Package position orders the states of the platform, the service outside the fleet (all balancers and sidecars) that
// stores shared objects. The platform numbers its changes by a counter, the revision. When it comes back from an older copy
// of itself, it begins a new era and gives out again the revisions that it has lost. A revision alone therefore does not
// tell which of two states is the later one.
package position

import (
	"cmp"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// New returns the position of a revision in an era.
func New(era, revision uint64) landing.StorePosition {
	return landing.StorePosition{}.WithEra(era).WithRevision(revision)
}

// OfRules returns the position at which the rules were accepted.
func OfRules(r landing.RoutingRules) landing.StorePosition {
	return New(r.Era(), r.Revision())
}

// OfExclusions returns the position up to which the exclusions are confirmed to be current.
func OfExclusions(e landing.ZoneExclusions) landing.StorePosition {
	return New(e.Era(), e.Revision())
}

// OfEnrollments returns the position up to which the list is confirmed to be current.
func OfEnrollments(l landing.EnrollmentList) landing.StorePosition {
	return New(l.Era(), l.Revision())
}

// Compare returns a negative number if a is before b, a positive one if it is after b, and otherwise 0.
func Compare(a, b landing.StorePosition) int {
	return cmp.Or(cmp.Compare(a.Era(), b.Era()), cmp.Compare(a.Revision(), b.Revision()))
}

// IsLater reports whether a is after b.
func IsLater(a, b landing.StorePosition) bool {
	return Compare(a, b) > 0
}
