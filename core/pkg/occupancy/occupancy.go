// Package occupancy estimates how many slots of an upstream are in use. A slot is one of the requests
// that the upstream processes at once.
//
// The load pattern that it answers is the return of all callers after an outage. Many callers give
// up while their requests are on the way, and packets are lost and arrive out of order, so the
// sidecar does not see the end of each request. When such requests keep their slots, a few of them
// stop the admission of new flows to an upstream that is idle. So a request without a response
// holds its slot for a limited time, which follows the latencies of the upstream and the patience
// of the callers.
package occupancy

import (
	"slices"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

const (
	// overtakenFactor is the multiple of the average latency after which a request no longer holds
	// its slot, if the upstream has responded to a request that arrived later. An upstream processes
	// requests in order of arrival, and one in a thousand takes longer than four times the average.
	overtakenFactor = 4
	// overdueFactor is the multiple of the average latency after which a request is overdue.
	overdueFactor = 10
	// overdueAfter is the time after which a request is overdue, unless overdueFactor requires a
	// longer one or its caller gives up earlier.
	overdueAfter = time.Second
	// overdueShareOfTimeout is the part of a caller's timeout after which its request is overdue at
	// the latest: half of it, so that the failure shows before the caller gives up.
	overdueShareOfTimeout = 2
	// averageDivisor limits the length of the moving averages: a new value has at least the weight
	// 1/averageDivisor.
	averageDivisor = 32
	// minMeasured is the number of requests from which the average latency is reported to balancers.
	minMeasured = 16
	// firstRequestFactor is the multiple of the average time from the admission of a flow to its
	// first request after which the flow no longer reserves a slot.
	firstRequestFactor = 3
	// unmeasuredReservation is the duration of a reservation until a first request has been seen: a
	// handshake and two network transits.
	unmeasuredReservation = 40 * time.Millisecond
	// minReservation and maxReservation are the limits of the duration of a reservation.
	minReservation = 5 * time.Millisecond
	maxReservation = 100 * time.Millisecond
)

// Request is a request without a response.
type Request struct {
	key       landing.FlowKey
	arrivedAt time.Time
	// timeout is the time for which the caller waits for a response; 0 when it is not known.
	timeout time.Duration
	// isOvertaken reports whether the upstream has responded to a request that arrived later.
	isOvertaken bool
	// isOverdue reports whether WithOverdue has counted the request.
	isOverdue bool
}

// ArrivedAt returns the time at which the request arrived.
func (r Request) ArrivedAt() time.Time {
	return r.arrivedAt
}

// IsOverdue reports whether the request already counts as failed.
func (r Request) IsOverdue() bool {
	return r.isOverdue
}

// Ledger holds the requests without a response and the flows whose first request is expected. It is
// immutable. The zero value is the ledger of a new upstream.
type Ledger struct {
	// requests are in order of arrival.
	requests []Request
	// reservations are in order of admission.
	reservations []reservation
	latency      average
	// firstRequestDelay is the time from the admission of a flow to its first request.
	firstRequestDelay average
}

// reservation is the slot that is kept free for the first request of an admitted flow.
type reservation struct {
	key        landing.FlowKey
	admittedAt time.Time
}

// WithAdmission returns the ledger after a flow was admitted, whose first request is expected soon.
func (l Ledger) WithAdmission(key landing.FlowKey, now time.Time) Ledger {
	l.reservations = append(l.currentReservations(now), reservation{key: key, admittedAt: now})
	return l
}

// WithRequest returns the ledger after a request arrived whose caller waits for this time. A flow
// has one request at a time: another one is ignored.
func (l Ledger) WithRequest(key landing.FlowKey, timeout time.Duration, now time.Time) Ledger {
	if _, found := l.Find(key); found {
		return l
	}
	if i := slices.IndexFunc(l.reservations, func(r reservation) bool { return r.key == key }); i >= 0 {
		l.firstRequestDelay = l.firstRequestDelay.with(now.Sub(l.reservations[i].admittedAt))
		l.reservations = slices.Delete(slices.Clone(l.reservations), i, i+1)
	}
	l.requests = append(slices.Clip(l.requests), Request{key: key, arrivedAt: now, timeout: timeout})
	return l
}

// WithResponse returns the ledger after the upstream has begun to respond to the request of a flow.
// The latency of a response that is an error is not recorded, since it says nothing about the time
// that other requests take.
func (l Ledger) WithResponse(key landing.FlowKey, isError bool, now time.Time) Ledger {
	answered, found := l.Find(key)
	if !found {
		return l
	}
	if !isError {
		l.latency = l.latency.with(max(now.Sub(answered.arrivedAt), 1))
	}
	l.requests = slices.Clone(l.requests)
	for i, r := range l.requests {
		l.requests[i].isOvertaken = r.isOvertaken || r.arrivedAt.Before(answered.arrivedAt)
	}
	return l.Without(key)
}

// Without returns the ledger without the request and the reservation of a flow.
func (l Ledger) Without(key landing.FlowKey) Ledger {
	l.requests = slices.DeleteFunc(slices.Clone(l.requests), func(r Request) bool { return r.key == key })
	l.reservations = slices.DeleteFunc(slices.Clone(l.reservations), func(r reservation) bool { return r.key == key })
	return l
}

// WithoutLatency returns the ledger without the latencies, which were those of another process.
func (l Ledger) WithoutLatency() Ledger {
	l.latency = average{}
	return l
}

// WithOverdue returns the ledger in which the requests that are overdue now are marked, and the
// number of them that were not marked before.
func (l Ledger) WithOverdue(now time.Time) (Ledger, int) {
	l.requests = slices.Clone(l.requests)
	count := 0
	for i, r := range l.requests {
		if !r.isOverdue && now.Sub(r.arrivedAt) > l.overdueTime(r) {
			l.requests[i].isOverdue = true
			count++
		}
	}
	return l, count
}

// Find returns the request of a flow without a response, if there is one.
func (l Ledger) Find(key landing.FlowKey) (Request, bool) {
	i := slices.IndexFunc(l.requests, func(r Request) bool { return r.key == key })
	if i < 0 {
		return Request{}, false
	}
	return l.requests[i], true
}

// RunningRequests returns the estimated number of requests that hold a slot or wait for one at the
// upstream.
func (l Ledger) RunningRequests(now time.Time) int {
	running := 0
	for _, r := range l.requests {
		if now.Before(l.lapseOf(r)) {
			running++
		}
	}
	return running
}

// BusySlots returns the number of running requests and of flows whose first request is expected.
func (l Ledger) BusySlots(now time.Time) int {
	return l.RunningRequests(now) + len(l.currentReservations(now))
}

// NextLapse returns the next time at which BusySlots falls although nothing else happens; false when
// there is none.
func (l Ledger) NextLapse(now time.Time) (time.Time, bool) {
	var next time.Time
	consider := func(lapse time.Time) {
		if lapse.After(now) && (next.IsZero() || lapse.Before(next)) {
			next = lapse
		}
	}
	for _, r := range l.requests {
		consider(l.lapseOf(r))
	}
	for _, r := range l.reservations {
		consider(r.admittedAt.Add(l.reservationTime()))
	}
	return next, !next.IsZero()
}

// AverageLatency returns the moving average of the latencies; 0 before the first response.
func (l Ledger) AverageLatency() time.Duration {
	return l.latency.value
}

// IsMeasured reports whether AverageLatency is based on enough requests.
func (l Ledger) IsMeasured() bool {
	return l.latency.count >= minMeasured
}

// lapseOf returns the time from which a request no longer holds a slot.
func (l Ledger) lapseOf(r Request) time.Time {
	held := l.overdueTime(r)
	if r.isOvertaken {
		held = min(held, overtakenFactor*l.latency.value)
	}
	return r.arrivedAt.Add(held)
}

// overdueTime returns the time after its arrival at which a request is overdue.
func (l Ledger) overdueTime(r Request) time.Duration {
	limit := overdueAfter
	if r.timeout > 0 {
		limit = min(limit, r.timeout/overdueShareOfTimeout)
	}
	overdue := max(overdueFactor*l.latency.value, limit)
	if r.timeout > 0 {
		return min(overdue, r.timeout)
	}
	return overdue
}

// currentReservations returns the reservations that have not lapsed.
func (l Ledger) currentReservations(now time.Time) []reservation {
	lapsed := 0
	for lapsed < len(l.reservations) && now.Sub(l.reservations[lapsed].admittedAt) >= l.reservationTime() {
		lapsed++
	}
	return slices.Clip(l.reservations[lapsed:])
}

func (l Ledger) reservationTime() time.Duration {
	if l.firstRequestDelay.count == 0 {
		return unmeasuredReservation
	}
	return min(max(firstRequestFactor*l.firstRequestDelay.value, minReservation), maxReservation)
}

// average is a moving average. The first averageDivisor values have equal weights; after that, recent
// ones weigh more.
type average struct {
	value time.Duration
	count int
}

func (a average) with(value time.Duration) average {
	a.count++
	a.value += (value - a.value) / time.Duration(min(a.count, averageDivisor))
	return a
}
