package membership

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/lease"
)

// writeLeaseIfDue renews the lease if this balancer holds it and the renewal is due, and takes it over
// if it has expired.
func writeLeaseIfDue(s landing.MembershipState, now time.Time) (landing.MembershipState, []landing.MembershipTask) {
	current := s.RegionState().Lease()
	if s.LeaseCallPending() {
		return s, nil
	}
	if lease.IsHeldBy(current, s.Self()) && !lease.IsRenewalDue(current, s.LastLeaseRenewal(), now) {
		return s, nil
	}
	if !lease.IsHeldBy(current, s.Self()) && !lease.HasExpired(current, s.LeaseCountFirstSeen(), now) {
		return s, nil
	}
	next := lease.Next(current, s.Self(), leaseDurationFactor*s.TargetExpiry())
	return s.WithLeaseCallPending(true), []landing.MembershipTask{landing.WriteLease{}.WithLease(next).WithExpectedVersion(s.LeaseVersion())}
}

// handleLeaseWriteEnded adopts the lease that was written. After an unconfirmed write it reads the lease
// again, since the write may have taken effect.
func handleLeaseWriteEnded(s landing.MembershipState, e landing.LeaseWriteEnded) (landing.MembershipState, []landing.MembershipTask) {
	if !e.Confirmed() {
		return s, []landing.MembershipTask{landing.ReadLease{}}
	}
	s = withLease(s, e.Lease(), e.LeaseVersion(), e.EndedAt())
	return s.WithLastLeaseRenewal(e.EndedAt()), nil
}

// handleLeaseRead adopts the lease that was read unless a newer version is known. After an unconfirmed
// write, the read shows whether the write took effect.
func handleLeaseRead(s landing.MembershipState, e landing.LeaseRead) landing.MembershipState {
	if e.LeaseVersion() < s.LeaseVersion() {
		return s.WithLeaseCallPending(false)
	}
	return withLease(s, e.Lease(), e.LeaseVersion(), e.ReadAt())
}

// withLease records the lease and the time at which its renewal count was first seen. If this balancer
// has just taken it over, it also records that the fencing write of the roster is pending.
func withLease(s landing.MembershipState, l landing.Lease, version uint64, now time.Time) landing.MembershipState {
	s = s.WithLeaseCallPending(false).WithLeaseVersion(version)
	previous := s.RegionState().Lease()
	if lease.IsSameRenewal(previous, l) {
		return s
	}
	if lease.IsHeldBy(l, s.Self()) && !lease.IsHeldBy(previous, s.Self()) {
		s = s.WithFencingWritePending(true)
	}
	return s.WithLeaseCountFirstSeen(now).WithRegionState(s.RegionState().WithLease(l))
}
