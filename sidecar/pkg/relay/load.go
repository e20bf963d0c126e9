package relay

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/outlier"
	"github.com/crocuslanding/crocuslanding/core/pkg/warmup"
)

// upstreamLoad is the load of the upstream as its sidecar observes it.
type upstreamLoad struct {
	// flowCount is the number of flows in the table.
	flowCount int
	// runningRequests is the number of requests that the upstream processes or holds in its queue, as estimated
	// from the packets that passed.
	runningRequests int
	// busySlots is the number of running requests and of flows whose first request is expected.
	busySlots      int
	averageLatency time.Duration
	// isMeasured reports whether averageLatency is based on enough requests.
	isMeasured bool
	// newFlows are the recent admissions.
	newFlows warmup.Window
	// history is the history of the outcomes of requests.
	history outlier.History
}

// isEjected reports whether balancers should offer new flows to other upstreams first, because this one fails
// requests. It is false while a flow of its trial is due: balancers offer flows to three sidecars, and would
// never offer one to an ejected upstream while three others are healthy.
func (l upstreamLoad) isEjected(now time.Time) bool {
	return !l.history.AdmitsNewFlow(now)
}

func (t *table) load(now time.Time) upstreamLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loadLocked(now)
}

func (t *table) loadLocked(now time.Time) upstreamLoad {
	return upstreamLoad{
		flowCount:       len(t.flows),
		runningRequests: t.ledger.RunningRequests(now),
		busySlots:       t.ledger.BusySlots(now),
		averageLatency:  t.ledger.AverageLatency(),
		isMeasured:      t.ledger.IsMeasured(),
		newFlows:        t.newFlows,
		history:         t.history,
	}
}

// recordAdmission records that a flow was admitted whose first request is expected soon.
func (t *table) recordAdmission(k landing.FlowKey, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger = t.ledger.WithAdmission(k, now)
}

// busySlots returns the number of slots that are used by running requests or reserved for the first
// requests of flows that were just admitted.
func (t *table) busySlots(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.BusySlots(now)
}

// nextLapse returns the next time at which the number of busy slots falls although no packet arrives; false
// when there is none.
func (t *table) nextLapse(now time.Time) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.NextLapse(now)
}
