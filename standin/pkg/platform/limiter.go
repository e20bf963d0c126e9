package platform

import (
	"sync/atomic"

	"golang.org/x/time/rate"
)

// limiter counts all calls and decides which of them exceed a rate.
type limiter struct {
	calls atomic.Uint64
	rate  *rate.Limiter
}

// newLimiter returns a limiter that allows this number of calls per second, and bursts of the same number.
func newLimiter(perSecond uint32) *limiter {
	return &limiter{rate: rate.NewLimiter(rate.Limit(perSecond), int(perSecond))}
}

// allow counts a call and reports whether it is within the rate.
func (l *limiter) allow() bool {
	l.calls.Add(1)
	return l.rate.Allow()
}

// callCount returns the number of calls, including those above the rate.
func (l *limiter) callCount() uint64 {
	return l.calls.Load()
}
