package keeper

import (
	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/envelope"
	"github.com/crocuslanding/crocuslanding/core/pkg/mark"
	"github.com/crocuslanding/crocuslanding/core/pkg/route"
)

// pastRosters is the number of rosters that are kept, so that peers are sent only what changed since theirs.
const pastRosters = 8

// Snapshot is the control state that the other goroutines read. It is immutable.
type Snapshot struct {
	view  *route.View
	watch landing.MembershipState
	past  []landing.Roster
	root  landing.ListsRoot
	ring  landing.Keyring
	keys  *envelope.Keys
}

// NewSnapshot returns the snapshot of a balancer that knows nothing yet.
func NewSnapshot(w landing.MembershipState) Snapshot {
	return Snapshot{view: route.New(), watch: w, keys: envelope.NewKeys(landing.Keyring{})}
}

// View returns the view that packets are routed by.
func (s Snapshot) View() *route.View {
	return s.view
}

// WithView returns a copy with another view.
func (s Snapshot) WithView(v *route.View) Snapshot {
	s.view = v
	return s
}

// WithRoster returns a copy with another roster in force. The ones before it are kept for a while.
func (s Snapshot) WithRoster(r landing.Roster) Snapshot {
	s.past = append([]landing.Roster{s.Roster()}, s.past[:min(len(s.past), pastRosters-1)]...)
	s.view = s.view.WithRoster(r)
	return s
}

// PreviousRoster returns a roster that was in force not long ago; false when it is not kept.
func (s Snapshot) PreviousRoster(serial uint64) (landing.Roster, bool) {
	for _, r := range s.past {
		if r.Serial() == serial && serial > 0 {
			return r, true
		}
	}
	return landing.Roster{}, false
}

// Membership returns the state of the membership.
func (s Snapshot) Membership() landing.MembershipState {
	return s.watch
}

// WithMembership returns a copy with another state of the membership.
func (s Snapshot) WithMembership(w landing.MembershipState) Snapshot {
	s.watch = w
	return s
}

// Root returns the root in force.
func (s Snapshot) Root() landing.ListsRoot {
	return s.root
}

// WithRoot returns a copy with another root.
func (s Snapshot) WithRoot(r landing.ListsRoot) Snapshot {
	s.root = r
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

// Roster returns the roster in force.
func (s Snapshot) Roster() landing.Roster {
	return s.view.Roster()
}

// Digest returns the versions in force.
func (s Snapshot) Digest() landing.VersionDigest {
	return landing.VersionDigest{}.
		WithRoot(s.root.Serial()).
		WithRoster(s.Roster().Serial()).
		WithMarks(mark.Digest(s.view.Marks())).
		WithKeys(s.ring.Serial())
}
