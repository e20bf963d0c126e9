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
func Handle(p landing.UpstreamState, s landing.UpstreamEvent) landing.UpstreamState {
	switch s := s.(type) {
	case landing.UpstreamHeartbeatReceived:
		return beaten(p, s.Heartbeat(), s.ReceivedAt())
	case landing.UpstreamStopAnnounced:
		return departed(p, s.Incarnation())
	case landing.UpstreamSocketClosed:
		return p.WithPhase(landing.PhaseLeft)
	case landing.ZoneRestored:
		return p.WithColdStartEnd(latest(p.ColdStartEnd(), s.RestoredAt().Add(s.AssumedColdStart())))
	}
	return p
}

// PhaseAt returns the phase at this time; unspecified when heartbeats of this interval are missing.
func PhaseAt(p landing.UpstreamState, now time.Time, interval time.Duration) landing.Phase {
	if p.Phase() == landing.PhaseServing && now.Sub(p.LastHeartbeat()) > missedBeats*interval {
		return landing.PhaseUnspecified
	}
	return p.Phase()
}

// IsInColdStart says whether the upstream is in cold start.
func IsInColdStart(p landing.UpstreamState, now time.Time) bool {
	return now.Before(p.ColdStartEnd())
}

// IsNewIncarnation says whether the upstream of after is another incarnation than that of before.
func IsNewIncarnation(before, after landing.UpstreamState) bool {
	return before.Incarnation() != "" && !isSame(before, after.Incarnation(), after.StartedAt())
}

// OwnsFlow says whether a flow that was opened at this time is the incarnation's: its heartbeats came before and after. A
// flow may be opened by a new incarnation before its first heartbeat arrives.
func OwnsFlow(p landing.UpstreamState, opened time.Time) bool {
	return !p.FirstHeartbeat().IsZero() && !opened.Before(p.FirstHeartbeat()) && !opened.After(p.LastHeartbeat())
}

// HasIncarnationEnded says whether the incarnation that was born at this time has ended, since one that was born later is at its
// place. Both are in milliseconds since 1970 by the upstream's clock, and 0 while not known. An incarnation that seems
// to be older proves nothing: its heartbeat may be late.
func HasIncarnationEnded(born, present uint64) bool {
	return born > 0 && present > born
}

func isSame(p landing.UpstreamState, incarnation string, born time.Time) bool {
	return p.Incarnation() == incarnation && p.StartedAt().Equal(born)
}

func beaten(p landing.UpstreamState, b landing.UpstreamHeartbeat, now time.Time) landing.UpstreamState {
	if isSame(p, b.Incarnation(), b.StartedAt()) {
		if b.SequenceNumber() <= p.LastHeartbeatNumber() {
			return p
		}
		return update(p, b, now)
	}
	if p.Incarnation() != "" && b.StartedAt().Before(p.StartedAt()) && !isBelieved(p, b, now) {
		return contend(p, b)
	}
	next := landing.UpstreamState{}.
		WithIncarnation(b.Incarnation()).
		WithStartedAt(b.StartedAt()).
		WithFirstHeartbeat(now).
		WithAllFlowsSeen(p.Incarnation() != "" || b.SequenceNumber() <= firstSequence)
	return update(next, b, now)
}

// contend notes a heartbeat of an incarnation that seems older.
func contend(p landing.UpstreamState, b landing.UpstreamHeartbeat) landing.UpstreamState {
	if p.RivalIncarnation() == b.Incarnation() {
		return p
	}
	return p.WithRivalIncarnation(b.Incarnation()).WithRivalHeartbeatNumber(b.SequenceNumber())
}

// isBelieved says whether b is one of several heartbeats of an incarnation that seems older, while the present one is
// silent. Late heartbeats of an incarnation that has ended arrive between those of the present one.
func isBelieved(p landing.UpstreamState, b landing.UpstreamHeartbeat, now time.Time) bool {
	return p.RivalIncarnation() == b.Incarnation() && b.SequenceNumber() >= p.RivalHeartbeatNumber()+contenderBeats && now.Sub(p.LastHeartbeat()) > contenderSilence
}

func update(p landing.UpstreamState, b landing.UpstreamHeartbeat, now time.Time) landing.UpstreamState {
	phase := landing.PhaseServing
	if b.Leaving() {
		phase = landing.PhaseDraining
	}
	return p.
		WithLastHeartbeatNumber(b.SequenceNumber()).
		WithPhase(phase).
		WithSlots(b.Slots()).
		WithLastHeartbeat(now).
		WithColdStartEnd(now.Add(b.ColdStartRemaining()))
}

// departed takes the upstream's word that it ends. Until its socket is closed it may still serve what it holds.
func departed(p landing.UpstreamState, incarnation string) landing.UpstreamState {
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
