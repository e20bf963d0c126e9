// Package lease decides which balancer may write the roster of a region, the list of its targets and
// balancers.
//
// The lease and the roster are separate versioned objects of the platform, a service outside the fleet
// of balancers and sidecars. A new holder of the lease first writes the roster. This changes the version
// of the roster object, and every write of the roster requires the version that the writer last saw.
// When a previous holder was paused until its lease expired, its next write of the roster therefore
// fails.
//
// Balancers never compare their clocks. Each of them measures by its own clock for how long the renewal
// count of the lease has not changed.
package lease

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// renewalsPerDuration is the number of times that the holder renews the lease within its duration.
const renewalsPerDuration = 3

// IsHeldBy reports whether the lease is held by this balancer in its present incarnation, that is since
// its last start.
func IsHeldBy(l landing.Lease, b landing.Balancer) bool {
	return l.Holder() == b.Instance() && l.Incarnation() == b.Incarnation()
}

// HasExpired reports whether the lease has expired at now or has never been held. The time at which this
// process first saw the current renewal count is countFirstSeen.
func HasExpired(l landing.Lease, countFirstSeen, now time.Time) bool {
	if l.Holder() == "" {
		return true
	}
	return now.Sub(countFirstSeen) >= l.Duration()
}

// IsRenewalDue reports whether the holder, whose last renewal was at lastRenewal, must renew the lease
// at now.
func IsRenewalDue(l landing.Lease, lastRenewal, now time.Time) bool {
	return now.Sub(lastRenewal) >= l.Duration()/renewalsPerDuration
}

// IsSameRenewal reports whether a and b are the same renewal by the same holder.
func IsSameRenewal(a, b landing.Lease) bool {
	return a.Holder() == b.Holder() && a.Incarnation() == b.Incarnation() && a.Count() == b.Count()
}

// Next returns the lease that holder writes to take over or renew the current one.
func Next(current landing.Lease, holder landing.Balancer, duration time.Duration) landing.Lease {
	return landing.Lease{}.
		WithHolder(holder.Instance()).
		WithIncarnation(holder.Incarnation()).
		WithCount(current.Count() + 1).
		WithDuration(duration)
}
