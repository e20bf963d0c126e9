package relay

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/hold"
	"github.com/crocuslanding/crocuslanding/core/pkg/outlier"
	"github.com/crocuslanding/crocuslanding/core/pkg/presence"
	"github.com/crocuslanding/crocuslanding/core/pkg/warmup"
)

const (
	// handshakeTime is the longest time for which a caller tries to open a flow, with some slack: its attempt
	// ends after 1.4 s.
	handshakeTime = 3 * time.Second
	// requestTime is the time after which a request without an answer no longer counts as work: longer than any
	// caller of today waits.
	requestTime = 10 * time.Second
	// maxFlows bounds the memory of the table.
	maxFlows = 1 << 16
)

// flow is what the sidecar knows of one flow at its upstream. It is immutable.
type flow struct {
	stage   landing.FlowState
	initial uint32
	// acknowledged is the last number that the caller acknowledged.
	acknowledged uint32
	// since is the time at which the upstream first answered; the zero time before that.
	since time.Time
	// home is the balancer to which the flow must still be claimed for the upstream's incarnation; 0 for none.
	home  uint64
	heard time.Time
	// sent is the end of the last data that the caller has sent; data up to it is sent again.
	sent uint32
	// asked is the time of a request that the upstream has not answered yet; the zero time when there is none.
	asked time.Time
	// hasFinished says that the upstream has ended its side, so that it resets a request that comes after that.
	hasFinished bool
	// isOverdue says that the request has counted as a failure.
	isOverdue bool
}

func (f flow) withStage(s landing.FlowState) flow {
	f.stage = s
	return f
}

// table holds the flows of the upstream. Its methods may be called from several goroutines.
type table struct {
	mu      sync.Mutex
	flows   map[landing.FlowKey]flow
	running int
	usual   time.Duration
	// measured is the number of requests in the average.
	measured int
	window   warmup.Window
	record   outlier.History
	// entering are the flows that were just let in and whose first request is under way.
	entering map[landing.FlowKey]time.Time
}

func newTable(now time.Time) *table {
	return &table{flows: map[landing.FlowKey]flow{}, entering: map[landing.FlowKey]time.Time{}, window: warmup.New(now)}
}

// decide decides what to do with a caller's segment and notes the change of the flow's stage. Refuse is asked
// for segments that open a flow.
func (t *table) decide(s landing.Segment, at landing.ChainPosition, unknown landing.FlowState, refuse func(load) landing.Refusal, now time.Time) landing.SegmentAction {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, found := t.flows[s.Key()]
	if found && s.IsSyn() && f.initial != s.SequenceNumber() {
		// The caller uses its port again, so the new flow passes the gate like any other.
		t.remove(s.Key())
		found = false
	}
	if !found {
		f = flow{stage: unknown}
	}
	refusal := landing.RefusalUnspecified
	if s.IsSyn() && !found {
		refusal = refuse(t.present())
		if len(t.flows) >= maxFlows && refusal == landing.RefusalUnspecified {
			refusal = landing.RefusalRoom
		}
	}
	step := hold.Decide(f.stage, s, at, refusal)
	switch step.(type) {
	case landing.AdmitFlow:
		t.window = t.window.WithFlow(now)
		t.record = t.record.WithNewFlow(now)
		t.flows[s.Key()] = flow{
			stage:   landing.FlowAdmitted{}.WithInitialSequenceNumber(s.SequenceNumber()),
			initial: s.SequenceNumber(),
			sent:    s.SequenceNumber(),
			heard:   now,
		}
	case landing.CompleteHandshake:
		t.put(s.Key(), t.noteCaller(f.withStage(landing.FlowEstablished{}), s, now))
	case landing.Deliver, landing.DeliverAndForward:
		if found {
			t.put(s.Key(), t.noteCaller(f, s, now))
		}
	case landing.ForwardToNext, landing.ReturnToBalancer, landing.ResetFlow, landing.DropSegment, landing.AbandonHandshake, landing.DeferAdmission, landing.ReturnToDeferrer, landing.OfferToUpstream:
	}
	return step
}

// noteCaller returns the flow after a segment of its caller.
func (t *table) noteCaller(f flow, s landing.Segment, now time.Time) flow {
	f.heard = now
	if s.HasAck() {
		f.acknowledged = s.AcknowledgementNumber()
	}
	end := s.SequenceNumber() + s.PayloadBytes()
	if s.PayloadBytes() > 0 && isAfter(end, f.sent) {
		f.sent = end
		if f.asked.IsZero() {
			f.asked = now
			f.isOverdue = false
			t.running++
			delete(t.entering, s.Key())
		}
	}
	if s.IsReset() || s.HasFin() {
		f = t.endRequest(f)
	}
	return f
}

// isAfter compares sequence numbers, which wrap around.
func isAfter(a, b uint32) bool {
	return int32(a-b) > 0
}

