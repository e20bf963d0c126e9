// Package membership decides what one balancer does about the roster of its region: which targets
// it reports, when it takes the lease, and what it writes. It knows nothing of sockets, clocks or
// encodings: an event and an immutable state go in, a new state and tasks come out.
package membership

import (
	"slices"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/lease"
	"github.com/crocuslanding/crocuslanding/core/pkg/roster"
)

const (
	// memberExpiries is the number of target expiries after which a silent balancer is gone.
	memberExpiries = 3
	// settleExpiries is the number of target expiries for which targets have time to turn to a new home.
	settleExpiries = 2
	// leaseExpiries is the duration of the lease in target expiries.
	leaseExpiries = 1
)

// New returns the state of the balancer self before it knows any roster.
func New(self landing.Balancer, region string, expiry time.Duration) landing.MembershipState {
	return landing.MembershipState{}.
		WithSelf(self).
		WithRegion(region).
		WithTargetExpiry(expiry).
		WithRegionState(landing.RegionState{}.WithRoster(landing.Roster{}.WithRegion(region)))
}

// Handle returns the state after the event, and the tasks that follow from it, in order.
func Handle(w landing.MembershipState, h landing.MembershipEvent) (landing.MembershipState, []landing.MembershipTask) {
	switch h := h.(type) {
	case landing.HeartbeatReceived:
		return handleHeard(w, h)
	case landing.PeerStateReceived:
		return handleMet(w, h)
	case landing.RosterRead:
		return handleRead(w, h)
	case landing.RosterWriteEnded:
		return handleWrote(w, h)
	case landing.Tick:
		return handleTick(w, h.Now())
	case landing.LeaseRead:
		return handleLeased(w, h), nil
	case landing.LeaseWriteEnded:
		return handleRenewed(w, h)
	}
	return w, nil
}

// TargetUpdates returns the targets known to this balancer that its roster lacks or has in an older form.
func TargetUpdates(w landing.MembershipState) []landing.Target {
	known := w.ReportedTargets()
	for _, s := range w.TargetHeartbeats() {
		known, _ = roster.MergeTargets(known, []landing.Target{s.Target()})
	}
	return newerThan(w.RegionState().Roster(), known)
}

// newerThan returns those of known that the roster lacks or has in an older form.
// A target that has left and that the roster lacks is no news.
func newerThan(r landing.Roster, known []landing.Target) []landing.Target {
	var news []landing.Target
	for _, t := range known {
		present, found := roster.Find(r, t.Instance())
		if found && !roster.IsNewer(t, present) {
			continue
		}
		if !found && t.Phase() == landing.PhaseLeft {
			continue
		}
		news = append(news, t)
	}
	return news
}

func handleHeard(w landing.MembershipState, h landing.HeartbeatReceived) (landing.MembershipState, []landing.MembershipTask) {
	s := landing.TargetHeartbeat{}.WithTarget(h.Target()).WithKeyringSerial(h.KeyringSerial()).WithReceivedAt(h.ReceivedAt())
	sightings := w.TargetHeartbeats()
	i, found := slices.BinarySearchFunc(sightings, s, compareSightings)
	switch {
	case !found:
		sightings = slices.Insert(sightings, i, s)
	case roster.IsNewer(sightings[i].Target(), h.Target()):
		return w, nil
	default:
		sightings[i] = s
	}
	return writeIfHolder(w.WithTargetHeartbeats(sightings...), h.ReceivedAt())
}

func handleMet(w landing.MembershipState, m landing.PeerStateReceived) (landing.MembershipState, []landing.MembershipTask) {
	if m.Sender().Instance() != "" {
		w = withEncounter(w, m)
	}
	reports, _ := roster.MergeTargets(w.ReportedTargets(), newerThan(w.RegionState().Roster(), m.TargetUpdates()))
	return writeIfHolder(w.WithReportedTargets(reports...), m.ReceivedAt())
}

