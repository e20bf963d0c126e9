// Package warmup limits the rate of new flows of an upstream in cold start.
//
// When a zone comes back, every balancer immediately sends new flows to its upstreams, which can
// process only a few per second. The limit applies to every period of one second, not only to the
// seconds of the clock.
package warmup

import (
	"math"
	"slices"
	"time"
)

const (
	// windowLength is the length of the sliding window.
	windowLength = time.Second
	// minFlowsPerSecond is the number of new flows per second that every upstream gets, so that a
	// cold one warms up.
	minFlowsPerSecond = 3
	// unlimited is the number of admissible flows of an upstream for which the rules set no rate.
	unlimited = math.MaxInt32
)

// Window holds the times of the latest new flows of one upstream. It is immutable. The zero value
// has no flows and belongs to a process that started long ago.
type Window struct {
	// flowTimes are the times of new flows, oldest first.
	flowTimes []time.Time
	// startedAt is the start time of the process.
	startedAt time.Time
}

// New returns the window of a process that starts now. The process does not know which flows its
// predecessor admitted just before, so in its first second it admits half of the rate.
func New(now time.Time) Window {
	return Window{startedAt: now}
}

// AdmissibleFlows returns the number of new flows that the upstream may get at this time if it may
// get flowsPerSecond in any second. A rate of 0 means that there is no limit.
func (w Window) AdmissibleFlows(flowsPerSecond float64, now time.Time) int {
	if flowsPerSecond == 0 {
		return unlimited
	}
	if now.Sub(w.startedAt) <= windowLength {
		flowsPerSecond /= 2
	}
	return max(max(int(flowsPerSecond), minFlowsPerSecond)-len(w.recent(now)), 0)
}

// WithFlow returns the window with one more new flow at this time.
func (w Window) WithFlow(now time.Time) Window {
	return Window{flowTimes: append(w.recent(now), now), startedAt: w.startedAt}
}

// recent returns the times of the flows within the window that ends now.
func (w Window) recent(now time.Time) []time.Time {
	expired := 0
	for expired < len(w.flowTimes) && now.Sub(w.flowTimes[expired]) > windowLength {
		expired++
	}
	return slices.Clip(w.flowTimes[expired:])
}
