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
func New(slots uint32) landing.AdmissionState {
	return landing.AdmissionState{}.
		WithSlots(max(slots, 1)).
		WithConcurrencyLimit(1).
		WithGrowthPause(firstPause)
}

// Handle returns the allowance after the observation, and whether a request that asked may run.
func Handle(a landing.AdmissionState, o landing.AdmissionEvent) (landing.AdmissionState, bool) {
	switch o := o.(type) {
	case landing.UpstreamStarted:
		return restart(a, o.ObservedAt()).WithDraining(false), false
	case landing.RequestArrived:
		return ask(a)
	case landing.RequestAnswered:
		return finish(a, o.Latency(), o.ObservedAt()), false
	case landing.UpstreamOverloaded:
		return shed(end(a), o.ObservedAt()), false
	case landing.RequestFailed:
		return halve(end(a), o.ObservedAt()), false
	case landing.UpstreamLeaving:
		return a.WithDraining(true), false
	case landing.RequestCanceled:
		return end(a), false
	}
	return a, false
}

// FreeCapacity returns the number of further requests that may run now.
func FreeCapacity(a landing.AdmissionState) uint32 {
	if a.Draining() {
		return 0
	}
	return a.ConcurrencyLimit() - min(a.RunningRequests(), a.ConcurrencyLimit())
}

// IsWarm says whether the upstream takes requests in all its slots.
func IsWarm(a landing.AdmissionState) bool {
	return a.ConcurrencyLimit() >= a.Slots()
}

func ask(a landing.AdmissionState) (landing.AdmissionState, bool) {
	if FreeCapacity(a) == 0 {
		return a, false
	}
	return a.WithRunningRequests(a.RunningRequests() + 1), true
}

func finish(a landing.AdmissionState, latency time.Duration, now time.Time) landing.AdmissionState {
	a = average(a, latency)
	if isSlow(a) {
		return halve(end(a), now).WithShortTermLatency(a.LongTermLatency())
	}
	if a.RunningRequests() >= a.ConcurrencyLimit() {
		a = a.WithFullLimitResponses(a.FullLimitResponses() + 1)
	}
	return grow(end(a), now)
}

func end(a landing.AdmissionState) landing.AdmissionState {
	return a.WithRunningRequests(a.RunningRequests() - min(a.RunningRequests(), 1))
}

// average takes one more latency into both averages. A mix of short and long requests moves both
// alike, so only a change of the whole mix makes them differ.
func average(a landing.AdmissionState, latency time.Duration) landing.AdmissionState {
	if a.LongTermLatency() == 0 {
		return a.WithLongTermLatency(latency).WithShortTermLatency(latency)
	}
	return a.
		WithShortTermLatency(a.ShortTermLatency() + (latency-a.ShortTermLatency())/recentShare).
		WithLongTermLatency(a.LongTermLatency() + (latency-a.LongTermLatency())/usualShare)
}

func isSlow(a landing.AdmissionState) bool {
	return a.ShortTermLatency() > slowFloor && a.ShortTermLatency() > slowFactor*a.LongTermLatency()
}

// grow raises the limit by one when it was used in full for long enough, so that idle time earns nothing.
func grow(a landing.AdmissionState, now time.Time) landing.AdmissionState {
	if IsWarm(a) || a.FullLimitResponses() < goodAnswers || now.Sub(a.LimitLastChanged()) < a.GrowthPause() {
		return a
	}
	return withLimit(a, a.ConcurrencyLimit()+1, now)
}

func restart(a landing.AdmissionState, now time.Time) landing.AdmissionState {
	return withLimit(a, 1, now).WithGrowthPause(firstPause)
}

// shed lowers the limit after the upstream shed. Answers to requests that were let through
// before the limit was last lowered say nothing new.
func shed(a landing.AdmissionState, now time.Time) landing.AdmissionState {
	if a.RunningRequests() >= a.ConcurrencyLimit() {
		return a
	}
	if IsWarm(a) {
		return lowered(restart(a, now))
	}
	a = a.WithGrowthPause(min(2*a.GrowthPause(), maxPause))
	return lowered(withLimit(a, max(a.ConcurrencyLimit()-1, 1), now))
}

func halve(a landing.AdmissionState, now time.Time) landing.AdmissionState {
	return lowered(withLimit(a, max(a.ConcurrencyLimit()/2, 1), now))
}

func lowered(a landing.AdmissionState) landing.AdmissionState {
	return a.WithDecreaseCount(a.DecreaseCount() + 1)
}

func withLimit(a landing.AdmissionState, limit uint32, now time.Time) landing.AdmissionState {
	return a.
		WithConcurrencyLimit(limit).
		WithFullLimitResponses(0).
		WithLimitLastChanged(now)
}
