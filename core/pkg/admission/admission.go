// Package admission decides how many requests may run at once at one upstream.
//
// The slots of an upstream are the number of requests that it serves at once when warm. For some time
// after its start, the cold start, it can serve only a few. Its capacity is then unknown, and its health
// and load endpoints lag behind. The concurrency limit therefore starts at one request. It grows by one
// each time a pause has passed and enough responses have arrived while it was fully used, until it
// reaches the slots. When the upstream reports overload before that, the limit decreases by one and the
// pause before the next increase doubles. An upstream that reports overload although it was warm is in
// cold start again, so its limit starts at one again. A failed request or a strong rise of the latency
// halves the limit. The package is independent of sockets, clocks and encodings.
package admission

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

const (
	// initialGrowthPause is the growth pause after a start: the minimum time between a change of the
	// limit and its next increase.
	initialGrowthPause = 250 * time.Millisecond
	// maxGrowthPause is the upper bound of the growth pause, which doubles with each overload that is
	// reported before the upstream is warm.
	maxGrowthPause = 4 * time.Second
	// responsesBeforeGrowth is the number of responses that must arrive while the limit is fully used
	// before the limit grows.
	responsesBeforeGrowth = 4
	// overloadLatencyFactor is the ratio of short-term to long-term latency above which the upstream
	// counts as overloaded.
	overloadLatencyFactor = 4
	// minOverloadLatency is the short-term latency up to which the upstream never counts as overloaded.
	minOverloadLatency = 50 * time.Millisecond
	// shortTermDivisor and longTermDivisor determine the weight of a new latency in the moving averages:
	// 1/shortTermDivisor and 1/longTermDivisor.
	shortTermDivisor = 8
	longTermDivisor  = 128
)

// New returns the state for an upstream that may be in cold start and serves this number of requests
// at once when warm; 0 slots count as 1.
func New(slots uint32) landing.AdmissionState {
	return landing.AdmissionState{}.
		WithSlots(max(slots, 1)).
		WithConcurrencyLimit(1).
		WithGrowthPause(initialGrowthPause)
}

// Handle returns the state after the event and, for RequestArrived, whether the request may run. For all
// other events, it returns false.
func Handle(s landing.AdmissionState, e landing.AdmissionEvent) (landing.AdmissionState, bool) {
	switch e := e.(type) {
	case landing.UpstreamStarted:
		return restartLimit(s, e.ObservedAt()).WithDraining(false), false
	case landing.RequestArrived:
		return admitRequest(s)
	case landing.RequestAnswered:
		return handleResponse(s, e.Latency(), e.ObservedAt()), false
	case landing.UpstreamOverloaded:
		return handleOverload(endRequest(s), e.ObservedAt()), false
	case landing.RequestFailed:
		return halveLimit(endRequest(s), e.ObservedAt()), false
	case landing.UpstreamLeaving:
		return s.WithDraining(true), false
	case landing.RequestCanceled:
		return endRequest(s), false
	}
	return s, false
}

// FreeCapacity returns the number of further requests that may run now. It returns 0 while the upstream
// shuts down.
func FreeCapacity(s landing.AdmissionState) uint32 {
	if s.Draining() {
		return 0
	}
	return s.ConcurrencyLimit() - min(s.RunningRequests(), s.ConcurrencyLimit())
}

// IsWarm reports whether the limit has reached the number of slots of the upstream.
func IsWarm(s landing.AdmissionState) bool {
	return s.ConcurrencyLimit() >= s.Slots()
}

func admitRequest(s landing.AdmissionState) (landing.AdmissionState, bool) {
	if FreeCapacity(s) == 0 {
		return s, false
	}
	return s.WithRunningRequests(s.RunningRequests() + 1), true
}

// handleResponse adds the latency of a response to the averages, and halves or grows the limit accordingly.
func handleResponse(s landing.AdmissionState, latency time.Duration, now time.Time) landing.AdmissionState {
	s = updateLatencies(s, latency)
	if isOverloaded(s) {
		return halveLimit(endRequest(s), now).WithShortTermLatency(s.LongTermLatency())
	}
	if s.RunningRequests() >= s.ConcurrencyLimit() {
		s = s.WithFullLimitResponses(s.FullLimitResponses() + 1)
	}
	return growLimit(endRequest(s), now)
}

func endRequest(s landing.AdmissionState) landing.AdmissionState {
	return s.WithRunningRequests(s.RunningRequests() - min(s.RunningRequests(), 1))
}

// updateLatencies adds a latency to both moving averages. With a constant mix of short and long
// requests, both averages stay near the same value, so they differ much only after the mix as a whole
// has changed.
func updateLatencies(s landing.AdmissionState, latency time.Duration) landing.AdmissionState {
	if s.LongTermLatency() == 0 {
		return s.WithLongTermLatency(latency).WithShortTermLatency(latency)
	}
	return s.
		WithShortTermLatency(s.ShortTermLatency() + (latency-s.ShortTermLatency())/shortTermDivisor).
		WithLongTermLatency(s.LongTermLatency() + (latency-s.LongTermLatency())/longTermDivisor)
}

func isOverloaded(s landing.AdmissionState) bool {
	return s.ShortTermLatency() > minOverloadLatency && s.ShortTermLatency() > overloadLatencyFactor*s.LongTermLatency()
}

// growLimit increases the limit by one if enough responses arrived while it was fully used and the
// growth pause has passed. The limit of an idle upstream therefore does not grow.
func growLimit(s landing.AdmissionState, now time.Time) landing.AdmissionState {
	if IsWarm(s) || s.FullLimitResponses() < responsesBeforeGrowth || now.Sub(s.LimitLastChanged()) < s.GrowthPause() {
		return s
	}
	return withLimit(s, s.ConcurrencyLimit()+1, now)
}

func restartLimit(s landing.AdmissionState, now time.Time) landing.AdmissionState {
	return withLimit(s, 1, now).WithGrowthPause(initialGrowthPause)
}

// handleOverload lowers the limit after the upstream refused a request because of overload. It does
// nothing while at least as many requests run as the limit allows: the refused request was then admitted
// before the limit was last lowered, so its refusal is no reason to lower it further.
func handleOverload(s landing.AdmissionState, now time.Time) landing.AdmissionState {
	if s.RunningRequests() >= s.ConcurrencyLimit() {
		return s
	}
	if IsWarm(s) {
		return countDecrease(restartLimit(s, now))
	}
	s = s.WithGrowthPause(min(2*s.GrowthPause(), maxGrowthPause))
	return countDecrease(withLimit(s, max(s.ConcurrencyLimit()-1, 1), now))
}

func halveLimit(s landing.AdmissionState, now time.Time) landing.AdmissionState {
	return countDecrease(withLimit(s, max(s.ConcurrencyLimit()/2, 1), now))
}

func countDecrease(s landing.AdmissionState) landing.AdmissionState {
	return s.WithDecreaseCount(s.DecreaseCount() + 1)
}

func withLimit(s landing.AdmissionState, limit uint32, now time.Time) landing.AdmissionState {
	return s.
		WithConcurrencyLimit(limit).
		WithFullLimitResponses(0).
		WithLimitLastChanged(now)
}
