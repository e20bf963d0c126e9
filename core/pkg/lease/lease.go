// Package lease decides who may write the roster of a region.
//
// The lease is an object of its own. Whoever takes it writes the roster once, and every write of the
// roster is conditional on its version. A holder that was paused past its lease therefore harms
// nothing: its write fails.
// No clocks are compared between instances: each measures with its own clock for how long
// the count of the lease has stood still.
package lease

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// renewalsPerLease is the number of renewals that a holder makes in the duration of its lease.
const renewalsPerLease = 3

// IsHeldBy says whether the lease names this member.
func IsHeldBy(l landing.Lease, m landing.Balancer) bool {
	return l.Holder() == m.Instance() && l.Incarnation() == m.Incarnation()
}

// HasExpired says whether the lease, whose count was first seen at seen, has lapsed at now.
func HasExpired(l landing.Lease, seen, now time.Time) bool {
	if l.Holder() == "" {
		return true
	}
	return now.Sub(seen) >= l.Duration()
}

// IsRenewalDue says whether the holder, which last renewed at renewed, must renew at now.
func IsRenewalDue(l landing.Lease, renewed, now time.Time) bool {
	return now.Sub(renewed) >= l.Duration()/renewalsPerLease
}

// IsSameRenewal says whether two leases are the same renewal of the same holder.
func IsSameRenewal(a, b landing.Lease) bool {
	return a.Holder() == b.Holder() && a.Incarnation() == b.Incarnation() && a.Count() == b.Count()
}

// Next returns the lease that m writes when it takes or renews the lease l.
func Next(l landing.Lease, m landing.Balancer, duration time.Duration) landing.Lease {
	return landing.Lease{}.
		WithHolder(m.Instance()).
		WithIncarnation(m.Incarnation()).
		WithCount(l.Count() + 1).
		WithDuration(duration)
}
