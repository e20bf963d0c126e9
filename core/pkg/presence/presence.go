// Package presence derives the state of a sidecar's upstream from its heartbeats and other events:
// which incarnation (process) of the upstream is running, whether it accepts new flows and whether
// it is in cold start, the time after its start in which it can process little. The package is
// independent of sockets, clocks and encodings.
//
// Heartbeats can be late, and those of an incarnation that has ended can arrive after the first
// heartbeats of the next incarnation. A heartbeat of another incarnation with an earlier start time
// therefore does not replace the current incarnation at once; that other incarnation is a rival,
// which is accepted only after the current one has been silent for some time.
package presence

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

const (
	// maxMissedHeartbeats is the number of heartbeat intervals without a heartbeat after which
	// PhaseAt no longer reports the upstream as serving. One heartbeat can be lost and another one
	// delayed.
	maxMissedHeartbeats = 3
	// minRivalHeartbeats is the number of further heartbeats after which a rival is accepted as the
	// current incarnation, if the current one has been silent for rivalAcceptedAfterSilence. The
	// clock of the instance may have been set back before the upstream restarted.
	minRivalHeartbeats = 2
	// rivalAcceptedAfterSilence is the time without a heartbeat of the current incarnation after
	// which a rival can be accepted. It covers several heartbeats, since late heartbeats of an
	// ended incarnation arrive between those of the current one.
	rivalAcceptedAfterSilence = 3 * time.Second
	// minHeartbeatSpacing is the least time between the arrivals of two heartbeats that were not held
	// up. Those that were held up, such as by a sidecar that got no processor time, arrive together.
	minHeartbeatSpacing = 100 * time.Millisecond
	// maxFirstSequenceNumber is the largest sequence number that the first heartbeat of an
	// incarnation can have.
	maxFirstSequenceNumber = 1
)

// Handle returns the state of the upstream after the event.
func Handle(state landing.UpstreamState, event landing.UpstreamEvent) landing.UpstreamState {
	switch event := event.(type) {
	case landing.UpstreamHeartbeatReceived:
		return afterHeartbeat(state, event)
	case landing.UpstreamStopAnnounced:
		return afterStopAnnounced(state, event.Incarnation())
	case landing.UpstreamSocketClosed:
		return state.WithPhase(landing.PhaseLeft)
	case landing.ZoneRestored:
		return state.WithColdStartEnd(laterOf(state.ColdStartEnd(), event.RestoredAt().Add(event.AssumedColdStart())))
	}
	return state
}

// PhaseAt returns the phase at this time. It is PhaseUnspecified when the upstream was serving but
// no heartbeat has arrived for more than maxMissedHeartbeats intervals.
func PhaseAt(state landing.UpstreamState, now time.Time, heartbeatInterval time.Duration) landing.Phase {
	if state.Phase() == landing.PhaseServing && now.Sub(state.LastHeartbeat()) > maxMissedHeartbeats*heartbeatInterval {
		return landing.PhaseUnspecified
	}
	return state.Phase()
}

// IsInColdStart reports whether the upstream is in cold start.
func IsInColdStart(state landing.UpstreamState, now time.Time) bool {
	return now.Before(state.ColdStartEnd())
}

// IsNewIncarnation reports whether the current incarnation of state after is another than that of
// state before. It is false when state before has none.
func IsNewIncarnation(before, after landing.UpstreamState) bool {
	return before.Incarnation() != "" && !isSameIncarnation(before, after.Incarnation(), after.StartedAt())
}

// EndedUntil reports whether the event, which changed the state from before to after, shows that an
// incarnation has ended. It then returns the time up to which opened flows belonged to that
// incarnation. When the start of the next incarnation was not observed, the heartbeats do not show
// which flows belonged to which one: the heartbeat of the ended incarnation may have arrived long
// after its end. The time is then the zero time, which is before all flows.
func EndedUntil(before, after landing.UpstreamState, event landing.UpstreamEvent) (time.Time, bool) {
	if closed, isClosed := event.(landing.UpstreamSocketClosed); isClosed && before.Phase() != landing.PhaseLeft {
		return closed.DetectedAt(), true
	}
	if !IsNewIncarnation(before, after) {
		return time.Time{}, false
	}
	if !after.AllFlowsSeen() {
		return time.Time{}, true
	}
	return earlierOf(before.LastHeartbeat(), after.StartedAt()), true
}

// OwnsFlow reports whether a flow that was opened at this time certainly belongs to the current
// incarnation, because the incarnation was running before and after. False means that it is not
// certain: a flow that was opened later may belong to a new incarnation whose first heartbeat has not
// arrived yet.
func OwnsFlow(state landing.UpstreamState, openedAt time.Time) bool {
	return !state.FirstHeartbeat().IsZero() && !openedAt.Before(state.FirstHeartbeat()) && !openedAt.After(state.RunningUntil())
}

// HasIncarnationEnded reports whether the incarnation with this start time has ended, because the
// current one started later. Both times are Unix times in milliseconds by the upstream's clock; 0
// means that the time is unknown. When the current start time is the earlier one, it may come from
// a late heartbeat, so the result is false.
func HasIncarnationEnded(startMillis, currentStartMillis uint64) bool {
	return startMillis > 0 && currentStartMillis > startMillis
}

