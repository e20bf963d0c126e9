package relay

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// recordOutcome records whether the request of flow f failed, if segment s from the upstream ends that
// request. t must be locked.
func (t *table) recordOutcome(f flow, s landing.Segment, now time.Time) {
	request, found := t.ledger.Find(s.Key())
	switch {
	case !found || request.IsOverdue():
	case s.PayloadBytes() > 0:
		t.history = t.history.WithOutcome(s.IsServerError(), now)
	case s.IsReset() && !f.hasUpstreamFin:
		t.history = t.history.WithOutcome(true, now)
	}
}

// recordOverdueRequests counts as failures the requests whose response takes much longer than the average.
// Shortly after a suspension it counts none, since their responses may have arrived meanwhile.
func (t *table) recordOverdueRequests(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.suspension.hasJustResumed(now) {
		return
	}
	ledger, failures := t.ledger.WithOverdue(now)
	t.ledger = ledger
	for range failures {
		t.history = t.history.WithOutcome(true, now)
	}
}

// logEjection logs when the upstream was ejected or has become healthy again since the previous load, and
// counts ejections.
func (f *Forwarder) logEjection(previous, current upstreamLoad, now time.Time) {
	switch {
	case current.history.IsEjected(now) && !previous.history.IsEjected(now):
		f.telemetry.Counters().Counter("ejected").Inc(1)
		f.telemetry.Log().Info("upstream ejected", "failing", current.history.FailureRate(), "running", current.runningRequests, "flows", current.flowCount)
	case current.history.IsHealthy(now) && !previous.history.IsHealthy(now):
		f.telemetry.Log().Info("upstream trusted again", "failing", current.history.FailureRate())
	}
}
