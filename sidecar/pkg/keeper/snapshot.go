package keeper

import (
	"slices"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/envelope"
	"github.com/crocuslanding/crocuslanding/core/pkg/mark"
	"github.com/crocuslanding/crocuslanding/core/pkg/plan"
)

// Snapshot is the control state that traffic reads. It is immutable.
type Snapshot struct {
	target  landing.Target
	index   *plan.Index
	root    landing.ListsRoot
	marks   landing.ExclusionMarks
	weights []uint32
	place   int
	members []landing.Balancer
	roster  uint64
	ring    landing.Keyring
	keys    *envelope.Keys
}

// NewSnapshot returns the snapshot of a sidecar that knows nothing but its target.
func NewSnapshot(t landing.Target) Snapshot {
	return Snapshot{target: t, place: -1, keys: envelope.NewKeys(landing.Keyring{})}
}

// Target returns the target as it is announced.
func (s Snapshot) Target() landing.Target {
	return s.target
}

// WithTarget returns a copy with another target.
func (s Snapshot) WithTarget(t landing.Target) Snapshot {
	s.target = t
	return s
}

// Root returns the root in force.
func (s Snapshot) Root() landing.ListsRoot {
	return s.root
}

// WithLists returns a copy with other lists in force.
func (s Snapshot) WithLists(r landing.ListsRoot, l landing.Lists) Snapshot {
	s.root = r
	s.index = plan.New(l)
	return s
}

// Marks returns the marks in force.
func (s Snapshot) Marks() landing.ExclusionMarks {
	return s.marks
}

// WithMarks returns a copy with other marks.
func (s Snapshot) WithMarks(m landing.ExclusionMarks) Snapshot {
	s.marks = m
	return s
}

// Balancers returns the balancers of the region.
func (s Snapshot) Balancers() []landing.Balancer {
	return slices.Clone(s.members)
}

// WithBalancers returns a copy with other balancers.
func (s Snapshot) WithBalancers(m []landing.Balancer) Snapshot {
	s.members = m
	return s
}

// WithWeights returns a copy with other weights of the service's targets, among which the
// target's place is given.
func (s Snapshot) WithWeights(weights []uint32, place int) Snapshot {
	s.weights = weights
	s.place = place
	return s
}

// RosterSerial returns the serial number of the newest roster known.
func (s Snapshot) RosterSerial() uint64 {
	return s.roster
}

// WithRosterSerial returns a copy with another serial number of the roster.
func (s Snapshot) WithRosterSerial(serial uint64) Snapshot {
	s.roster = serial
	return s
}

// Keyring returns the keyring in force.
func (s Snapshot) Keyring() landing.Keyring {
	return s.ring
}

// WithKeyring returns a copy with another keyring.
func (s Snapshot) WithKeyring(r landing.Keyring) Snapshot {
	s.ring = r
	s.keys = envelope.NewKeys(r)
	return s
}

// Keys returns the keys of the keyring in force.
func (s Snapshot) Keys() *envelope.Keys {
	return s.keys
}

// Digest returns the versions in force.
func (s Snapshot) Digest() landing.VersionDigest {
	return landing.VersionDigest{}.
		WithRoot(s.root.Serial()).
		WithRoster(s.roster).
		WithMarks(mark.Digest(s.marks)).
		WithKeys(s.ring.Serial())
}

// IsExcluded says whether the upstream or its availability zone is taken out.
func (s Snapshot) IsExcluded() bool {
	return mark.IsExcluded(s.marks, s.target)
}

// IsReady says whether the sidecar has lists and knows its part of the service's limits.
func (s Snapshot) IsReady() bool {
	return s.index != nil && s.place >= 0
}

// IsServing says whether the upstream takes new flows.
func (s Snapshot) IsServing() bool {
	return s.target.Phase() == landing.PhaseServing
}

// Authorize returns the access of the caller of flow k to this sidecar's service, or the reason why there is none.
func (s Snapshot) Authorize(k landing.FlowKey) (plan.Access, landing.Refusal) {
	if s.index == nil {
		return plan.Access{}, landing.RefusalUnready
	}
	access, refusal := s.index.Find(k)
	if refusal != landing.RefusalUnspecified {
		return access, refusal
	}
	if access.Service().Name() != s.target.Service() {
		return access, landing.RefusalForeign
	}
	if !slices.Contains(access.Grant().Zones(), s.target.Zone()) {
		return access, landing.RefusalZone
	}
	return access, landing.RefusalUnspecified
}

// FlowLimit returns the number of flows that a customer with this grant may have open here.
func (s Snapshot) FlowLimit(g landing.Grant) uint32 {
	if s.place < 0 {
		return 0
	}
	return plan.Share(g.Flows(), s.weights, s.place)
}
