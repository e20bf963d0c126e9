package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// Guards against a healthy upstream that is ejected, or that counts as slow and gets no flows, because its sidecar was
// suspended while requests ran. The responses then waited in the socket of the sidecar.
func TestTableIgnoresLatencyAcrossSuspension(t *testing.T) {
	is := is.New(t)
	tb := newTableWithFlow(t)
	tb.recordAlive(start)
	tb.decide(requestSegment(101), lastHop, landing.FlowAbsent{}, admitAll, start)
	resumedAt := start.Add(1200 * time.Millisecond)
	tb.recordAlive(resumedAt)
	tb.recordOverdueRequests(resumedAt)
	is.True(tb.load(resumedAt).history.IsHealthy(resumedAt))
	is.Equal(tb.recordUpstreamSegment(responseSegment, resumedAt), 1200*time.Millisecond)
	is.Equal(tb.load(resumedAt).averageLatency, time.Duration(0))
	is.Equal(tb.busySlots(resumedAt), 0)
	// The next request is measured as usual.
	tb.decide(requestSegment(201), lastHop, landing.FlowAbsent{}, admitAll, resumedAt)
	later := resumedAt.Add(60 * time.Millisecond)
	tb.recordUpstreamSegment(responseSegment.WithSequenceNumber(601), later)
	is.Equal(tb.load(later).averageLatency, 60*time.Millisecond)
}

// Guards against an upstream that hangs and is never ejected because its sidecar was suspended before.
func TestTableEjectsHangingUpstreamAfterSuspension(t *testing.T) {
	is := is.New(t)
	tb := newTableWithFlow(t)
	tb.recordAlive(start)
	tb.decide(requestSegment(101), lastHop, landing.FlowAbsent{}, admitAll, start)
	other := flowKey.WithSourcePort(9)
	tb.recordUpstreamSegment(landing.Segment{}.WithKey(other).WithHasAck(true).WithSequenceNumber(500), start)
	tb.decide(requestSegment(101).WithKey(other), lastHop, landing.FlowAbsent{}, admitAll, start)
	now := start.Add(1200 * time.Millisecond)
	for range 2 {
		tb.recordAlive(now)
		tb.recordOverdueRequests(now)
		now = now.Add(statusInterval)
	}
	is.True(tb.load(now).history.IsEjected(now))
}
