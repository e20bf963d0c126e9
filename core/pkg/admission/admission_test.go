package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// handleFunc is the signature of Handle. Tests replace Handle by faulty variants.
type handleFunc func(landing.AdmissionState, landing.AdmissionEvent) (landing.AdmissionState, bool)

// simulation is an upstream with a changing capacity, and a demand that always exceeds it.
type simulation struct {
	handle handleFunc
	state  landing.AdmissionState
	now    time.Time
	// startTimes are the start times of the running requests, the oldest first.
	startTimes []time.Time
	// capacityAt returns the capacity, in concurrent requests, at this time after the start.
	capacityAt func(time.Duration) uint32
	// start is the time at which the upstream started.
	start time.Time
	// maxExcess is the largest number of requests by which the capacity was exceeded.
	maxExcess int
	// overloads is the number of requests that the upstream refused because of overload.
	overloads int
}

const requestLatency = 10 * time.Millisecond

func newSimulation(handle handleFunc, slots uint32, capacityAt func(time.Duration) uint32) *simulation {
	start := time.Unix(1000, 0)
	return &simulation{handle: handle, state: New(slots), now: start, start: start, capacityAt: capacityAt}
}

// run simulates this duration in steps of a millisecond. In each step it ends the requests that are due
// and sends as many as the limit admits.
func (s *simulation) run(duration time.Duration) {
	for end := s.now.Add(duration); s.now.Before(end); s.now = s.now.Add(time.Millisecond) {
		s.finishRequests()
		s.sendRequests()
	}
}

func (s *simulation) finishRequests() {
	for len(s.startTimes) > 0 && s.now.Sub(s.startTimes[0]) >= requestLatency {
		s.startTimes = s.startTimes[1:]
		s.state, _ = s.handle(s.state, landing.RequestAnswered{}.WithLatency(requestLatency).WithObservedAt(s.now))
	}
}

func (s *simulation) sendRequests() {
	for {
		next, admitted := s.handle(s.state, landing.RequestArrived{})
		s.state = next
		if !admitted {
			return
		}
		capacity := int(s.capacityAt(s.now.Sub(s.start)))
		if len(s.startTimes) < capacity {
			s.startTimes = append(s.startTimes, s.now)
			continue
		}
		s.overloads++
		s.maxExcess = max(s.maxExcess, len(s.startTimes)+1-capacity)
		s.state, _ = s.handle(s.state, landing.UpstreamOverloaded{}.WithObservedAt(s.now))
		return
	}
}

// newCapacity returns a function for simulation.capacityAt whose result changes from coldCapacity to
// warmCapacity after coldDuration.
func newCapacity(coldDuration time.Duration, coldCapacity, warmCapacity uint32) func(time.Duration) uint32 {
	return func(sinceStart time.Duration) uint32 {
		if sinceStart < coldDuration {
			return coldCapacity
		}
		return warmCapacity
	}
}

func TestHandle_ColdStartExceedsCapacityByAtMostOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.Uint32Range(2, 32).Draw(t, "slots")
		coldCapacity := rapid.Uint32Range(1, slots).Draw(t, "cold")
		coldDuration := time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second
		s := newSimulation(Handle, slots, newCapacity(coldDuration, coldCapacity, slots))
		s.run(coldDuration)
		if s.maxExcess > 1 {
			t.Fatalf("%d requests beyond the capacity, want at most 1", s.maxExcess)
		}
	})
}

// Checks that the simulation detects a limit that does not start at one request.
func TestSimulation_FullInitialLimitOverloadsUpstream(t *testing.T) {
	is := is.New(t)
	s := newSimulation(Handle, 8, newCapacity(time.Second, 1, 8))
	s.state = s.state.WithConcurrencyLimit(8)
	s.run(time.Second)
	// The first overload lowers the limit to one, so the capacity is exceeded only by one request.
	is.True(s.maxExcess == 1 && s.overloads > 0)
	faultyHandle := func(s landing.AdmissionState, e landing.AdmissionEvent) (landing.AdmissionState, bool) {
		next, admitted := Handle(s, e)
		return next.WithConcurrencyLimit(next.Slots()), admitted
	}
	s = newSimulation(faultyHandle, 8, newCapacity(time.Second, 1, 8))
	s.run(time.Second)
	is.True(s.overloads > 100)
}

func TestHandle_OverloadOfWarmUpstreamResetsLimitToOne(t *testing.T) {
	is := is.New(t)
	capacity := uint32(8)
	s := newSimulation(Handle, 8, func(time.Duration) uint32 { return capacity })
	s.run(5 * time.Second)
	is.True(IsWarm(s.state))
	capacity = 1
	s.overloads = 0
	for s.overloads == 0 {
		s.run(time.Millisecond)
	}
	is.Equal(s.state.ConcurrencyLimit(), uint32(1))
}

func TestHandle_LimitReachesSlotsInOnePausePerSlot(t *testing.T) {
	is := is.New(t)
	s := newSimulation(Handle, 8, newCapacity(0, 8, 8))
	s.run(8 * initialGrowthPause)
	is.True(IsWarm(s.state))
	is.Equal(s.overloads, 0)
}

func TestHandle_MixedLatenciesAreNoOverload(t *testing.T) {
	is := is.New(t)
	s := New(8)
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	// One request in ten takes 80 ms, the others 5 ms.
	for range 10_000 {
		latency := 5 * time.Millisecond
		if random.IntN(10) == 0 {
			latency = 80 * time.Millisecond
		}
		now = now.Add(time.Millisecond)
		s, _ = Handle(s, landing.RequestArrived{})
		s, _ = Handle(s, landing.RequestAnswered{}.WithLatency(latency).WithObservedAt(now))
	}
	is.Equal(s.DecreaseCount(), uint32(0))
}

func TestHandle_LeavingUpstreamAdmitsNothing(t *testing.T) {
	is := is.New(t)
	s, _ := Handle(New(8), landing.UpstreamLeaving{})
	_, admitted := Handle(s, landing.RequestArrived{})
	is.True(!admitted)
}

func ExampleHandle() {
	s := New(8)
	s, firstAdmitted := Handle(s, landing.RequestArrived{})
	_, secondAdmitted := Handle(s, landing.RequestArrived{})
	fmt.Println(firstAdmitted, secondAdmitted)
	// Output: true false
}
