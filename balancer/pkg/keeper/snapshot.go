package keeper

import (
	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/envelope"
	"github.com/crocuslanding/crocuslanding/core/pkg/mark"
	"github.com/crocuslanding/crocuslanding/core/pkg/route"
)

// maxPreviousRosters is the number of replaced rosters that are kept, so that a peer that has one of them is sent only
// the difference to the roster in force.
const maxPreviousRosters = 8

// Snapshot is the control state that the control thread publishes for the other goroutines. It is immutable.
type Snapshot struct {
	view            *route.View
	membership      landing.MembershipState
	previousRosters []landing.Roster
	root            landing.ListsRoot
	keyring         landing.Keyring
	keys            *envelope.Keys
}

// NewSnapshot returns a snapshot with this membership state and without lists, roster, exclusion marks or keys.
func NewSnapshot(m landing.MembershipState) Snapshot {
	return Snapshot{view: route.New(), membership: m, keys: envelope.NewKeys(landing.Keyring{})}
}

// View returns the routing view, which combines lists, roster and exclusion marks into tables for routing packets.
func (s Snapshot) View() *route.View {
	return s.view
}

// WithView returns a copy with the given routing view.
func (s Snapshot) WithView(v *route.View) Snapshot {
	s.view = v
	return s
}

// WithRoster returns a copy with the given roster in force. The roster that it replaces is kept as a previous one.
func (s Snapshot) WithRoster(r landing.Roster) Snapshot {
	s.previousRosters = append([]landing.Roster{s.Roster()}, s.previousRosters[:min(len(s.previousRosters), maxPreviousRosters-1)]...)
	s.view = s.view.WithRoster(r)
	return s
}

// PreviousRoster returns the replaced roster with this serial number. It returns false when that roster is no longer
// kept or the serial number is 0.
func (s Snapshot) PreviousRoster(serial uint64) (landing.Roster, bool) {
	for _, r := range s.previousRosters {
		if r.Serial() == serial && serial > 0 {
			return r, true
		}
	}
	return landing.Roster{}, false
}

// Membership returns the state from which the balancers and targets of the region are decided.
func (s Snapshot) Membership() landing.MembershipState {
	return s.membership
}

// WithMembership returns a copy with the given membership state.
func (s Snapshot) WithMembership(m landing.MembershipState) Snapshot {
	s.membership = m
	return s
}

// Root returns the root of the lists in force; its serial number is 0 when no lists have been loaded.
func (s Snapshot) Root() landing.ListsRoot {
	return s.root
}

// WithRoot returns a copy with the given root of the lists.
func (s Snapshot) WithRoot(r landing.ListsRoot) Snapshot {
	s.root = r
	return s
}

// Keyring returns the keyring in force; its serial number is 0 when none has been received.
func (s Snapshot) Keyring() landing.Keyring {
	return s.keyring
}

// WithKeyring returns a copy with the given keyring.
func (s Snapshot) WithKeyring(r landing.Keyring) Snapshot {
	s.keyring = r
	s.keys = envelope.NewKeys(r)
	return s
}

// Keys returns the keys of the keyring in force, ready to sign and verify datagrams.
func (s Snapshot) Keys() *envelope.Keys {
	return s.keys
}

// Roster returns the roster in force; its serial number is 0 when there is none.
func (s Snapshot) Roster() landing.Roster {
	return s.view.Roster()
}

// Digest returns the versions of root, roster, exclusion marks and keyring in force, by which two processes detect which
// of this state one of them lacks.
func (s Snapshot) Digest() landing.VersionDigest {
	return landing.VersionDigest{}.
		WithRoot(s.root.Serial()).
		WithRoster(s.Roster().Serial()).
		WithMarks(mark.Digest(s.view.Marks())).
		WithKeys(s.keyring.Serial())
}
