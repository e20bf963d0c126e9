package keeper

import (
	"slices"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/envelope"
	"github.com/crocuslanding/crocuslanding/core/pkg/mark"
	"github.com/crocuslanding/crocuslanding/core/pkg/plan"
)

// Snapshot is the control state that the workers read. It is immutable.
type Snapshot struct {
	target        landing.Target
	index         *plan.Index
	root          landing.ListsRoot
	marks         landing.ExclusionMarks
	targetWeights []uint32
	// weightIndex is the index of this sidecar's own weight in targetWeights; -1 before a balancer has sent
	// the weights.
	weightIndex  int
	balancers    []landing.Balancer
	rosterSerial uint64
	keyring      landing.Keyring
	keys         *envelope.Keys
}

// NewSnapshot returns the snapshot of a sidecar that has received no control state yet.
func NewSnapshot(t landing.Target) Snapshot {
	return Snapshot{target: t, weightIndex: -1, keys: envelope.NewKeys(landing.Keyring{})}
}

// Target returns the target as the sidecar announces it.
func (s Snapshot) Target() landing.Target {
	return s.target
}

// WithTarget returns a copy with the given target.
func (s Snapshot) WithTarget(t landing.Target) Snapshot {
	s.target = t
	return s
}

// Root returns the root of the lists in force.
func (s Snapshot) Root() landing.ListsRoot {
	return s.root
}

// WithLists returns a copy with the given lists in force, and their root.
func (s Snapshot) WithLists(root landing.ListsRoot, lists landing.Lists) Snapshot {
	s.root = root
	s.index = plan.New(lists)
	return s
}

// Marks returns the exclusion marks in force.
func (s Snapshot) Marks() landing.ExclusionMarks {
	return s.marks
}

// WithMarks returns a copy with the given exclusion marks.
func (s Snapshot) WithMarks(m landing.ExclusionMarks) Snapshot {
	s.marks = m
	return s
}

// Balancers returns the balancers to which the sidecar sends heartbeats: its home balancer and the next ones
// in its ranking.
func (s Snapshot) Balancers() []landing.Balancer {
	return slices.Clone(s.balancers)
}

// WithBalancers returns a copy with the given balancers.
func (s Snapshot) WithBalancers(balancers []landing.Balancer) Snapshot {
	s.balancers = balancers
	return s
}

// WithWeights returns a copy with the given weights of the service's serving targets. index is the index
// of this sidecar's own weight.
func (s Snapshot) WithWeights(weights []uint32, index int) Snapshot {
	s.targetWeights = weights
	s.weightIndex = index
	return s
}

// RosterSerial returns the highest serial number of a roster that a balancer has reported; 0 when none has.
func (s Snapshot) RosterSerial() uint64 {
	return s.rosterSerial
}

// WithRosterSerial returns a copy with the given highest serial number of a roster.
func (s Snapshot) WithRosterSerial(serial uint64) Snapshot {
	s.rosterSerial = serial
	return s
}

// Keyring returns the keyring in force.
func (s Snapshot) Keyring() landing.Keyring {
	return s.keyring
}

// WithKeyring returns a copy with the given keyring.
func (s Snapshot) WithKeyring(keyring landing.Keyring) Snapshot {
	s.keyring = keyring
	s.keys = envelope.NewKeys(keyring)
	return s
}

// Keys returns the keys of the keyring in force, ready to sign and verify datagrams.
func (s Snapshot) Keys() *envelope.Keys {
	return s.keys
}

// Digest returns the versions of the control state in force, by which a balancer detects what the sidecar
// lacks.
func (s Snapshot) Digest() landing.VersionDigest {
	return landing.VersionDigest{}.
		WithRoot(s.root.Serial()).
		WithRoster(s.rosterSerial).
		WithMarks(mark.Digest(s.marks)).
		WithKeys(s.keyring.Serial())
}

// IsExcluded reports whether the marks exclude the upstream or its availability zone from traffic.
func (s Snapshot) IsExcluded() bool {
	return mark.IsExcluded(s.marks, s.target)
}

// IsReady reports whether the sidecar has the lists and its share of the service's flow limits.
func (s Snapshot) IsReady() bool {
	return s.index != nil && s.weightIndex >= 0
}

// IsServing reports whether the upstream accepts new flows.
func (s Snapshot) IsServing() bool {
	return s.target.Phase() == landing.PhaseServing
}

// Authorize returns the access of the caller of flow k to this sidecar's service, and
// RefusalUnspecified. When the caller has no access, it returns the reason for the refusal.
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

// FlowLimit returns the number of flows that a customer with this grant may have open at this sidecar;
// 0 before a balancer has sent the weights.
func (s Snapshot) FlowLimit(g landing.Grant) uint32 {
	if s.weightIndex < 0 {
		return 0
	}
	return plan.Share(g.Flows(), s.targetWeights, s.weightIndex)
}
