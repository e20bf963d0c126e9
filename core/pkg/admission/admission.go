// Package admission decides how many requests run at once at one upstream.
//
// Nothing is known of an upstream that starts, and its health and load endpoints lag, so the limit
// begins at one request and grows by one at a time while answers come. When the upstream sheds at
// a limit that was just tried, the limit goes back by one and the next try comes later. When a warm
// upstream sheds, it has fallen back into cold start, and the limit begins at one again.
// The package knows nothing of sockets, clocks or encodings.
package admission

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

const (
	// firstPause is the time for which a new limit stays before it grows.
	firstPause = 250 * time.Millisecond
	// maxPause bounds the time between two tries at a limit at which the upstream shed.
	maxPause = 4 * time.Second
	// goodAnswers is the number of answers at full limit that come before it grows.
	goodAnswers = 4
	// slowFactor is how many times the usual latency the recent one is that counts as overload.
	slowFactor = 4
	// slowFloor is the latency below which no answer counts as slow.
	slowFloor = 50 * time.Millisecond
	// recentShare and usualShare are the shares, one part in so many, of a new latency in the averages.
	recentShare = 8
	usualShare  = 128
)

// New returns the allowance for an upstream with this number of slots that may be cold.
func New(slots uint32) landing.Allowance {
	return landing.Allowance{}.
		WithSlots(max(slots, 1)).
		WithLimit(1).
		WithPause(firstPause)
}

// Handle returns the allowance after the observation, and whether a request that asked may run.
func Handle(a landing.Allowance, o landing.Observation) (landing.Allowance, bool) {
	switch o := o.(type) {
	case landing.Started:
		return restart(a, o.Now()).WithDraining(false), false
	case landing.Asked:
		return ask(a)
	case landing.Finished:
		return finish(a, o.Latency(), o.Now()), false
	case landing.Overloaded:
		return shed(end(a), o.Now()), false
	case landing.Failed:
		return halve(end(a), o.Now()), false
	case landing.Leaving:
		return a.WithDraining(true), false
	case landing.Withdrawn:
		return end(a), false
	}
	return a, false
}

// Room returns the number of further requests that may run now.
func Room(a landing.Allowance) uint32 {
	if a.Draining() {
		return 0
	}
	return a.Limit() - min(a.Running(), a.Limit())
}

// IsWarm says whether the upstream takes requests in all its slots.
func IsWarm(a landing.Allowance) bool {
	return a.Limit() >= a.Slots()
}

func ask(a landing.Allowance) (landing.Allowance, bool) {
	if Room(a) == 0 {
		return a, false
	}
	return a.WithRunning(a.Running() + 1), true
}

func finish(a landing.Allowance, latency time.Duration, now time.Time) landing.Allowance {
	a = average(a, latency)
	if isSlow(a) {
		return halve(end(a), now).WithRecent(a.Usual())
	}
	if a.Running() >= a.Limit() {
		a = a.WithGood(a.Good() + 1)
	}
	return grow(end(a), now)
}

func end(a landing.Allowance) landing.Allowance {
	return a.WithRunning(a.Running() - min(a.Running(), 1))
}

// average takes one more latency into both averages. A mix of short and long requests moves both
// alike, so only a change of the whole mix makes them differ.
func average(a landing.Allowance, latency time.Duration) landing.Allowance {
	if a.Usual() == 0 {
		return a.WithUsual(latency).WithRecent(latency)
	}
	return a.
		WithRecent(a.Recent() + (latency-a.Recent())/recentShare).
		WithUsual(a.Usual() + (latency-a.Usual())/usualShare)
}

func isSlow(a landing.Allowance) bool {
	return a.Recent() > slowFloor && a.Recent() > slowFactor*a.Usual()
}

// grow raises the limit by one when it was used in full for long enough, so that idle time earns nothing.
func grow(a landing.Allowance, now time.Time) landing.Allowance {
	if IsWarm(a) || a.Good() < goodAnswers || now.Sub(a.Changed()) < a.Pause() {
		return a
	}
	return withLimit(a, a.Limit()+1, now)
}

func restart(a landing.Allowance, now time.Time) landing.Allowance {
	return withLimit(a, 1, now).WithPause(firstPause)
}

// shed lowers the limit after the upstream shed. Answers to requests that were let through
// before the limit was last lowered say nothing new.
func shed(a landing.Allowance, now time.Time) landing.Allowance {
	if a.Running() >= a.Limit() {
		return a
	}
	if IsWarm(a) {
		return lowered(restart(a, now))
	}
	a = a.WithPause(min(2*a.Pause(), maxPause))
	return lowered(withLimit(a, max(a.Limit()-1, 1), now))
}

func halve(a landing.Allowance, now time.Time) landing.Allowance {
	return lowered(withLimit(a, max(a.Limit()/2, 1), now))
}

func lowered(a landing.Allowance) landing.Allowance {
	return a.WithLowered(a.Lowered() + 1)
}

func withLimit(a landing.Allowance, limit uint32, now time.Time) landing.Allowance {
	return a.
		WithLimit(limit).
		WithGood(0).
		WithChanged(now)
}
