package relay

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/outlier"
	"github.com/crocuslanding/crocuslanding/core/pkg/warmup"
)

const (
	// firstRequestTimeout is the longest time from the admission of a flow to its first request: a handshake
	// and two network transits. After that, a flow without a request does not count as using a slot.
	firstRequestTimeout = 40 * time.Millisecond
	// averageDivisor limits the length of the moving average: a new latency has at least the weight
	// 1/averageDivisor.
	averageDivisor = 32
	// minMeasuredRequests is the number of requests from which the average latency is reported to balancers.
	minMeasuredRequests = 16
)

// upstreamLoad is the load of the upstream as its sidecar observes it.
type upstreamLoad struct {
	// flowCount is the number of flows in the table.
	flowCount int
	// runningRequests is the number of requests without a response.
	runningRequests int
	averageLatency  time.Duration
	// isMeasured reports whether averageLatency is based on enough requests.
	isMeasured bool
	// newFlows are the recent admissions.
	newFlows warmup.Window
	// history is the history of the outcomes of requests.
	history outlier.History
}

func (t *table) load() upstreamLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loadLocked()
}

func (t *table) loadLocked() upstreamLoad {
	return upstreamLoad{
		flowCount:       len(t.flows),
		runningRequests: t.runningRequests,
		averageLatency:  t.averageLatency,
		isMeasured:      t.measuredRequests >= minMeasuredRequests,
		newFlows:        t.newFlows,
		history:         t.history,
	}
}

// recordAdmission records that a flow was admitted whose first request is expected soon.
func (t *table) recordAdmission(k landing.FlowKey, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.firstRequestPending[k] = now
}

// busySlots returns the number of slots that are used by running requests or reserved for the first
// requests of flows that were just admitted.
func (t *table) busySlots(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, at := range t.firstRequestPending {
		if now.Sub(at) > firstRequestTimeout {
			delete(t.firstRequestPending, k)
		}
	}
	return t.runningRequests + len(t.firstRequestPending)
}

// endRequest returns the flow without a running request and lowers the number of running requests. t must
// be locked.
func (t *table) endRequest(f flow) flow {
	if !f.requestAt.IsZero() {
		f.requestAt = time.Time{}
		t.runningRequests--
	}
	return f
}

// recordLatency adds the latency of a request to the moving average. The first averageDivisor requests have
// equal weights; after that, recent ones weigh more. t must be locked.
func (t *table) recordLatency(latency time.Duration) {
	t.measuredRequests++
	t.averageLatency += (latency - t.averageLatency) / time.Duration(min(t.measuredRequests, averageDivisor))
}
