package relay

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/absence"
	"github.com/crocuslanding/crocuslanding/core/pkg/directory"
	"github.com/crocuslanding/crocuslanding/core/pkg/policy"
)

// Snapshot is the control state that traffic reads. It is immutable.
type Snapshot struct {
	policy     policy.Policy
	directory  *directory.Directory
	isStopping bool
}

// NewSnapshot returns the snapshot of the balancer at this address, which knows nothing.
func NewSnapshot(home uint64) Snapshot {
	return Snapshot{directory: directory.New(home)}
}

// WithPolicy returns a copy with another policy in force.
func (s Snapshot) WithPolicy(p policy.Policy) Snapshot {
	s.policy = p
	return s
}

// WithDirectory returns a copy with another directory of sidecars.
func (s Snapshot) WithDirectory(d *directory.Directory) Snapshot {
	s.directory = d
	return s
}

// WithDraining returns a copy that asks for no further packets.
func (s Snapshot) WithDraining() Snapshot {
	s.isStopping = true
	return s
}

// HasInitialState says whether the balancer knows enough to send packets.
func (s Snapshot) HasInitialState() bool {
	return s.policy.IsComplete() && s.directory.EnrollmentList().Revision() > 0
}

// IsReady says whether the routers may send packets.
func (s Snapshot) IsReady(now time.Time) bool {
	return s.HasInitialState() && !s.isStopping && !absence.IsIsolated(s.directory.Sidecars(), now)
}

// PlatformSnapshot returns what another process may start from.
func (s Snapshot) PlatformSnapshot() landing.PlatformSnapshot {
	return landing.PlatformSnapshot{}.
		WithRules(s.policy.Rules().Rules()).
		WithExclusions(s.policy.Exclusions()).
		WithEnrollmentList(s.directory.EnrollmentList())
}

// SidecarsWithNewerPolicy returns the addresses of the sidecars that have shown newer rules or exclusions.
func (s Snapshot) SidecarsWithNewerPolicy() []uint64 {
	var hops []uint64
	for _, n := range s.directory.Sidecars() {
		if s.policy.IsOlderThan(policy.NewRevisions(n.LastStatus().RulesRevision(), n.LastStatus().ExclusionsChangedRevision())) {
			hops = append(hops, n.Address())
		}
	}
	return hops
}

// BalancerCount returns the number of balancers in the fleet, as far as sidecars tell.
func (s Snapshot) BalancerCount() int {
	count := 1
	for _, n := range s.directory.Sidecars() {
		count = max(count, int(n.LastStatus().SubscriberCount()))
	}
	return count
}
