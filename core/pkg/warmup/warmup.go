// Package warmup bounds the new flows that an upstream in cold start gets.
//
// It answers the load of a zone that returns: every balancer sends at once to upstreams that bear a few new
// flows a second. The bound holds over any span of a second, not for each second of the clock.
package warmup

import (
	"math"
	"slices"
	"time"
)

const (
	// span is the length of the sliding window.
	span = time.Second
	// leastRate is the number of new flows a second that any upstream gets, so that a cold one warms up.
	leastRate = 3
	// unbounded is the room of an upstream for which the rules state no rate.
	unbounded = math.MaxInt32
)

// Window is the record of the last new flows of one upstream. It is immutable.
type Window struct {
	taken []time.Time
	since time.Time
}

// New returns the window of a process that starts now. It does not know what its predecessor let in just before, so in
// its first second it lets in half.
func New(now time.Time) Window {
	return Window{since: now}
}

// AdmissibleFlows returns the number of new flows that may still be taken at this time by an upstream that bears this many a
// second. A rate of 0 states no bound.
func (w Window) AdmissibleFlows(rate float64, now time.Time) int {
	if rate == 0 {
		return unbounded
	}
	if now.Sub(w.since) <= span {
		rate /= 2
	}
	return max(max(int(rate), leastRate)-len(w.recent(now)), 0)
}

// WithFlow returns the record with one more new flow.
func (w Window) WithFlow(now time.Time) Window {
	return Window{taken: append(w.recent(now), now), since: w.since}
}

func (w Window) recent(now time.Time) []time.Time {
	old := 0
	for old < len(w.taken) && now.Sub(w.taken[old]) > span {
		old++
	}
	return slices.Clip(w.taken[old:])
}
