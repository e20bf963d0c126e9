package relay

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/absence"
	"github.com/crocuslanding/crocuslanding/core/pkg/directory"
	"github.com/crocuslanding/crocuslanding/core/pkg/policy"
)

// Snapshot is the control state that the control thread publishes for the other goroutines. It is immutable.
type Snapshot struct {
	policy     policy.Policy
	directory  *directory.Directory
	isDraining bool
	// answeredUntil is the end of the last answered call to the platform.
	answeredUntil time.Time
}

// NewSnapshot returns a snapshot for the balancer at this address, without rules, exclusions or sidecars. What the platform
// may have lost is kept for the time retention.
func NewSnapshot(balancerAddress uint64, retention time.Duration) Snapshot {
	return Snapshot{policy: policy.New(retention), directory: directory.New(balancerAddress, retention)}
}

// WithPolicy returns a copy with the given policy in force.
func (s Snapshot) WithPolicy(p policy.Policy) Snapshot {
	s.policy = p
	return s
}

// WithDirectory returns a copy with the given directory of sidecars.
func (s Snapshot) WithDirectory(d *directory.Directory) Snapshot {
	s.directory = d
	return s
}

// WithDraining returns a copy that is reported to the routers as not ready.
func (s Snapshot) WithDraining() Snapshot {
	s.isDraining = true
	return s
}

// WithAnsweredCall returns a copy after the platform has answered a call of this duration now, in response to which objects of
// this era were read. Of calls at the same time, each moment counts once.
func (s Snapshot) WithAnsweredCall(duration time.Duration, era uint64, now time.Time) Snapshot {
	if duration == 0 {
		return s
	}
	answered := min(duration, max(now.Sub(s.answeredUntil), 0))
	s.answeredUntil = now
	if era == s.policy.Exclusions().Era() {
		s.policy = s.policy.WithAnswered(answered)
	}
	return s.WithDirectory(s.directory.WithStoreTime(answered))
}

// StoreEra returns the latest era of the platform in which rules, exclusions or enrollments have been read.
func (s Snapshot) StoreEra() uint64 {
	return max(s.policy.Rules().Rules().Era(), s.policy.Exclusions().Era(), s.directory.EnrollmentList().Era())
}

// HasExpired reports whether an exclusion or a sidecar is retained whose time is over.
func (s Snapshot) HasExpired() bool {
	return s.policy.HasExpired() || s.directory.HasExpired()
}

// RetainsLost reports whether exclusions or sidecars are retained that the platform may have lost.
func (s Snapshot) RetainsLost() bool {
	return len(s.policy.RetainedZones()) > 0 || s.directory.RetainedCount() > 0
}

// WithoutExpired returns a copy without the retained exclusions and sidecars whose time is over.
func (s Snapshot) WithoutExpired(now time.Time) Snapshot {
	return s.WithPolicy(s.policy.WithoutExpired()).WithDirectory(s.directory.WithoutExpired(now))
}

// HasInitialState reports whether rules, exclusions and enrolled sidecars have been read at least once. Before that the
// balancer cannot forward packets.
func (s Snapshot) HasInitialState() bool {
	return s.policy.IsComplete() && s.directory.EnrollmentList().Revision() > 0
}

// IsReady reports whether the routers may send packets to the balancer. It is false before the initial state has been
// read, while the balancer drains, and when statuses have arrived earlier but no longer arrive from any sidecar.
func (s Snapshot) IsReady(now time.Time) bool {
	return s.HasInitialState() && !s.isDraining && !absence.IsIsolated(s.directory.Sidecars(), now)
}

// PlatformSnapshot returns the objects last read from the platform, from which another process can start while the
// platform is unavailable.
func (s Snapshot) PlatformSnapshot() landing.PlatformSnapshot {
	return landing.PlatformSnapshot{}.
		WithRules(s.policy.Rules().Rules()).
		WithExclusions(s.policy.Exclusions()).
		WithEnrollmentList(s.directory.EnrollmentList())
}

// SidecarsWithNewerPolicy returns the addresses of the sidecars whose last status advertises newer rules or exclusions
// than those in force.
func (s Snapshot) SidecarsWithNewerPolicy() []uint64 {
	var addresses []uint64
	for _, sidecar := range s.directory.Sidecars() {
		if s.policy.IsOlderThan(policy.RevisionsOfStatus(sidecar.LastStatus())) {
			addresses = append(addresses, sidecar.Address())
		}
	}
	return addresses
}

// BalancerCount returns an estimate of the number of balancers in the fleet, at least 1: the largest number of
// subscribers that a sidecar has reported.
func (s Snapshot) BalancerCount() int {
	_, count := s.BalancerRank()
	return count
}

// BalancerRank returns the rank of this balancer among the balancers of the fleet, by address, and their number, as the
// sidecar with the most subscribers has reported them. Without a report it is the first of one.
func (s Snapshot) BalancerRank() (rank, count int) {
	count = 1
	for _, sidecar := range s.directory.Sidecars() {
		if status := sidecar.LastStatus(); int(status.SubscriberCount()) > count {
			rank, count = int(status.SubscriberRank()), int(status.SubscriberCount())
		}
	}
	return rank, count
}