func withEncounter(w landing.MembershipState, m landing.PeerStateReceived) landing.MembershipState {
	e := landing.PeerContact{}.WithBalancer(m.Sender()).WithLastContact(m.ReceivedAt())
	encounters := w.PeerContacts()
	i, found := slices.BinarySearchFunc(encounters, e, compareEncounters)
	if !found {
		return w.WithPeerContacts(slices.Insert(encounters, i, e)...)
	}
	if encounters[i].Balancer().Incarnation() > m.Sender().Incarnation() {
		return w
	}
	encounters[i] = e
	return w.WithPeerContacts(encounters...)
}

func handleRead(w landing.MembershipState, r landing.RosterRead) (landing.MembershipState, []landing.MembershipTask) {
	if !r.FromPeer() {
		w = w.WithRosterCallPending(false).WithRosterVersion(max(w.RosterVersion(), r.RosterVersion()))
	}
	if r.Roster().Serial() <= w.RegionState().Roster().Serial() {
		return w, nil
	}
	return adopt(w, r.Roster(), r.ReadAt())
}

func adopt(w landing.MembershipState, r landing.Roster, now time.Time) (landing.MembershipState, []landing.MembershipTask) {
	if !slices.Equal(w.RegionState().Roster().Members(), r.Members()) {
		w = w.WithHomesLastChanged(now)
	}
	w = w.WithRegionState(w.RegionState().WithRoster(r))
	w = w.WithHomeTargets(homedHere(w)...)
	w = w.WithReportedTargets(newerThan(r, w.ReportedTargets())...)
	return w, []landing.MembershipTask{landing.PublishRoster{}.WithRoster(r)}
}

func handleWrote(w landing.MembershipState, r landing.RosterWriteEnded) (landing.MembershipState, []landing.MembershipTask) {
	if !r.Confirmed() {
		return w, []landing.MembershipTask{landing.ReadRoster{}}
	}
	w = w.WithRosterCallPending(false).WithRosterVersion(r.RosterVersion()).WithFencingWritePending(false)
	if r.Roster().Serial() <= w.RegionState().Roster().Serial() {
		return w, nil
	}
	return adopt(w, r.Roster(), r.EndedAt())
}

func handleTick(w landing.MembershipState, now time.Time) (landing.MembershipState, []landing.MembershipTask) {
	w = noticePause(w, now)
	w = forgetSightings(w, now)
	w = reportSilent(w, now)
	w, tasks := renewIfDue(w, now)
	w, more := writeIfHolder(w, now)
	return w, append(tasks, more...)
}

// noticePause notes when this balancer itself was paused: that it heard nobody then says nothing.
func noticePause(w landing.MembershipState, now time.Time) landing.MembershipState {
	if now.Sub(w.LastTick()) >= w.TargetExpiry()/2 {
		w = w.WithHomesLastChanged(now)
	}
	return w.WithLastTick(now)
}

func writeIfHolder(w landing.MembershipState, now time.Time) (landing.MembershipState, []landing.MembershipTask) {
	if w.RosterCallPending() || !lease.IsHeldBy(w.RegionState().Lease(), w.Self()) {
		return w, nil
	}
	next := nextRoster(w, now)
	if w.FencingWritePending() && next.Serial() == w.RegionState().Roster().Serial() {
		next = next.WithSerial(next.Serial() + 1).WithRegion(w.Region())
	}
	if next.Serial() == w.RegionState().Roster().Serial() {
		return w, nil
	}
	return w.WithRosterCallPending(true), []landing.MembershipTask{landing.WriteRoster{}.WithRoster(next).WithExpectedVersion(w.RosterVersion())}
}

func compareSightings(a, b landing.TargetHeartbeat) int {
	return compareNames(a.Target().Instance(), b.Target().Instance())
}

func compareEncounters(a, b landing.PeerContact) int {
	return compareNames(a.Balancer().Instance(), b.Balancer().Instance())
}
