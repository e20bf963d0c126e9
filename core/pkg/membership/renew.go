package membership

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/lease"
)

// renewIfDue renews the lease that this balancer holds, or takes one that has lapsed.
func renewIfDue(w landing.Watch, now time.Time) (landing.Watch, []landing.Task) {
	l := w.Record().Lease()
	if w.Renewing() {
		return w, nil
	}
	if lease.IsHeldBy(l, w.Self()) && !lease.IsRenewalDue(l, w.Renewed(), now) {
		return w, nil
	}
	if !lease.IsHeldBy(l, w.Self()) && !lease.HasLapsed(l, w.Seen(), now) {
		return w, nil
	}
	next := lease.Next(l, w.Self(), leaseExpiries*w.Expiry())
	return w.WithRenewing(true), []landing.Task{landing.Renew{}.WithLease(next).WithVersion(w.Leased())}
}

func handleRenewed(w landing.Watch, r landing.Renewed) (landing.Watch, []landing.Task) {
	if !r.Confirmed() {
		return w, []landing.Task{landing.Recheck{}}
	}
	w = withLease(w, r.Lease(), r.Version(), r.Now())
	return w.WithRenewed(r.Now()), nil
}

// handleLeased takes the lease as it was read. A write whose answer was lost shows here.
func handleLeased(w landing.Watch, l landing.Leased) landing.Watch {
	if l.Version() < w.Leased() {
		return w.WithRenewing(false)
	}
	return withLease(w, l.Lease(), l.Version(), l.Now())
}

// withLease notes the lease, when its count was first seen, and whether this balancer has just taken it.
func withLease(w landing.Watch, l landing.Lease, version uint64, now time.Time) landing.Watch {
	w = w.WithRenewing(false).WithLeased(version)
	before := w.Record().Lease()
	if lease.IsSame(before, l) {
		return w
	}
	if lease.IsHeldBy(l, w.Self()) && !lease.IsHeldBy(before, w.Self()) {
		w = w.WithUnfenced(true)
	}
	return w.WithSeen(now).WithRecord(w.Record().WithLease(l))
}