// noteUpstream notes a segment that the upstream sends to a caller. It returns the time that a request took when the
// segment begins its answer, else 0.
func (t *table) noteUpstream(s landing.Segment, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, found := t.flows[s.Key()]
	if !found {
		f = flow{stage: landing.FlowAdmitted{}, sent: s.AcknowledgementNumber()}
	}
	f.heard = now
	switch stage := f.stage.(type) {
	case landing.FlowAdmitted:
		f.since = now
		if s.IsSynAck() {
			f.stage = landing.FlowHalfOpen{}.WithInitialSequenceNumber(stage.InitialSequenceNumber()).WithExpectedAcknowledgement(s.SequenceNumber() + 1)
		} else if !s.IsReset() {
			f.stage = landing.FlowEstablished{}
		}
	case landing.FlowUnknown:
		f.since = now
		f.stage = landing.FlowEstablished{}
	case landing.FlowHalfOpen, landing.FlowEstablished, landing.FlowAbsent:
	}
	t.noteOutcome(f, s, now)
	f.hasFinished = f.hasFinished || s.HasFin()
	took := time.Duration(0)
	if s.PayloadBytes() > 0 && !f.asked.IsZero() {
		took = max(now.Sub(f.asked), 1)
		if !s.IsServerError() {
			t.noteTime(took)
		}
		f = t.endRequest(f)
	}
	t.put(s.Key(), f)
	if s.IsReset() {
		t.remove(s.Key())
	}
	return took
}

func (t *table) put(k landing.FlowKey, f flow) {
	t.flows[k] = f
}

// openSince returns the time at which the upstream first answered on a flow that it is known to hold.
func (t *table) openSince(k landing.FlowKey) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flows[k]
	_, isOpen := f.stage.(landing.FlowEstablished)
	return f.since, isOpen
}

// noteHome notes the balancer to which a flow must be claimed after the next heartbeat.
func (t *table) noteHome(k landing.FlowKey, home uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f, found := t.flows[k]; found {
		f.home = home
		t.flows[k] = f
	}
}

// unclaimed is a flow with the balancer to which it is claimed.
type unclaimed struct {
	key  landing.FlowKey
	home uint64
}

// takeUnclaimed returns the flows that are known to be this incarnation's and have not been claimed for it yet.
func (t *table) takeUnclaimed(p landing.UpstreamState) []unclaimed {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []unclaimed
	for k, f := range t.flows {
		if _, isOpen := f.stage.(landing.FlowEstablished); isOpen && f.home != 0 && presence.OwnsFlow(p, f.since) {
			list = append(list, unclaimed{key: k, home: f.home})
			f.home = 0
			t.flows[k] = f
		}
	}
	return list
}

// held returns the flows that are known to be this incarnation's and have been open since before this time, in order, and
// at most this many.
func (t *table) held(p landing.UpstreamState, before time.Time, most int) []landing.HeldFlow {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []landing.HeldFlow
	for k, f := range t.flows {
		if _, isOpen := f.stage.(landing.FlowEstablished); isOpen && f.since.Before(before) && presence.OwnsFlow(p, f.since) && len(list) < most {
			list = append(list, landing.HeldFlow{}.WithKey(k).WithLastAcknowledged(f.acknowledged))
		}
	}
	slices.SortFunc(list, func(a, b landing.HeldFlow) int { return compareKeys(a.Key(), b.Key()) })
	return list
}

func compareKeys(a, b landing.FlowKey) int {
	return cmp.Or(
		cmp.Compare(a.SourceAddress(), b.SourceAddress()), cmp.Compare(a.SourcePort(), b.SourcePort()),
		cmp.Compare(a.DestinationAddress(), b.DestinationAddress()), cmp.Compare(a.DestinationPort(), b.DestinationPort()))
}

// has says whether the flow is in the table.
func (t *table) has(k landing.FlowKey) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, found := t.flows[k]
	return found
}

// forget removes a flow that the upstream does not hold.
func (t *table) forget(k landing.FlowKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(k)
}

func (t *table) remove(k landing.FlowKey) {
	f, found := t.flows[k]
	if !found {
		return
	}
	t.endRequest(f)
	delete(t.flows, k)
}

// expire removes flows that have been silent for this time, and handshakes that were never completed.
func (t *table) expire(idle time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, f := range t.flows {
		_, isOpen := f.stage.(landing.FlowEstablished)
		silent := now.Sub(f.heard)
		if silent > idle || (!isOpen && silent > handshakeTime) {
			t.remove(k)
		} else if !f.asked.IsZero() && now.Sub(f.asked) > requestTime {
			t.flows[k] = t.endRequest(f)
		}
	}
}

// clear removes the flows that were opened up to this time and returns those that the upstream held. A handshake that was
// not completed here may have been elsewhere. Of flows opened later only the upstream knows whether it holds them.
func (t *table) clear(at time.Time) []landing.HeldFlow {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []landing.HeldFlow
	for k, f := range t.flows {
		_, isOpen := f.stage.(landing.FlowEstablished)
		switch {
		case f.since.IsZero():
		case !f.since.After(at):
			if isOpen {
				list = append(list, landing.HeldFlow{}.WithKey(k).WithLastAcknowledged(f.acknowledged))
			}
			t.remove(k)
		case isOpen:
			f = t.endRequest(f)
			f.home = 0
			t.flows[k] = f.withStage(landing.FlowUnknown{})
		}
	}
	t.usual, t.measured = 0, 0
	t.record = outlier.History{}
	return list
}
