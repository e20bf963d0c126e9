// Package presence decides what a sidecar believes of its upstream: which incarnation it is, whether it takes
// new flows and whether it is cold. It knows nothing of sockets, clocks or encodings.
//
// Heartbeats can be late, and those of an incarnation that has ended can arrive after the first ones of the next.
package presence

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

const (
	// missedBeats is the number of heartbeats that may be missing before the upstream counts as silent.
	// One can be lost, and one be under way.
	missedBeats = 3
	// contenderBeats is the number of later heartbeats after which an incarnation that seems older is believed, once
	// the present one is silent: its clock may have been set back.
	contenderBeats = 2
	// contenderSilence is the time without a heartbeat of the present incarnation for that: several heartbeats.
	contenderSilence = 3 * time.Second
	// firstSequence is the number of an incarnation's first heartbeat, at most.
	firstSequence = 1
)

// Handle returns the presence after the sight.
func Handle(p landing.Presence, s landing.Sight) landing.Presence {
	switch s := s.(type) {
	case landing.Beaten:
		return beaten(p, s.Beat(), s.Now())
	case landing.Departed:
		return departed(p, s.Incarnation())
	case landing.Vanished:
		return p.WithPhase(landing.PhaseLeft)
	case landing.Restored:
		return p.WithWarm(latest(p.Warm(), s.Now().Add(s.Cold())))
	}
	return p
}

// PhaseAt returns the phase at this time; unspecified when heartbeats of this interval are missing.
func PhaseAt(p landing.Presence, now time.Time, interval time.Duration) landing.Phase {
	if p.Phase() == landing.PhaseServing && now.Sub(p.Heard()) > missedBeats*interval {
		return landing.PhaseUnspecified
	}
	return p.Phase()
}

// IsCold says whether the upstream is in cold start.
func IsCold(p landing.Presence, now time.Time) bool {
	return now.Before(p.Warm())
}

// IsSuccessor says whether the upstream of after is another incarnation than that of before.
func IsSuccessor(before, after landing.Presence) bool {
	return before.Incarnation() != "" && !isSame(before, after.Incarnation(), after.Born())
}

// HasHeld says whether a flow that was opened at this time is the incarnation's: its heartbeats came before and after. A
// flow may be opened by a new incarnation before its first heartbeat arrives.
func HasHeld(p landing.Presence, opened time.Time) bool {
	return !p.First().IsZero() && !opened.Before(p.First()) && !opened.After(p.Heard())
}

// IsEnded says whether the incarnation that was born at this time has ended, since one that was born later is at its
// place. Both are in milliseconds since 1970 by the upstream's clock, and 0 while not known. An incarnation that seems
// to be older proves nothing: its heartbeat may be late.
func IsEnded(born, present uint64) bool {
	return born > 0 && present > born
}

func isSame(p landing.Presence, incarnation string, born time.Time) bool {
	return p.Incarnation() == incarnation && p.Born().Equal(born)
}

func beaten(p landing.Presence, b landing.Beat, now time.Time) landing.Presence {
	if isSame(p, b.Incarnation(), b.Born()) {
		if b.Sequence() <= p.Sequence() {
			return p
		}
		return update(p, b, now)
	}
	if p.Incarnation() != "" && b.Born().Before(p.Born()) && !isBelieved(p, b, now) {
		return contend(p, b)
	}
	next := landing.Presence{}.
		WithIncarnation(b.Incarnation()).
		WithBorn(b.Born()).
		WithFirst(now).
		WithWitnessed(p.Incarnation() != "" || b.Sequence() <= firstSequence)
	return update(next, b, now)
}

// contend notes a heartbeat of an incarnation that seems older.
func contend(p landing.Presence, b landing.Beat) landing.Presence {
	if p.Contender() == b.Incarnation() {
		return p
	}
	return p.WithContender(b.Incarnation()).WithContending(b.Sequence())
}

// isBelieved says whether b is one of several heartbeats of an incarnation that seems older, while the present one is
// silent. Late heartbeats of an incarnation that has ended arrive between those of the present one.
func isBelieved(p landing.Presence, b landing.Beat, now time.Time) bool {
	return p.Contender() == b.Incarnation() && b.Sequence() >= p.Contending()+contenderBeats && now.Sub(p.Heard()) > contenderSilence
}

func update(p landing.Presence, b landing.Beat, now time.Time) landing.Presence {
	phase := landing.PhaseServing
	if b.Leaving() {
		phase = landing.PhaseDraining
	}
	return p.
		WithSequence(b.Sequence()).
		WithPhase(phase).
		WithSlots(b.Slots()).
		WithHeard(now).
		WithWarm(now.Add(b.Cold()))
}

// departed takes the upstream's word that it ends. Until its socket is closed it may still serve what it holds.
func departed(p landing.Presence, incarnation string) landing.Presence {
	if p.Incarnation() != incarnation || p.Phase() == landing.PhaseLeft {
		return p
	}
	return p.WithPhase(landing.PhaseDraining)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
