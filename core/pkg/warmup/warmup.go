// Package warmup limits the rate of new flows of an upstream in cold start, the time after its
// start in which it can process little.
//
// When the upstreams of an availability zone come back into service, every balancer immediately
// sends them new flows, of which an upstream in cold start can process only a few per second. The
// limit applies to every period of one second, not only to the seconds of the clock.
package warmup

import (
	"math"
	"slices"
	"time"
)

const (
	// windowLength is the length of the sliding window.
	windowLength = time.Second
	// minFlowsPerSecond is the number of new flows per second that every upstream may get, whatever
	// its limit, so that it warms up.
	minFlowsPerSecond = 3
	// unlimited is the number of admissible flows of an upstream for which the routing rules set no
	// limit.
	unlimited = math.MaxInt32
)

// Window holds the times of the latest new flows of one upstream, as far as this process admitted
// them. It is immutable. The zero value has no flows and is that of a process that started long
// ago.
type Window struct {
	// flowTimes are the times of new flows, oldest first.
	flowTimes []time.Time
	// startedAt is the start time of the process that admits the flows.
	startedAt time.Time
}

// New returns the window of a process that starts now. The process does not know which flows its
// predecessor admitted just before. So in its first second it applies half of the limit; the two
// processes together then stay within about one and a half times the limit.
func New(now time.Time) Window {
	return Window{startedAt: now}
}

// AdmissibleFlows returns how many more new flows the upstream may get now, when flowsPerSecond is
// the limit for any period of one second. A limit of 0 means that there is none.
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

// WithoutLast returns the window without the last new flow, which has not been passed to the upstream.
func (w Window) WithoutLast() Window {
	if len(w.flowTimes) > 0 {
		w.flowTimes = slices.Clip(w.flowTimes[:len(w.flowTimes)-1])
	}
	return w
}

// recent returns the times of the flows within the last windowLength.
func (w Window) recent(now time.Time) []time.Time {
	expired := 0
	for expired < len(w.flowTimes) && now.Sub(w.flowTimes[expired]) > windowLength {
		expired++
	}
	return slices.Clip(w.flowTimes[expired:])
}
