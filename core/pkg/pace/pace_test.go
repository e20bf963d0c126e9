package pace

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// callsPerSecond returns the rate at which the watches of a fleet of this many balancers end when nothing changes.
func callsPerSecond(balancers int, applyTime time.Duration) float64 {
	const period = 100 * time.Second
	calls := 0
	for rank := range balancers {
		now := start
		for now.Before(start.Add(period)) {
			now = now.Add(WatchTimeout(rank, balancers, applyTime, now) + time.Millisecond)
			calls++
		}
	}
	return float64(calls) / period.Seconds()
}

// When each of 17 balancers watched for 1.5 s at a time, the calls to the platform were the largest
// cost of a quiet day.
func TestWatchTimeout_FleetCallRateIsBounded(t *testing.T) {
	is := is.New(t)
	for _, balancers := range []int{3, 5, 17} {
		is.True(callsPerSecond(balancers, 3*time.Second) < 2.3)
	}
}

func TestWatchTimeout_WithinBounds(t *testing.T) {
	is := is.New(t)
	for _, balancers := range []int{1, 5, 17, 200} {
		for i := range 100 {
			timeout := WatchTimeout(i%balancers, balancers, 3*time.Second, start.Add(time.Duration(i)*77*time.Millisecond))
			is.True(timeout <= maxWatchTimeout+minSlotTimeout)
			is.True(timeout >= minSlotTimeout)
		}
	}
	is.True(WatchTimeout(0, 1, 3*time.Second, start) <= 3*time.Second)
}

func TestWatchTimeout_ProportionalToApplyTime(t *testing.T) {
	is := is.New(t)
	ratio := callsPerSecond(10, 2*time.Second) / callsPerSecond(10, 4*time.Second)
	is.True(ratio > 1.8 && ratio < 2.2)
}

// Guards against a fleet in which no watch ends within the time in which a change must be in force, after a change has ended
// all watches and the new ones have fallen silent at once (review/7). The rest of that time is needed until a watch without a
// response has failed, and to pass the change on.
func TestWatchTimeout_SomeWatchEndsSoonAfterAllBeganTogether(t *testing.T) {
	is := is.New(t)
	for _, applyTime := range []time.Duration{3 * time.Second, 5 * time.Second, 6 * time.Second} {
		for balancers := 2; balancers <= 200; balancers++ {
			for i := range 20 {
				begunAt := start.Add(time.Duration(i) * 397 * time.Millisecond)
				first := maxWatchTimeout
				for rank := range balancers {
					first = min(first, WatchTimeout(rank, balancers, applyTime, begunAt))
				}
				is.True(first <= max(applyTime/watchesPerApplyTime, minWatchTimeout/2)+minSlotTimeout)
			}
		}
	}
}

// Guards against a balancer that leaves its place among the others, for example since its watch ended late.
func TestWatchTimeout_EndsAtOwnTimes(t *testing.T) {
	is := is.New(t)
	end := start.Add(WatchTimeout(3, 12, 5*time.Second, start))
	for _, late := range []time.Duration{time.Millisecond, 300 * time.Millisecond, 4 * time.Second} {
		next := end.Add(late).Add(WatchTimeout(3, 12, 5*time.Second, end.Add(late)))
		is.Equal(next, end.Add(maxWatchTimeout))
	}
}

// The platform allows more writes to larger fleets: 400, 1,200 and 3,200 per second on the users' deployments.
func TestRecordInterval_FleetWriteRateIsBounded(t *testing.T) {
	is := is.New(t)
	for _, size := range []struct {
		sidecars int
		writes   uint32
	}{{10, 400}, {45, 1200}, {136, 3200}, {200, 200}, {45, 0}} {
		writesPerSecond := 0.0
		for range size.sidecars {
			interval, isRecorded := RecordInterval(size.sidecars, size.writes)
			is.True(isRecorded)
			writesPerSecond += 1 / interval.Seconds()
		}
		allowed := float64(size.writes)
		if size.writes == 0 {
			allowed = assumedWritesPerSecond
		}
		is.True(writesPerSecond < 1.2*allowed/recordShare)
	}
	_, isRecorded := RecordInterval(16000, 3200) // so many that the interval exceeds maxRecordInterval
	is.True(!isRecorded)
}

