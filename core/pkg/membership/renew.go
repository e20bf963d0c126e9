package membership

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/lease"
)

// renewIfDue renews the lease that this balancer holds, or takes one that has lapsed.
func renewIfDue(w landing.MembershipState, now time.Time) (landing.MembershipState, []landing.MembershipTask) {
	l := w.RegionState().Lease()
	if w.LeaseCallPending() {
		return w, nil
	}
	if lease.IsHeldBy(l, w.Self()) && !lease.IsRenewalDue(l, w.LastLeaseRenewal(), now) {
		return w, nil
	}
	if !lease.IsHeldBy(l, w.Self()) && !lease.HasExpired(l, w.LeaseCountFirstSeen(), now) {
		return w, nil
	}
	next := lease.Next(l, w.Self(), leaseExpiries*w.TargetExpiry())
	return w.WithLeaseCallPending(true), []landing.MembershipTask{landing.WriteLease{}.WithLease(next).WithExpectedVersion(w.LeaseVersion())}
}

func handleRenewed(w landing.MembershipState, r landing.LeaseWriteEnded) (landing.MembershipState, []landing.MembershipTask) {
	if !r.Confirmed() {
		return w, []landing.MembershipTask{landing.ReadLease{}}
	}
	w = withLease(w, r.Lease(), r.LeaseVersion(), r.EndedAt())
	return w.WithLastLeaseRenewal(r.EndedAt()), nil
}

// handleLeased takes the lease as it was read. A write whose answer was lost shows here.
func handleLeased(w landing.MembershipState, l landing.LeaseRead) landing.MembershipState {
	if l.LeaseVersion() < w.LeaseVersion() {
		return w.WithLeaseCallPending(false)
	}
	return withLease(w, l.Lease(), l.LeaseVersion(), l.ReadAt())
}

// withLease notes the lease, when its count was first seen, and whether this balancer has just taken it.
func withLease(w landing.MembershipState, l landing.Lease, version uint64, now time.Time) landing.MembershipState {
	w = w.WithLeaseCallPending(false).WithLeaseVersion(version)
	before := w.RegionState().Lease()
	if lease.IsSameRenewal(before, l) {
		return w
	}
	if lease.IsHeldBy(l, w.Self()) && !lease.IsHeldBy(before, w.Self()) {
		w = w.WithFencingWritePending(true)
	}
	return w.WithLeaseCountFirstSeen(now).WithRegionState(w.RegionState().WithLease(l))
}