// isSameIncarnation reports whether the current incarnation of the state has this identifier and
// start time.
func isSameIncarnation(state landing.UpstreamState, incarnation string, startedAt time.Time) bool {
	return state.Incarnation() == incarnation && state.StartedAt().Equal(startedAt)
}

// afterHeartbeat returns the state after a heartbeat of the current incarnation, of a rival or of a
// new incarnation. Heartbeats that arrive out of order are ignored.
func afterHeartbeat(state landing.UpstreamState, event landing.UpstreamHeartbeatReceived) landing.UpstreamState {
	heartbeat, receivedAt := event.Heartbeat(), event.ReceivedAt()
	if isSameIncarnation(state, heartbeat.Incarnation(), heartbeat.StartedAt()) {
		if heartbeat.SequenceNumber() <= state.LastHeartbeatNumber() {
			return state
		}
		return withHeartbeat(state, heartbeat, receivedAt)
	}
	// An earlier start time: a late heartbeat of an ended incarnation, or a rival.
	if state.Incarnation() != "" && heartbeat.StartedAt().Before(state.StartedAt()) && !isRivalAccepted(state, heartbeat, receivedAt) {
		return withRival(state, heartbeat)
	}
	next := landing.UpstreamState{}.
		WithIncarnation(heartbeat.Incarnation()).
		WithStartedAt(heartbeat.StartedAt()).
		WithFirstHeartbeat(receivedAt).
		WithAllFlowsSeen(isStartObserved(heartbeat, event.ObservingSince()))
	return withHeartbeat(next, heartbeat, receivedAt)
}

// isStartObserved reports whether the sidecar was running when the incarnation started, if this is
// the first heartbeat of the incarnation that arrives. The first heartbeat that the incarnation sent
// may itself be late and arrive at a sidecar that started after the incarnation. The time
// observingSince is the zero time when it is not stated.
func isStartObserved(heartbeat landing.UpstreamHeartbeat, observingSince time.Time) bool {
	return heartbeat.SequenceNumber() <= maxFirstSequenceNumber && !heartbeat.StartedAt().Before(observingSince)
}

// withRival returns the state with a rival. It keeps the sequence number of the first heartbeat
// that arrived from the rival; later heartbeats of the same rival change nothing.
func withRival(state landing.UpstreamState, heartbeat landing.UpstreamHeartbeat) landing.UpstreamState {
	if state.RivalIncarnation() == heartbeat.Incarnation() {
		return state
	}
	return state.WithRivalIncarnation(heartbeat.Incarnation()).WithRivalHeartbeatNumber(heartbeat.SequenceNumber())
}

// isRivalAccepted reports whether the heartbeat shows that a rival incarnation is the current one:
// the sequence number is high enough above that of the rival's first heartbeat, and the current
// incarnation has been silent for long enough. Late heartbeats of an ended incarnation arrive
// between those of the current one and do not meet this condition.
func isRivalAccepted(state landing.UpstreamState, heartbeat landing.UpstreamHeartbeat, receivedAt time.Time) bool {
	return state.RivalIncarnation() == heartbeat.Incarnation() && heartbeat.SequenceNumber() >= state.RivalHeartbeatNumber()+minRivalHeartbeats && receivedAt.Sub(state.LastHeartbeat()) > rivalAcceptedAfterSilence
}

// withHeartbeat returns the state with the contents of a heartbeat of the current incarnation.
func withHeartbeat(state landing.UpstreamState, heartbeat landing.UpstreamHeartbeat, receivedAt time.Time) landing.UpstreamState {
	phase := landing.PhaseServing
	if heartbeat.Leaving() {
		phase = landing.PhaseDraining
	}
	return state.
		WithRunningUntil(runningUntil(state, receivedAt)).
		WithLastHeartbeatNumber(heartbeat.SequenceNumber()).
		WithPhase(phase).
		WithSlots(heartbeat.Slots()).
		WithLastHeartbeat(receivedAt).
		WithColdStartEnd(receivedAt.Add(heartbeat.ColdStartRemaining()))
}

// runningUntil returns the time up to which the current incarnation was certainly running, when a
// heartbeat of it arrives. The heartbeat shows nothing about the time of its own arrival, since it may
// have been delayed until after the end of the incarnation. But it was sent after the one before had
// been answered.
func runningUntil(state landing.UpstreamState, receivedAt time.Time) time.Time {
	if state.LastHeartbeat().IsZero() || receivedAt.Sub(state.LastHeartbeat()) < minHeartbeatSpacing {
		return state.RunningUntil()
	}
	return state.LastHeartbeat()
}

// afterStopAnnounced returns the state after the upstream has announced that it shuts down. The
// upstream may still serve the flows that it holds until its socket is closed.
func afterStopAnnounced(state landing.UpstreamState, incarnation string) landing.UpstreamState {
	if state.Incarnation() != incarnation || state.Phase() == landing.PhaseLeft {
		return state
	}
	return state.WithPhase(landing.PhaseDraining)
}

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