// 136 sidecars recorded their flows every 34 s. At a loss of power most of their flows were in no record, and callers
// sent confirmations on flows that were lost (deployment nosa-lb-large, 682 of 13,370 failed).
func TestRecordInterval_ShortOnLargeFleets(t *testing.T) {
	is := is.New(t)
	for range 100 {
		interval, _ := RecordInterval(136, 3200)
		is.True(interval < 7*time.Second)
	}
}

// One upstream is replaced per second, so two enrollments change per second. Without the pause,
// every change ends one watch of each balancer.
func TestPauseAfterEnrollmentChange_LimitsWatchRate(t *testing.T) {
	is := is.New(t)
	const balancers, changesPerSecond = 20, 2
	watchesPerSecond := float64(balancers) / PauseAfterEnrollmentChange(balancers).Seconds()
	is.True(watchesPerSecond <= balancers*changesPerSecond/4)
	is.Equal(PauseAfterEnrollmentChange(2), PauseAfterChange)
	is.True(PauseAfterEnrollmentChange(1000) <= maxPauseAfterEnrollmentChange)
}

// With a fixed pause of 300 ms, 20 balancers made 200 calls per second to a platform that was
// unavailable, and each call costs money.
func TestRetryPause_FleetCallRateIsBounded(t *testing.T) {
	is := is.New(t)
	for _, balancers := range []int{1, 5, 20} {
		callsPerSecond := 0.0
		for range 100 * balancers {
			callsPerSecond += 1 / RetryPause(balancers, true).Seconds() / 100 // true: it can serve callers
		}
		is.True(callsPerSecond <= 30)
		is.True(RetryPause(balancers, true) <= 2*time.Second)
	}
}

// After a power loss no process holds any state, and each request waits for the first response of
// the platform.
func TestRetryPause_ShortWhenNotServing(t *testing.T) {
	is := is.New(t)
	for range 100 {
		is.True(RetryPause(1000, false) < minRetryPause*3/2)
	}
}

// Guards against a fleet that uses the whole write limit of the platform to confirm its enrollments after a return, so that the
// operators' and the upstreams' writes are refused.
func TestEnrollmentRenewalSpread_UsesQuarterOfWrites(t *testing.T) {
	is := is.New(t)
	is.Equal(EnrollmentRenewalSpread(400, 100), 16*time.Second)
	is.Equal(EnrollmentRenewalSpread(400, 0), 400*time.Second*4/assumedWritesPerSecond)
	is.Equal(EnrollmentRenewalSpread(20, 50), 1600*time.Millisecond)
	is.Equal(EnrollmentRenewalSpread(0, 100), time.Millisecond) // the number of sidecars is not known yet
}

// Guards against sidecars that all call the platform at the same time after a return.
func TestEnrollmentRenewalDelay_CoversWholeSpread(t *testing.T) {
	is := is.New(t)
	for _, spread := range []time.Duration{16 * time.Second, 1600 * time.Millisecond} {
		shortest, longest := spread, time.Duration(0)
		for range 4000 {
			delay := EnrollmentRenewalDelay(spread)
			is.True(delay < spread)
			shortest, longest = min(shortest, delay), max(longest, delay)
		}
		is.True(shortest < spread/5 && longest > spread*4/5)
	}
}

// Guards against objects that are given up at once on a deployment whose pages state no stretch.
func TestRetention_AssumedWhenNotStated(t *testing.T) {
	is := is.New(t)
	is.Equal(Retention(20*time.Second), 20*time.Second)
	is.Equal(Retention(0), assumedStretch)
}
