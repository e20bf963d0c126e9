// Package membership decides how a balancer maintains the roster of its region: which targets it reports
// to other balancers, when it takes over or renews the lease for writing the roster, and which roster it
// writes. These decisions are functions from an immutable state and an event to a new state and tasks.
// The package is independent of sockets, clocks and encodings.
//
// The roster lists the targets and the balancers of the region. A target is an upstream that is reached
// through its sidecar. The sidecar sends its heartbeats to one of the balancers, the target's home. The
// roster and the lease are stored in the platform, a service outside the fleet.
package membership

import (
	"slices"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/lease"
	"github.com/crocuslanding/crocuslanding/core/pkg/roster"
)

const (
	// balancerExpiryFactor is the time after the last contact with a balancer at which it is removed from
	// the roster, in multiples of the target expiry.
	balancerExpiryFactor = 3
	// homeChangeFactor is the time that sidecars have for moving to a new home balancer before that
	// balancer reports their targets as left, in multiples of the target expiry.
	homeChangeFactor = 2
	// leaseDurationFactor is the duration of the lease in multiples of the target expiry.
	leaseDurationFactor = 1
)

// New returns the initial state of the balancer self, with an empty roster. expiry is the time without a
// heartbeat after which a target counts as left.
func New(self landing.Balancer, region string, expiry time.Duration) landing.MembershipState {
	return landing.MembershipState{}.
		WithSelf(self).
		WithRegion(region).
		WithTargetExpiry(expiry).
		WithRegionState(landing.RegionState{}.WithRoster(landing.Roster{}.WithRegion(region)))
}

// Handle returns the state after the event, and the tasks that the balancer must carry out, in order.
func Handle(s landing.MembershipState, e landing.MembershipEvent) (landing.MembershipState, []landing.MembershipTask) {
	switch e := e.(type) {
	case landing.HeartbeatReceived:
		return handleHeartbeat(s, e)
	case landing.PeerStateReceived:
		return handlePeerState(s, e)
	case landing.RosterRead:
		return handleRosterRead(s, e)
	case landing.RosterWriteEnded:
		return handleRosterWriteEnded(s, e)
	case landing.Tick:
		return handleTick(s, e.Now())
	case landing.LeaseRead:
		return handleLeaseRead(s, e), nil
	case landing.LeaseWriteEnded:
		return handleLeaseWriteEnded(s, e)
	}
	return s, nil
}

// TargetUpdates returns the targets from heartbeats and reports that the roster of this balancer lacks
// or holds in an older version.
func TargetUpdates(s landing.MembershipState) []landing.Target {
	reported := s.ReportedTargets()
	for _, h := range s.TargetHeartbeats() {
		reported, _ = roster.MergeTargets(reported, []landing.Target{h.Target()})
	}
	return updatesFor(s.RegionState().Roster(), reported)
}

// updatesFor returns those of targets that r lacks or holds in an older version. A target that has left
// and that r lacks is not an update.
func updatesFor(r landing.Roster, targets []landing.Target) []landing.Target {
	var updates []landing.Target
	for _, t := range targets {
		listed, found := roster.Find(r, t.Instance())
		if found && !roster.IsNewer(t, listed) {
			continue
		}
		if !found && t.Phase() == landing.PhaseLeft {
			continue
		}
		updates = append(updates, t)
	}
	return updates
}

// handleHeartbeat records the heartbeat unless it announces an older version of the target than the
// recorded one.
func handleHeartbeat(s landing.MembershipState, e landing.HeartbeatReceived) (landing.MembershipState, []landing.MembershipTask) {
	heartbeat := landing.TargetHeartbeat{}.WithTarget(e.Target()).WithKeyringSerial(e.KeyringSerial()).WithReceivedAt(e.ReceivedAt())
	heartbeats := s.TargetHeartbeats()
	i, found := slices.BinarySearchFunc(heartbeats, heartbeat, compareHeartbeats)
	switch {
	case !found:
		heartbeats = slices.Insert(heartbeats, i, heartbeat)
	case roster.IsNewer(heartbeats[i].Target(), e.Target()):
		return s, nil
	default:
		heartbeats[i] = heartbeat
	}
	return writeRosterIfHolder(s.WithTargetHeartbeats(heartbeats...), e.ReceivedAt())
}

// handlePeerState records the contact with the sending balancer and adds the targets that it reports.
func handlePeerState(s landing.MembershipState, e landing.PeerStateReceived) (landing.MembershipState, []landing.MembershipTask) {
	if e.Sender().Instance() != "" {
		s = withPeerContact(s, e)
	}
	reported, _ := roster.MergeTargets(s.ReportedTargets(), updatesFor(s.RegionState().Roster(), e.TargetUpdates()))
	return writeRosterIfHolder(s.WithReportedTargets(reported...), e.ReceivedAt())
}

