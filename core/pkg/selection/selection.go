// Package selection decides at which sidecar of its chain a new flow is admitted.
//
// It is designed for many short requests to upstreams with few slots (the requests that an upstream
// processes at once). A balancer chooses the sidecars of the chain by statuses that are up to 250 ms
// old. An upstream with 22 ms of work for a request has by then begun ten others in each slot, so the
// statuses do not show where a slot is free. Each sidecar of the chain knows this of its own upstream.
// The flow goes to the first one with a free slot, unless a sidecar before it expects to respond in
// at most half the time. When none has a free slot, the flow waits where its response is expected
// first.
package selection

import "time"

const (
	// assumedRequestTime is the processing time that is assumed for a request until one has been
	// measured.
	assumedRequestTime = 50 * time.Millisecond
	// ejectionPenalty is added to the expected response time of an ejected upstream. It is longer than any
	// expected wait, so that such an upstream is the last choice.
	ejectionPenalty = 30 * time.Second
	// waitDivisor sets when a flow waits at another sidecar although a slot is free at this one: when the
	// response is expected there in half of the time. A wait can be twice as long as expected. With less
	// of a difference a free slot would be left for a wait that takes longer or that package backlog
	// refuses.
	waitDivisor = 2
)

// Upstream is the load of an upstream as its sidecar sees it.
type Upstream struct {
	// Slots is the number of requests that the upstream processes at once; 0 when it is not known.
	Slots int
	// BusySlots is the number of running requests and of flows whose first request is expected.
	BusySlots int
	// Waiting is the number of flows that wait for a slot.
	Waiting int
	// RequestTime is the average time that the upstream takes for a request; 0 before the first.
	RequestTime time.Duration
	// IsEjected reports whether the upstream gets no new flows while others admit them.
	IsEjected bool
	// HasEarlierCopy reports whether an earlier copy of the flow's opening packet waits for a slot of this
	// upstream.
	HasEarlierCopy bool
}

// HasFreeSlot reports whether a new request would begin at once.
func (u Upstream) HasFreeSlot() bool {
	return !u.IsEjected && (u.Slots == 0 || u.BusySlots+u.Waiting < u.Slots)
}

// ExpectedWait returns the time until a slot is free for another flow. It assumes that requests end at
// even intervals of ServiceTime/Slots.
func (u Upstream) ExpectedWait() time.Duration {
	if u.Slots == 0 {
		return 0
	}
	ahead := u.BusySlots + u.Waiting - u.Slots + 1
	return max(time.Duration(ahead)*u.ServiceTime()/time.Duration(u.Slots), 0)
}

// ExpectedResponse returns the time until the response to the first request of another flow.
func (u Upstream) ExpectedResponse() time.Duration {
	expected := u.ExpectedWait() + u.ServiceTime()
	if u.IsEjected {
		expected += ejectionPenalty
	}
	return expected
}

// ServiceTime returns the average time that the upstream takes for a request, or assumedRequestTime
// before the first.
func (u Upstream) ServiceTime() time.Duration {
	if u.RequestTime <= 0 {
		return assumedRequestTime
	}
	return u.RequestTime
}

// IsShortest reports whether the response is expected earlier from this upstream than from the one of
// the sidecar that has deferred the flow, which has stated its expected response time. A stated time of
// 0 means that there is none, and the result is true.
func IsShortest(u Upstream, stated time.Duration) bool {
	return stated == 0 || u.ExpectedResponse() < stated
}

// IsBusy reports whether the flow is better offered to the next sidecar: no slot is free, or the sidecar
// that has deferred the flow states at most half of this upstream's expected response time (waitDivisor). A
// flow that already waits here is not offered to others, since a second one could admit it.
func IsBusy(u Upstream, stated time.Duration) bool {
	if u.HasEarlierCopy {
		return false
	}
	return !u.HasFreeSlot() || stated > 0 && waitDivisor*stated <= u.ExpectedResponse()
}
