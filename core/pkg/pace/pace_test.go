package pace

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// With 17 balancers that each watched for 1.5 s the calls to the platform were the largest price of a quiet day.
func TestFleetMakesNoMoreCallsWhenItGrows(t *testing.T) {
	is := is.New(t)
	for _, balancers := range []int{3, 5, 17} {
		total := 0.0
		for range balancers * 100 {
			total += 1 / WatchTimeout(balancers, 3*time.Second).Seconds() / 100
		}
		is.True(total < 2.3)
	}
}

func TestSomeWatchBeginsAnewInTime(t *testing.T) {
	is := is.New(t)
	for _, balancers := range []int{1, 5, 17, 200} {
		for range 100 {
			is.True(WatchTimeout(balancers, 3*time.Second) <= 10*time.Second)
			is.True(WatchTimeout(balancers, 3*time.Second) >= time.Second)
		}
	}
	is.True(WatchTimeout(1, 3*time.Second) <= 3*time.Second)
}

func TestWatchesBeginAsOftenAsTheirTopicMustBeInForce(t *testing.T) {
	is := is.New(t)
	mean := func(within time.Duration) float64 {
		total := 0.0
		for range 1000 {
			total += WatchTimeout(10, within).Seconds()
		}
		return total / 1000
	}
	ratio := mean(4*time.Second) / mean(2*time.Second)
	is.True(ratio > 1.8 && ratio < 2.2)
}

func TestRecordsTakeAFixedShareOfThePlatform(t *testing.T) {
	is := is.New(t)
	for _, sidecars := range []int{10, 45, 200} {
		writes := 0.0
		for range sidecars {
			interval, isRecorded := RecordInterval(sidecars)
			is.True(isRecorded)
			writes += 1 / interval.Seconds()
		}
		is.True(writes < 6)
	}
	_, isRecorded := RecordInterval(16000)
	is.True(!isRecorded)
}

// Upstreams are replaced one a second, so two enrollments change in each second; every change ended one watch of each
// balancer.
func TestReplacedUpstreamsEndFewWatchesOfALargeFleet(t *testing.T) {
	is := is.New(t)
	const balancers, changesPerSecond = 20, 2
	watches := float64(balancers) / PauseAfterEnrollmentChange(balancers).Seconds()
	is.True(watches <= balancers*changesPerSecond/4)
	is.Equal(PauseAfterEnrollmentChange(2), PauseAfterChange)
	is.True(PauseAfterEnrollmentChange(1000) <= mostAfterRoll)
}

// With a pause of 300 ms 20 balancers made 200 calls a second to a store that was away, and each is priced.
func TestFleetSparesAPlatformThatIsAway(t *testing.T) {
	is := is.New(t)
	for _, balancers := range []int{1, 5, 20} {
		calls := 0.0
		for range 100 * balancers {
			calls += 1 / RetryPause(balancers, true).Seconds() / 100
		}
		is.True(calls <= 30)
		is.True(RetryPause(balancers, true) <= 2*time.Second)
	}
}

// After a loss of power nobody knows anything, and each request waits for the first answer of the platform.
func TestBalancerThatCannotServeTriesAgainSoon(t *testing.T) {
	is := is.New(t)
	for range 100 {
		is.True(RetryPause(1000, false) < leastRetry*3/2)
	}
}
