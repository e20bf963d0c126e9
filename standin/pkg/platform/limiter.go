package platform

import (
	"sync/atomic"

	"golang.org/x/time/rate"
)

// limiter counts calls and refuses those past a rate.
type limiter struct {
	calls atomic.Uint64
	rate  *rate.Limiter
}

func newLimiter(perSecond uint32) *limiter {
	return &limiter{rate: rate.NewLimiter(rate.Limit(perSecond), int(perSecond))}
}

func (l *limiter) allow() bool {
	l.calls.Add(1)
	return l.rate.Allow()
}

func (l *limiter) total() uint64 {
	return l.calls.Load()
}
