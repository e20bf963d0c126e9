package presence

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// received returns the event of a heartbeat that arrives this long after the start of the test at a sidecar that has
// observed the packets of its upstream since this long after it.
func received(heartbeat landing.UpstreamHeartbeat, receivedAfter, observingAfter time.Duration) landing.UpstreamEvent {
	return landing.UpstreamHeartbeatReceived{}.
		WithHeartbeat(heartbeat).
		WithReceivedAt(start.Add(receivedAfter)).
		WithObservingSince(start.Add(observingAfter))
}

// Guards against resets of all open flows after a planned restart of a sidecar, when a late heartbeat of a crashed upstream
// process reaches the new sidecar process before the next one of the running upstream process (review/4).
func TestEndedUntil_LateHeartbeatAtRestartedSidecarResetsNothing(t *testing.T) {
	for _, number := range []uint64{1, 5} {
		t.Run(fmt.Sprintf("late heartbeat %d", number), func(t *testing.T) {
			is := is.New(t)
			const restart = 20 * time.Second
			late := received(heartbeat("old", 0, number), restart+time.Millisecond, restart)
			before := Handle(landing.UpstreamState{}, late)
			is.True(!before.AllFlowsSeen()) // packets of unknown flows must be offered to the upstream
			next := received(heartbeat("new", 10*time.Second, 14), restart+700*time.Millisecond, restart)
			after := Handle(before, next)
			is.Equal(after.Incarnation(), "new")
			is.True(!after.AllFlowsSeen())
			until, hasEnded := EndedUntil(before, after, next)
			is.True(hasEnded)
			is.True(until.Before(start)) // before all flows, so that none is reset
		})
	}
}

// Guards against resets of flows of the running upstream process that were opened before its first heartbeat, when a late
// heartbeat of the crashed process arrives after they were opened.
func TestEndedUntil_LateHeartbeatBeforeFirstOfNewIncarnation(t *testing.T) {
	is := is.New(t)
	state := handleHeartbeat(landing.UpstreamState{}, heartbeat("old", 0, 1), 0)
	state = handleHeartbeat(state, heartbeat("old", 0, 2), heartbeatInterval)
	// The new process starts after 2 s. Flows are opened from then on; the late heartbeat arrives after 2.5 s.
	before := handleHeartbeat(state, heartbeat("old", 0, 3), 2500*time.Millisecond)
	event := received(heartbeat("new", 2*time.Second, 1), 2770*time.Millisecond, -time.Second)
	after := Handle(before, event)
	is.True(after.AllFlowsSeen())
	until, hasEnded := EndedUntil(before, after, event)
	is.True(hasEnded)
	is.Equal(until, start.Add(2*time.Second))
}

// The last heartbeat of the ended process is the limit when it came before the start of the next one: a process that has
// not stated its start yet may have opened flows after it.
func TestEndedUntil_LastHeartbeatBeforeStart(t *testing.T) {
	is := is.New(t)
	before := handleHeartbeat(landing.UpstreamState{}, heartbeat("old", 0, 1), time.Second)
	event := received(heartbeat("new", 2*time.Second, 0), 2*time.Second, -time.Second)
	until, hasEnded := EndedUntil(before, Handle(before, event), event)
	is.True(hasEnded)
	is.Equal(until, start.Add(time.Second))
}

// Guards against a first heartbeat with a higher number that counts as the start of a process only because an earlier
// process was known: the sidecar did not receive the heartbeats before it, and resets nothing.
func TestEndedUntil_HigherFirstNumberResetsNothing(t *testing.T) {
	for number, isObserved := range map[uint64]bool{0: true, 1: true, 2: false, 900: false} {
		t.Run(fmt.Sprintf("first number %d", number), func(t *testing.T) {
			is := is.New(t)
			before := handleHeartbeat(landing.UpstreamState{}, heartbeat("old", 0, 1), 0)
			event := received(heartbeat("new", time.Second, number), 2*time.Second, -time.Second)
			after := Handle(before, event)
			is.Equal(after.AllFlowsSeen(), isObserved)
			until, hasEnded := EndedUntil(before, after, event)
			is.True(hasEnded)
			is.Equal(until.IsZero(), !isObserved)
		})
	}
}

func TestEndedUntil_SocketClosedOnce(t *testing.T) {
	is := is.New(t)
	before := handleHeartbeat(landing.UpstreamState{}, heartbeat("a", 0, 1), 0)
	event := landing.UpstreamSocketClosed{}.WithDetectedAt(start.Add(time.Second))
	after := Handle(before, event)
	until, hasEnded := EndedUntil(before, after, event)
	is.True(hasEnded)
	is.Equal(until, start.Add(time.Second))
	_, hasEnded = EndedUntil(after, Handle(after, event), event)
	is.True(!hasEnded)
}

// Guards against resets after a clock was set back: a rival is accepted late, so the sidecar cannot tell which flows were
// opened at it.
func TestEndedUntil_AcceptedRivalResetsNothing(t *testing.T) {
	is := is.New(t)
	before := handleHeartbeat(landing.UpstreamState{}, heartbeat("a", time.Hour, 1), 0)
	before = handleHeartbeat(before, heartbeat("b", time.Minute, 1), heartbeatInterval)
	event := received(heartbeat("b", time.Minute, 5), 5*heartbeatInterval, -time.Second)
	after := Handle(before, event)
	is.Equal(after.Incarnation(), "b")
	is.True(!after.AllFlowsSeen())
	until, hasEnded := EndedUntil(before, after, event)
	is.True(hasEnded)
	is.True(until.Before(start))
}