func withPeerContact(s landing.MembershipState, e landing.PeerStateReceived) landing.MembershipState {
	contact := landing.PeerContact{}.WithBalancer(e.Sender()).WithLastContact(e.ReceivedAt())
	contacts := s.PeerContacts()
	i, found := slices.BinarySearchFunc(contacts, contact, comparePeerContacts)
	if !found {
		return s.WithPeerContacts(slices.Insert(contacts, i, contact)...)
	}
	if contacts[i].Balancer().Incarnation() > e.Sender().Incarnation() {
		return s
	}
	contacts[i] = contact
	return s.WithPeerContacts(contacts...)
}

// handleRosterRead adopts the roster if it is newer. A read from the platform also ends a pending call;
// a roster from another balancer does not, since it does not show whether a write at the platform took
// effect.
func handleRosterRead(s landing.MembershipState, e landing.RosterRead) (landing.MembershipState, []landing.MembershipTask) {
	if !e.FromPeer() {
		s = s.WithRosterCallPending(false).WithRosterVersion(max(s.RosterVersion(), e.RosterVersion()))
	}
	if e.Roster().Serial() <= s.RegionState().Roster().Serial() {
		return s, nil
	}
	return adoptRoster(s, e.Roster(), e.ReadAt())
}

// adoptRoster puts r in force in this balancer.
func adoptRoster(s landing.MembershipState, r landing.Roster, now time.Time) (landing.MembershipState, []landing.MembershipTask) {
	if !slices.Equal(s.RegionState().Roster().Members(), r.Members()) {
		s = s.WithHomesLastChanged(now)
	}
	s = s.WithRegionState(s.RegionState().WithRoster(r))
	s = s.WithHomeTargets(homeTargets(s)...)
	s = s.WithReportedTargets(updatesFor(r, s.ReportedTargets())...)
	return s, []landing.MembershipTask{landing.PublishRoster{}.WithRoster(r)}
}

// handleRosterWriteEnded adopts the roster that was written. After an unconfirmed write it reads the
// roster again, since the write may have taken effect.
func handleRosterWriteEnded(s landing.MembershipState, e landing.RosterWriteEnded) (landing.MembershipState, []landing.MembershipTask) {
	if !e.Confirmed() {
		return s, []landing.MembershipTask{landing.ReadRoster{}}
	}
	s = s.WithRosterCallPending(false).WithRosterVersion(e.RosterVersion()).WithFencingWritePending(false)
	if e.Roster().Serial() <= s.RegionState().Roster().Serial() {
		return s, nil
	}
	return adoptRoster(s, e.Roster(), e.EndedAt())
}

func handleTick(s landing.MembershipState, now time.Time) (landing.MembershipState, []landing.MembershipTask) {
	s = detectPause(s, now)
	s = dropExpiredHeartbeats(s, now)
	s = reportSilentTargets(s, now)
	s, leaseTasks := writeLeaseIfDue(s, now)
	s, rosterTasks := writeRosterIfHolder(s, now)
	return s, append(leaseTasks, rosterTasks...)
}

// detectPause records in HomesLastChanged that this balancer was paused, which shows as a long time
// between two ticks. Heartbeats and contacts that are missing after a pause do not mean that targets or
// balancers have stopped.
func detectPause(s landing.MembershipState, now time.Time) landing.MembershipState {
	if now.Sub(s.LastTick()) >= s.TargetExpiry()/2 {
		s = s.WithHomesLastChanged(now)
	}
	return s.WithLastTick(now)
}

// writeRosterIfHolder writes the next roster if this balancer holds the lease, no call is pending, and
// the roster changes. The fencing write after taking over the lease is made even without a change.
func writeRosterIfHolder(s landing.MembershipState, now time.Time) (landing.MembershipState, []landing.MembershipTask) {
	if s.RosterCallPending() || !lease.IsHeldBy(s.RegionState().Lease(), s.Self()) {
		return s, nil
	}
	next := nextRoster(s, now)
	if s.FencingWritePending() && next.Serial() == s.RegionState().Roster().Serial() {
		next = next.WithSerial(next.Serial() + 1).WithRegion(s.Region())
	}
	if next.Serial() == s.RegionState().Roster().Serial() {
		return s, nil
	}
	return s.WithRosterCallPending(true), []landing.MembershipTask{landing.WriteRoster{}.WithRoster(next).WithExpectedVersion(s.RosterVersion())}
}

func compareHeartbeats(a, b landing.TargetHeartbeat) int {
	return compareNames(a.Target().Instance(), b.Target().Instance())
}

func comparePeerContacts(a, b landing.PeerContact) int {
	return compareNames(a.Balancer().Instance(), b.Balancer().Instance())
}
