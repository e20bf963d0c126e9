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

// handler is the signature of Handle, so that a faulty one can take its place.
type handler func(landing.AdmissionState, landing.AdmissionEvent) (landing.AdmissionState, bool)

// bench is an upstream that bears a number of requests which changes with time, under full demand.
type bench struct {
	handle    handler
	allowance landing.AdmissionState
	now       time.Time
	running   []time.Time
	bears     func(time.Duration) uint32
	start     time.Time
	excess    int
	sheds     int
}

const serviceTime = 10 * time.Millisecond

func newBench(h handler, slots uint32, bears func(time.Duration) uint32) *bench {
	start := time.Unix(1000, 0)
	return &bench{handle: h, allowance: New(slots), now: start, start: start, bears: bears}
}

// run keeps the demand above the limit for d.
func (b *bench) run(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(time.Millisecond) {
		b.finish()
		b.send()
	}
}

func (b *bench) finish() {
	for len(b.running) > 0 && b.now.Sub(b.running[0]) >= serviceTime {
		b.running = b.running[1:]
		b.allowance, _ = b.handle(b.allowance, landing.RequestAnswered{}.WithLatency(serviceTime).WithObservedAt(b.now))
	}
}

func (b *bench) send() {
	for {
		next, admitted := b.handle(b.allowance, landing.RequestArrived{})
		b.allowance = next
		if !admitted {
			return
		}
		bears := int(b.bears(b.now.Sub(b.start)))
		if len(b.running) < bears {
			b.running = append(b.running, b.now)
			continue
		}
		b.sheds++
		b.excess = max(b.excess, len(b.running)+1-bears)
		b.allowance, _ = b.handle(b.allowance, landing.UpstreamOverloaded{}.WithObservedAt(b.now))
		return
	}
}

// coldFor returns an upstream that bears cold requests, and warm ones after d.
func coldFor(d time.Duration, cold, warm uint32) func(time.Duration) uint32 {
	return func(passed time.Duration) uint32 {
		if passed < d {
			return cold
		}
		return warm
	}
}

func TestColdStartGetsOneRequestTooManyAtTheMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.Uint32Range(2, 32).Draw(t, "slots")
		cold := rapid.Uint32Range(1, slots).Draw(t, "cold")
		length := time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second
		b := newBench(Handle, slots, coldFor(length, cold, slots))
		b.run(length)
		if b.excess > 1 {
			t.Fatalf("%d requests too many", b.excess)
		}
	})
}

func TestMutantThatStartsAtFullLimitOvershoots(t *testing.T) {
	is := is.New(t)
	b := newBench(Handle, 8, coldFor(time.Second, 1, 8))
	b.allowance = b.allowance.WithConcurrencyLimit(8)
	b.run(time.Second)
	is.True(b.excess == 1 && b.sheds > 0)
	mutant := func(a landing.AdmissionState, o landing.AdmissionEvent) (landing.AdmissionState, bool) {
		next, admitted := Handle(a, o)
		return next.WithConcurrencyLimit(next.Slots()), admitted
	}
	b = newBench(mutant, 8, coldFor(time.Second, 1, 8))
	b.run(time.Second)
	is.True(b.sheds > 100)
}

func TestFallBackIntoColdStartIsFoundWithTheFirstShed(t *testing.T) {
	is := is.New(t)
	bears := uint32(8)
	b := newBench(Handle, 8, func(time.Duration) uint32 { return bears })
	b.run(5 * time.Second)
	is.True(IsWarm(b.allowance))
	bears = 1
	b.sheds = 0
	for b.sheds == 0 {
		b.run(time.Millisecond)
	}
	is.Equal(b.allowance.ConcurrencyLimit(), uint32(1))
}

func TestWarmUpstreamIsFullWithinTheTimeOfItsSlots(t *testing.T) {
	is := is.New(t)
	b := newBench(Handle, 8, coldFor(0, 8, 8))
	b.run(8 * firstPause)
	is.True(IsWarm(b.allowance))
	is.Equal(b.sheds, 0)
}

func TestMixOfShortAndLongRequestsIsNotTakenForOverload(t *testing.T) {
	is := is.New(t)
	a := New(8)
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	for range 10_000 {
		latency := 5 * time.Millisecond
		if random.IntN(10) == 0 {
			latency = 80 * time.Millisecond
		}
		now = now.Add(time.Millisecond)
		a, _ = Handle(a, landing.RequestArrived{})
		a, _ = Handle(a, landing.RequestAnswered{}.WithLatency(latency).WithObservedAt(now))
	}
	is.Equal(a.DecreaseCount(), uint32(0))
}

func TestLeavingUpstreamGetsNothing(t *testing.T) {
	is := is.New(t)
	a, _ := Handle(New(8), landing.UpstreamLeaving{})
	_, admitted := Handle(a, landing.RequestArrived{})
	is.True(!admitted)
}

func ExampleHandle() {
	a := New(8)
	a, first := Handle(a, landing.RequestArrived{})
	_, second := Handle(a, landing.RequestArrived{})
	fmt.Println(first, second)
	// Output: true false
}
