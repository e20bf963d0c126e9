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
			total += 1 / Wait(balancers).Seconds() / 100
		}
		is.True(total < 2.3)
	}
}

func TestSomeWatchBeginsAnewInTime(t *testing.T) {
	is := is.New(t)
	for _, balancers := range []int{1, 5, 17, 200} {
		for range 100 {
			is.True(Wait(balancers) <= 10*time.Second)
			is.True(Wait(balancers) >= time.Second)
		}
	}
	is.True(Wait(1) <= 3*time.Second)
}

func TestRecordsTakeAFixedShareOfThePlatform(t *testing.T) {
	is := is.New(t)
	for _, sidecars := range []int{10, 45, 200} {
		writes := 0.0
		for range sidecars {
			interval, isRecorded := Record(sidecars)
			is.True(isRecorded)
			writes += 1 / interval.Seconds()
		}
		is.True(writes < 6)
	}
	_, isRecorded := Record(16000)
	is.True(!isRecorded)
}

// Upstreams are replaced one a second, so two enrollments change in each second; every change ended one watch of each
// balancer.
func TestReplacedUpstreamsEndFewWatchesOfALargeFleet(t *testing.T) {
	is := is.New(t)
	const balancers, changesPerSecond = 20, 2
	watches := float64(balancers) / AfterRoll(balancers).Seconds()
	is.True(watches <= balancers*changesPerSecond/4)
	is.Equal(AfterRoll(2), AfterEvent)
	is.True(AfterRoll(1000) <= mostAfterRoll)
}