// process is one run of an upstream in the model.
type process struct {
	id               string
	startedAt, endAt time.Duration
}

// arrival is the arrival of a heartbeat of process at the sidecar.
type arrival struct {
	at     time.Duration
	from   process
	number uint64
}

// orderModel is what really happens: two processes of an upstream run one after the other, and a sidecar process observes
// them from observingAfter on.
type orderModel struct {
	first, second  process
	observingAfter time.Duration
	arrivals       []arrival
}

// drawDuration draws a whole number of milliseconds. The ranges of package rapid prefer small values, so the position within
// the range is drawn as a share in steps of 1/16, to which up to 60 ms are added.
func drawDuration(t *rapid.T, label string, low, high time.Duration) time.Duration {
	steps := []int64{8, 12, 4, 2, 6, 10, 14, 1, 3, 5, 7, 9, 11, 13, 15, 0, 16}
	share := rapid.SampledFrom(steps).Draw(t, label)
	extra := rapid.Int64Range(0, 60).Draw(t, label+", further ms")
	return min(low+time.Duration((high-low).Milliseconds()*share/16+extra)*time.Millisecond, high)
}

// drawOrderModel draws start times, a crash, and for each heartbeat up to two arrivals after random delays.
func drawOrderModel(t *rapid.T) orderModel {
	m := orderModel{}
	crash := drawDuration(t, "crash", 100*time.Millisecond, 6*time.Second)
	restart := crash + drawDuration(t, "time until the next start", time.Millisecond, 4*time.Second)
	m.first = process{id: "first", startedAt: 0, endAt: crash}
	m.second = process{id: "second", startedAt: restart, endAt: restart + 10*time.Second}
	if rapid.Bool().Draw(t, "same identifier") {
		m.second.id = m.first.id
	}
	m.observingAfter = -time.Second
	if rapid.Bool().Draw(t, "the sidecar starts later") {
		m.observingAfter = drawDuration(t, "start of the sidecar", -time.Second, restart+5*time.Second)
	}
	firstNumber := uint64(rapid.IntRange(0, 1).Draw(t, "first number"))
	firstDelay := drawDuration(t, "delay of the first heartbeat", 0, heartbeatInterval)
	for _, p := range []process{m.first, m.second} {
		number := firstNumber
		for sentAt := p.startedAt + firstDelay; sentAt < p.endAt; sentAt += heartbeatInterval {
			for range rapid.SampledFrom([]int{1, 2, 1, 0}).Draw(t, "arrivals") {
				at := sentAt + drawDuration(t, "delay", 0, rapid.SampledFrom([]time.Duration{2 * time.Second, 0, 9 * time.Second}).Draw(t, "longest delay"))
				if at >= m.observingAfter {
					m.arrivals = append(m.arrivals, arrival{at: at, from: p, number: number})
				}
			}
			number++
		}
	}
	slices.SortStableFunc(m.arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	return m
}

// hasLaterStart reports whether the state is of a process that started later than this one.
func hasLaterStart(state landing.UpstreamState, p process) bool {
	return state.StartedAt().After(start.Add(p.startedAt))
}

// withoutRival returns the state without the rival, the only part that a heartbeat out of order may change.
func withoutRival(state landing.UpstreamState) landing.UpstreamState {
	return state.WithRivalIncarnation("").WithRivalHeartbeatNumber(0)
}

// Guards against resets of flows of the running process and against lost packets of flows that the sidecar has not seen,
// for all orders, delays and repetitions of the heartbeats of two processes. The model knows when each process started.
func TestHandle_HeartbeatsOutOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawOrderModel(t)
		state := landing.UpstreamState{}
		for _, a := range m.arrivals {
			before := state
			event := received(heartbeat(a.from.id, a.from.startedAt, a.number), a.at, m.observingAfter)
			state = Handle(before, event)
			// A flow that was opened at the second process until this arrival must not be reset. Nor may one of the first
			// process be reset while that process runs.
			if until, hasEnded := EndedUntil(before, state, event); hasEnded {
				if until.After(start.Add(m.second.startedAt)) {
					t.Fatalf("heartbeat %d of the process of %s at %s: flows until %s are reset, the second process started at %s", a.number, a.from.startedAt, a.at, until.Sub(start), m.second.startedAt)
				}
				if a.at < m.first.endAt {
					t.Fatalf("the end of a process is reported while the first one runs")
				}
			}
			if state.AllFlowsSeen() && state.StartedAt().Before(start.Add(m.observingAfter)) {
				t.Fatalf("heartbeat %d of the process of %s at %s: the sidecar started at %s and claims to have seen all flows", a.number, a.from.startedAt, a.at, m.observingAfter)
			}
			isSilent := start.Add(a.at).Sub(before.LastHeartbeat()) > rivalAcceptedAfterSilence
			isRepeated := isSameIncarnation(before, a.from.id, start.Add(a.from.startedAt)) && a.number <= before.LastHeartbeatNumber()
			if (hasLaterStart(before, a.from) && !isSilent || isRepeated) && withoutRival(state) != withoutRival(before) {
				t.Fatalf("heartbeat %d of the process of %s at %s is out of order and changed the state", a.number, a.from.startedAt, a.at)
			}
		}
	})
}
