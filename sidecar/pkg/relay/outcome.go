package relay

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

const (
	// overdueFactor is how many times as long as usual a request may take before it counts as a failure.
	overdueFactor = 10
	// leastOverdue is the least time for that: callers of today call an answer late after 200 to 800 ms.
	leastOverdue = time.Second
)

// noteOutcome notes how a request has ended when segment s of the upstream ends it. The lock must be held.
func (t *table) noteOutcome(f flow, s landing.Segment, now time.Time) {
	switch {
	case f.asked.IsZero() || f.isOverdue:
	case s.PayloadBytes() > 0:
		t.record = t.record.WithOutcome(s.IsServerError(), now)
	case s.IsReset() && !f.hasFinished:
		t.record = t.record.WithOutcome(true, now)
	}
}

// noteOverdue counts requests without an answer for much longer than usual as failures.
func (t *table) noteOverdue(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := max(overdueFactor*t.usual, leastOverdue)
	for k, f := range t.flows {
		if !f.asked.IsZero() && !f.isOverdue && now.Sub(f.asked) > limit {
			f.isOverdue = true
			t.flows[k] = f
			t.record = t.record.WithOutcome(true, now)
		}
	}
}

// logEjection logs and counts when the upstream is ejected or trusted again, since the tick before.
func (t *Forwarder) logEjection(before, after load, now time.Time) {
	switch {
	case after.record.IsEjected(now) && !before.record.IsEjected(now):
		t.common.Counters().Counter("ejected").Inc(1)
		t.common.Log().Info("upstream ejected", "failing", after.record.FailureRate(), "running", after.running, "flows", after.flows)
	case after.record.IsHealthy(now) && !before.record.IsHealthy(now):
		t.common.Log().Info("upstream trusted again", "failing", after.record.FailureRate())
	}
}
