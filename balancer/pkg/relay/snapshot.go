package relay

import (
	"slices"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/absence"
	"github.com/crocuslanding/crocuslanding/core/pkg/directory"
	"github.com/crocuslanding/crocuslanding/core/pkg/rules"
	"github.com/crocuslanding/crocuslanding/core/pkg/subset"
)

// Snapshot is the control state that traffic reads. It is immutable.
type Snapshot struct {
	rules      *rules.View
	exclusions landing.Exclusions
	directory  *directory.Directory
	isStopping bool
}

// NewSnapshot returns the snapshot of a balancer that knows nothing.
func NewSnapshot() Snapshot {
	return Snapshot{directory: directory.New()}
}

// WithRules returns a copy with other rules in force.
func (s Snapshot) WithRules(r landing.Rules) Snapshot {
	s.rules = rules.New(r)
	return s
}

// WithExclusions returns a copy with other exclusions in force.
func (s Snapshot) WithExclusions(e landing.Exclusions) Snapshot {
	s.exclusions = e
	return s
}

// WithDirectory returns a copy with another directory of sidecars.
func (s Snapshot) WithDirectory(d *directory.Directory) Snapshot {
	s.directory = d
	return s
}

// WithStopping returns a copy that asks for no further packets.
func (s Snapshot) WithStopping() Snapshot {
	s.isStopping = true
	return s
}

// IsKnown says whether the balancer knows enough to send packets.
func (s Snapshot) IsKnown() bool {
	return s.rules != nil && s.exclusions.Revision() > 0 && s.directory.Roll().Revision() > 0
}

// IsReady says whether the routers may send packets.
func (s Snapshot) IsReady(now time.Time) bool {
	return s.IsKnown() && !s.isStopping && !absence.IsIsolated(s.directory.Neighbors(), now)
}

// IsExcluded says whether a zone is taken out.
func (s Snapshot) IsExcluded(zone string) bool {
	return slices.Contains(s.exclusions.Zones(), zone)
}

// Picture returns what another process may start from.
func (s Snapshot) Picture() landing.Picture {
	return landing.Picture{}.
		WithRules(s.rules.Rules()).
		WithExclusions(s.exclusions).
		WithRoll(s.directory.Roll())
}

// Ahead returns the addresses of the sidecars that have shown newer rules or exclusions.
func (s Snapshot) Ahead() []uint64 {
	var hops []uint64
	for _, n := range s.directory.Neighbors() {
		if n.Status().Rules() > s.rules.Rules().Revision() || n.Status().Exclusions() > s.exclusions.Revision() {
			hops = append(hops, n.Hop())
		}
	}
	return hops
}

// Followed returns the sidecars that the balancer at this address follows closely.
func (s Snapshot) Followed(home uint64) []landing.Neighbor {
	return subset.Pick(s.directory.Neighbors(), home)
}

// Balancers returns the number of balancers in the fleet, as far as sidecars tell.
func (s Snapshot) Balancers() int {
	count := 1
	for _, n := range s.directory.Neighbors() {
		count = max(count, int(n.Status().Homes()))
	}
	return count
}
