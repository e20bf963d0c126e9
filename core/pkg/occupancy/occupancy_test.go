package occupancy

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

var start = time.Unix(1000, 0)

const (
	latency = 25 * time.Millisecond
	timeout = 800 * time.Millisecond
)

func flow(port int) landing.FlowKey {
	return landing.FlowKey{}.WithSourcePort(uint32(port))
}

// measured returns a ledger after 32 requests with this latency, and the time of the last response.
func measured(latency time.Duration) (Ledger, time.Time) {
	l, now := Ledger{}, start
	for range averageDivisor {
		l = l.WithRequest(flow(0), timeout, now)
		now = now.Add(latency)
		l = l.WithResponse(flow(0), false, now)
	}
	return l, now
}

func ExampleLedger() {
	l := Ledger{}.WithAdmission(flow(1), start)
	fmt.Println(l.BusySlots(start))
	l = l.WithRequest(flow(1), timeout, start.Add(8*time.Millisecond))
	now := start.Add(33 * time.Millisecond)
	fmt.Println(l.BusySlots(now), l.WithResponse(flow(1), false, now).BusySlots(now))
	// Output:
	// 1
	// 1 0
}

// The response to a request was lost, and its caller is gone. The upstream has responded to a later
// request, so it is not processing the first one any more.
func TestRunningRequests_OvertakenRequestLapses(t *testing.T) {
	is := is.New(t)
	l, now := measured(latency)
	l = l.WithRequest(flow(1), timeout, now).WithRequest(flow(2), timeout, now.Add(time.Millisecond))
	l = l.WithResponse(flow(2), false, now.Add(latency))
	is.Equal(l.RunningRequests(now.Add(latency)), 1)
	is.Equal(l.RunningRequests(now.Add(overtakenFactor*l.AverageLatency())), 0)
}

// An upstream that hangs has responded to nothing since. Its requests hold their slots until they
// are overdue, so that it gets few further flows before it is ejected.
func TestRunningRequests_HangingUpstreamStaysBusy(t *testing.T) {
	is := is.New(t)
	l, now := measured(latency)
	l = l.WithRequest(flow(1), timeout, now).WithRequest(flow(2), timeout, now)
	is.Equal(l.RunningRequests(now.Add(overtakenFactor*latency*2)), 2)
	later := now.Add(timeout/overdueShareOfTimeout + time.Millisecond)
	is.Equal(l.RunningRequests(later), 0)
	l, count := l.WithOverdue(later)
	is.Equal(count, 2)
	_, count = l.WithOverdue(later)
	is.Equal(count, 0)
}

// Callers of one deployment give up after 800 ms. A request of theirs must count as failed before
// that, or an upstream that hangs is never ejected.
func TestWithOverdue_BeforeCallerGivesUp(t *testing.T) {
	is := is.New(t)
	for _, callerTimeout := range []time.Duration{100 * time.Millisecond, timeout, 3 * time.Second, 0} {
		l, now := measured(latency)
		l = l.WithRequest(flow(1), callerTimeout, now)
		_, count := l.WithOverdue(now.Add(max(callerTimeout, overdueAfter) + time.Millisecond))
		is.Equal(count, 1)
		if callerTimeout > 2*overdueFactor*latency {
			_, count = l.WithOverdue(now.Add(callerTimeout - time.Millisecond))
			is.Equal(count, 1)
		}
	}
}

// An upstream has become five times slower. Its requests are not written off while it works on them.
func TestRunningRequests_SlowUpstreamStaysBusy(t *testing.T) {
	is := is.New(t)
	l, now := measured(latency)
	for i := range 200 {
		l = l.WithRequest(flow(1), timeout, now).WithRequest(flow(2), timeout, now)
		is.Equal(l.RunningRequests(now.Add(overtakenFactor*latency-time.Millisecond)), 2)
		if i > 2*averageDivisor {
			is.Equal(l.RunningRequests(now.Add(5*latency-time.Millisecond)), 2)
		}
		now = now.Add(5 * latency)
		l = l.WithResponse(flow(1), false, now).WithResponse(flow(2), false, now)
	}
}

// The time to the first request differs between deployments: 2 ms to the callers of one, 12 ms to
// those of another region.
func TestBusySlots_ReservationFollowsFirstRequests(t *testing.T) {
	is := is.New(t)
	for _, delay := range []time.Duration{2 * time.Millisecond, 8 * time.Millisecond, 24 * time.Millisecond} {
		l, now := Ledger{}, start
		for i := range 10 {
			l = l.WithAdmission(flow(i), now)
			now = now.Add(delay)
			l = l.WithRequest(flow(i), timeout, now).WithResponse(flow(i), false, now)
		}
		l = l.WithAdmission(flow(99), now)
		is.Equal(l.BusySlots(now.Add(delay)), 1)
		is.Equal(l.BusySlots(now.Add(max(firstRequestFactor*delay, minReservation))), 0)
	}
}

func TestNextLapse_IsWhenBusySlotsFalls(t *testing.T) {
	is := is.New(t)
	l, now := measured(latency)
	_, found := l.NextLapse(now)
	is.True(!found)
	l = l.WithRequest(flow(1), timeout, now).WithAdmission(flow(2), now)
	next, found := l.NextLapse(now)
	is.True(found)
	is.Equal(l.BusySlots(next.Add(-1)), 2)
	is.Equal(l.BusySlots(next), 1)
}

// Whatever is lost: when an upstream with 1 to 3 slots goes on responding to other requests, each
// request whose end the sidecar has not seen gives back its slot within a few usual latencies, and
// within the caller's timeout in any case.
func TestRunningRequests_LostEndsGiveBackSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		usual := time.Duration(rapid.IntRange(1, 200).Draw(t, "latency")) * time.Millisecond
		callerTimeout := usual * time.Duration(rapid.IntRange(5, 40).Draw(t, "patience"))
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		l, now := measured(usual)
		for i := range slots + 1 {
			l = l.WithRequest(flow(100+i), callerTimeout, now)
		}
		lostAt := now
		for i := range 60 {
			l = l.WithRequest(flow(i), callerTimeout, now)
			now = now.Add(usual)
			l = l.WithResponse(flow(i), false, now)
			if now.Sub(lostAt) >= (overtakenFactor+1)*usual && l.RunningRequests(now) != 0 {
				t.Fatalf("%d requests still hold a slot after %s", l.RunningRequests(now), now.Sub(lostAt))
			}
		}
		silent, _ := measured(usual)
		silent = silent.WithRequest(flow(1), callerTimeout, lostAt)
		if silent.RunningRequests(lostAt.Add(max(callerTimeout, overdueAfter))) != 0 {
			t.Fatal("a request holds its slot after its caller has given up")
		}
	})
}
