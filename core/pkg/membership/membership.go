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
func New(self landing.Member, region string, expiry time.Duration) landing.Watch {
	return landing.Watch{}.
		WithSelf(self).
		WithRegion(region).
		WithExpiry(expiry).
		WithRecord(landing.Record{}.WithRoster(landing.Roster{}.WithRegion(region)))
}

// Handle returns the state after the event, and the tasks that follow from it, in order.
func Handle(w landing.Watch, h landing.Happening) (landing.Watch, []landing.Task) {
	switch h := h.(type) {
	case landing.Heard:
		return handleHeard(w, h)
	case landing.Met:
		return handleMet(w, h)
	case landing.Read:
		return handleRead(w, h)
	case landing.Wrote:
		return handleWrote(w, h)
	case landing.Tick:
		return handleTick(w, h.Now())
	case landing.Leased:
		return handleLeased(w, h), nil
	case landing.Renewed:
		return handleRenewed(w, h)
	}
	return w, nil
}

// Deviations returns the targets known to this balancer that its roster lacks or has in an older form.
func Deviations(w landing.Watch) []landing.Target {
	known := w.Reports()
	for _, s := range w.Sightings() {
		known, _ = roster.MergeTargets(known, []landing.Target{s.Target()})
	}
	return newerThan(w.Record().Roster(), known)
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

func handleHeard(w landing.Watch, h landing.Heard) (landing.Watch, []landing.Task) {
	s := landing.Sighting{}.WithTarget(h.Target()).WithKeys(h.Keys()).WithAt(h.Now())
	sightings := w.Sightings()
	i, found := slices.BinarySearchFunc(sightings, s, compareSightings)
	switch {
	case !found:
		sightings = slices.Insert(sightings, i, s)
	case roster.IsNewer(sightings[i].Target(), h.Target()):
		return w, nil
	default:
		sightings[i] = s
	}
	return writeIfHolder(w.WithSightings(sightings...), h.Now())
}

func handleMet(w landing.Watch, m landing.Met) (landing.Watch, []landing.Task) {
	if m.Member().Instance() != "" {
		w = withEncounter(w, m)
	}
	reports, _ := roster.MergeTargets(w.Reports(), newerThan(w.Record().Roster(), m.Targets()))
	return writeIfHolder(w.WithReports(reports...), m.Now())
}

func withEncounter(w landing.Watch, m landing.Met) landing.Watch {
	e := landing.Encounter{}.WithMember(m.Member()).WithAt(m.Now())
	encounters := w.Encounters()
	i, found := slices.BinarySearchFunc(encounters, e, compareEncounters)
	if !found {
		return w.WithEncounters(slices.Insert(encounters, i, e)...)
	}
	if encounters[i].Member().Incarnation() > m.Member().Incarnation() {
		return w
	}
	encounters[i] = e
	return w.WithEncounters(encounters...)
}

func handleRead(w landing.Watch, r landing.Read) (landing.Watch, []landing.Task) {
	if !r.Peer() {
		w = w.WithBusy(false).WithVersion(max(w.Version(), r.Version()))
	}
	if r.Roster().Serial() <= w.Record().Roster().Serial() {
		return w, nil
	}
	return adopt(w, r.Roster(), r.Now())
}

func adopt(w landing.Watch, r landing.Roster, now time.Time) (landing.Watch, []landing.Task) {
	if !slices.Equal(w.Record().Roster().Members(), r.Members()) {
		w = w.WithSettled(now)
	}
	w = w.WithRecord(w.Record().WithRoster(r))
	w = w.WithHomed(homedHere(w)...)
	w = w.WithReports(newerThan(r, w.Reports())...)
	return w, []landing.Task{landing.Publish{}.WithRoster(r)}
}

func handleWrote(w landing.Watch, r landing.Wrote) (landing.Watch, []landing.Task) {
	if !r.Confirmed() {
		return w, []landing.Task{landing.Reread{}}
	}
	w = w.WithBusy(false).WithVersion(r.Version()).WithUnfenced(false)
	if r.Roster().Serial() <= w.Record().Roster().Serial() {
		return w, nil
	}
	return adopt(w, r.Roster(), r.Now())
}

func handleTick(w landing.Watch, now time.Time) (landing.Watch, []landing.Task) {
	w = noticePause(w, now)
	w = forgetSightings(w, now)
	w = reportSilent(w, now)
	w, tasks := renewIfDue(w, now)
	w, more := writeIfHolder(w, now)
	return w, append(tasks, more...)
}

// noticePause notes when this balancer itself was paused: that it heard nobody then says nothing.
func noticePause(w landing.Watch, now time.Time) landing.Watch {
	if now.Sub(w.Ticked()) >= w.Expiry()/2 {
		w = w.WithSettled(now)
	}
	return w.WithTicked(now)
}

func writeIfHolder(w landing.Watch, now time.Time) (landing.Watch, []landing.Task) {
	if w.Busy() || !lease.IsHeldBy(w.Record().Lease(), w.Self()) {
		return w, nil
	}
	next := nextRoster(w, now)
	if w.Unfenced() && next.Serial() == w.Record().Roster().Serial() {
		next = next.WithSerial(next.Serial() + 1).WithRegion(w.Region())
	}
	if next.Serial() == w.Record().Roster().Serial() {
		return w, nil
	}
	return w.WithBusy(true), []landing.Task{landing.Write{}.WithRoster(next).WithVersion(w.Version())}
}

func compareSightings(a, b landing.Sighting) int {
	return compareNames(a.Target().Instance(), b.Target().Instance())
}

func compareEncounters(a, b landing.Encounter) int {
	return compareNames(a.Member().Instance(), b.Member().Instance())
}
