package relay

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/hold"
	"github.com/crocuslanding/crocuslanding/core/pkg/occupancy"
	"github.com/crocuslanding/crocuslanding/core/pkg/outlier"
	"github.com/crocuslanding/crocuslanding/core/pkg/presence"
	"github.com/crocuslanding/crocuslanding/core/pkg/warmup"
)

const (
	// handshakeTimeout is the time after which an incomplete handshake is removed. It is longer than a caller
	// tries to open a flow, which is 1.4 s.
	handshakeTimeout = 3 * time.Second
	// endedTimeout is the time without a packet after which a flow that both ends have ended is removed. Until
	// then the last packets may still be sent again, at intervals of at most 1.6 s.
	endedTimeout = 5 * time.Second
	// maxFlows limits the memory of the table.
	maxFlows = 1 << 16
)

// table holds the flows of the upstream and its load. Its methods may be called from several goroutines,
// except for those that require that it is locked.
type table struct {
	mu    sync.Mutex
	flows map[landing.FlowKey]flow
	// ledger holds the requests that the upstream has not responded to.
	ledger occupancy.Ledger
	// requestTimeout returns the time for which the caller of a flow waits for a response; 0 when it is not
	// known.
	requestTimeout func(landing.FlowKey) time.Duration
	// newFlows are the recent admissions, which limit new flows in cold start.
	newFlows warmup.Window
	// history is the history of the outcomes of requests, from which the upstream may be ejected.
	history outlier.History
	// offers holds the last packet of each flow of unknown state that was offered to the upstream.
	offers     map[landing.FlowKey]offer
	suspension suspension
}

// offer is a packet that was offered to the upstream to learn whether it holds the flow.
type offer struct {
	offeredAt time.Time
	// balancerAddress is the address of the balancer that sent the packet.
	balancerAddress uint64
	// hasRequest reports whether the packet has a payload.
	hasRequest bool
	// isAccepted reports whether the upstream has shown since that it holds the flow.
	isAccepted bool
}

func newTable(now time.Time, requestTimeout func(landing.FlowKey) time.Duration) *table {
	return &table{flows: map[landing.FlowKey]flow{}, offers: map[landing.FlowKey]offer{}, requestTimeout: requestTimeout, newFlows: warmup.New(now)}
}

// decide returns the action for a segment from a caller and records the new state of the flow. untracked is
// the state of flows that are not in the table. refusalReason is called for segments that open a flow.
func (t *table) decide(s landing.Segment, position landing.ChainPosition, untracked landing.FlowState, refusalReason func(upstreamLoad) landing.Refusal, now time.Time) landing.SegmentAction {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, found := t.flows[s.Key()]
	if !found {
		f = flow{state: untracked}
	}
	_, isUnknown := f.state.(landing.FlowUnknown)
	opensFlow := s.IsSyn() && (!found || isUnknown || f.initialSequence != s.SequenceNumber())
	refusal := landing.RefusalUnspecified
	if opensFlow {
		// A new flow from a port that the caller has used before is admitted or refused like any other.
		f = t.replaceLocked(s.Key(), f, untracked)
		refusal = refusalReason(t.loadLocked(now))
		if len(t.flows) >= maxFlows && refusal == landing.RefusalUnspecified {
			refusal = landing.RefusalRoom
		}
	}
	action := hold.Decide(f.state, s, position, refusal)
	switch action.(type) {
	case landing.AdmitFlow:
		t.newFlows = t.newFlows.WithFlow(now)
		t.history = t.history.WithNewFlow(now)
		t.flows[s.Key()] = flow{
			state:            landing.FlowAdmitted{}.WithInitialSequenceNumber(s.SequenceNumber()).WithOpenFlowPossible(f.isOpenFlowPossible()),
			initialSequence:  s.SequenceNumber(),
			sentEnd:          s.SequenceNumber(),
			lastSegmentAt:    now,
			replacesOpenFlow: t.hasLocked(s.Key()),
		}
	case landing.OfferToUpstream:
		if found {
			f.lastSegmentAt = now
			t.put(s.Key(), f)
		}
	case landing.CompleteHandshake:
		t.put(s.Key(), t.withCallerSegment(f.withState(landing.FlowEstablished{}), s, now))
	case landing.Deliver, landing.DeliverAndForward:
		if found {
			t.put(s.Key(), t.withCallerSegment(f, s, now))
		}
	case landing.ForwardToNext, landing.ReturnToBalancer, landing.ResetFlow, landing.DropSegment, landing.AbandonHandshake, landing.DeferAdmission, landing.ReturnToDeferrer:
	}
	return action
}

// replaceLocked ends flow f because of a SYN that opens a flow with the same key, and returns the flow by which that SYN
// is decided. The SYN may be a late copy while f is still open, so the entry of f remains, in the state FlowUnknown.
// The entry of a handshake that has replaced no open flow is removed. t must be locked.
func (t *table) replaceLocked(k landing.FlowKey, f flow, untracked landing.FlowState) flow {
	if !t.hasLocked(k) {
		return f
	}
	isOpenFlowPossible := f.isOpenFlowPossible()
	t.endHandshakeLocked(k)
	if t.hasLocked(k) {
		t.makeUnknownLocked(k)
		return t.flows[k]
	}
	if isOpenFlowPossible {
		return flow{state: landing.FlowUnknown{}}
	}
	return flow{state: untracked}
}

// endHandshakeLocked ends the handshake of a flow, if it is incomplete. The entry is removed, or remains in the state
// FlowUnknown when it has replaced one of a flow that may be open. t must be locked.
func (t *table) endHandshakeLocked(k landing.FlowKey) {
	f := t.flows[k]
	switch {
	case !f.isInHandshake():
	case f.replacesOpenFlow:
		t.makeUnknownLocked(k)
	default:
		t.removeLocked(k)
	}
}

// makeUnknownLocked changes the state of a flow to FlowUnknown, in which it holds no slot. t must be locked.
func (t *table) makeUnknownLocked(k landing.FlowKey) {
	f := t.flows[k]
	f.claimBalancer = 0
	t.ledger = t.ledger.Without(k)
	t.put(k, f.withState(landing.FlowUnknown{}))
}

// withdrawAdmission takes back the admission of a flow whose SYN has not been delivered to the upstream.
func (t *table) withdrawAdmission(k landing.FlowKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.newFlows = t.newFlows.WithoutLast()
	t.endHandshakeLocked(k)
}

// recordReturn records that the upstream has returned a segment of a caller, because it does not hold the flow or cannot
// accept the segment. A returned SYN shows only that it opens no flow, so an open flow gets the state FlowUnknown.
// Any other returned segment shows that the upstream holds no open flow; a handshake with the same key continues.
// recordReturn reports whether it has removed the entry of a flow that was open or may have been.
func (t *table) recordReturn(s landing.Segment) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, found := t.flows[s.Key()]
	switch {
	case f.isInHandshake() && s.IsSyn():
		t.endHandshakeLocked(s.Key())
	case found && s.IsSyn():
		t.makeUnknownLocked(s.Key())
	case f.isInHandshake() && f.isOpenFlowPossible():
		delete(t.offers, s.Key())
		t.put(s.Key(), f.withoutOpenFlow())
	default:
		t.removeLocked(s.Key())
		return found && !f.isInHandshake()
	}
	return false
}

// withCallerSegment returns the flow after a segment from its caller, and updates the ledger. t must be locked.
func (t *table) withCallerSegment(f flow, s landing.Segment, now time.Time) flow {
	f.lastSegmentAt = now
	if s.HasAck() {
		f.lastAcknowledged = s.AcknowledgementNumber()
	}
	end := s.SequenceNumber() + s.PayloadBytes()
	if s.PayloadBytes() > 0 && isAfter(end, f.sentEnd) {
		f.sentEnd = end
		// Packets can arrive out of order: a FIN can come before the request that precedes it.
		if !f.hasCallerFin {
			t.ledger = t.ledger.WithRequest(s.Key(), t.requestTimeout(s.Key()), now)
		}
	}
	f.hasCallerFin = f.hasCallerFin || s.HasFin()
	if s.IsReset() || s.HasFin() {
		t.ledger = t.ledger.Without(s.Key())
	}
	return f
}

// laterSequence returns the later of two sequence numbers. 0 stands for an unknown number, which is the earlier one.
func laterSequence(a, b uint32) uint32 {
	if a == 0 || isAfter(b, a) {
		return b
	}
	return a
}

// isAfter reports whether sequence number a is after b. Sequence numbers wrap around.
func isAfter(a, b uint32) bool {
	return int32(a-b) > 0
}

// recordUpstreamSegment records a segment that the upstream sends to a caller. If the segment begins the
// response to a request, it returns the latency of that request, otherwise 0.
func (t *table) recordUpstreamSegment(s landing.Segment, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, found := t.flows[s.Key()]
	if !found {
		f = flow{state: landing.FlowUnknown{}}
	}
	f.lastSegmentAt = now
	switch {
	case !s.IsSynAck() && !s.IsReset():
		f = t.withUpstreamAcceptance(f, s, now)
	case s.IsSynAck() && (!found || f.isInHandshake()):
		f = f.withSynAck(s, now)
	}
	t.recordOutcome(f, s, now)
	f.hasUpstreamFin = f.hasUpstreamFin || s.HasFin()
	latency := time.Duration(0)
	if request, found := t.ledger.Find(s.Key()); found && s.PayloadBytes() > 0 {
		latency = max(now.Sub(request.ArrivedAt()), 1)
		t.ledger = t.ledger.WithResponse(s.Key(), s.IsServerError() || t.suspension.hasInterrupted(request.ArrivedAt()), now)
	}
	if s.HasFin() && s.PayloadBytes() == 0 && s.SequenceNumber() == f.responseEnd {
		t.ledger = t.ledger.Without(s.Key())
	}
	f.responseEnd = laterSequence(f.responseEnd, s.SequenceNumber()+s.PayloadBytes())
	t.put(s.Key(), f)
	switch {
	case s.IsReset() && f.isInHandshake():
		// The upstream has refused the SYN, which says nothing about an open flow.
		t.endHandshakeLocked(s.Key())
	case s.IsReset():
		t.removeLocked(s.Key())
	}
	return latency
}

// withUpstreamAcceptance returns the flow after a segment that an upstream sends only in an open flow, and updates the
// ledger and the offer. t must be locked.
func (t *table) withUpstreamAcceptance(f flow, s landing.Segment, now time.Time) flow {
	switch state := f.state.(type) {
	case landing.FlowAdmitted:
		t.ledger = t.ledger.Without(s.Key())
		f = f.withOpenFlowFound(s, now)
	case landing.FlowHalfOpen:
		if state.OpenFlowPossible() {
			// The SYN was a late copy, after which no first request follows.
			t.ledger = t.ledger.Without(s.Key())
			f = f.withOpenFlowFound(s, now)
		}
	case landing.FlowUnknown:
		f = f.withOpenFlowFound(s, now)
	case landing.FlowEstablished, landing.FlowAbsent:
	}
	o, isOffered := t.offers[s.Key()]
	if !isOffered || o.isAccepted {
		return f
	}
	if o.hasRequest && s.HasAck() {
		// The upstream processes the request that was offered to it.
		t.ledger = t.ledger.WithRequest(s.Key(), t.requestTimeout(s.Key()), o.offeredAt)
	}
	o.isAccepted = true
	t.offers[s.Key()] = o
	return f
}

// recordAlive records that the process runs now.
func (t *table) recordAlive(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspension = t.suspension.withAlive(now)
}

// recordOffer records a packet of an unknown flow that is offered to the upstream.
func (t *table) recordOffer(s landing.Segment, balancerAddress uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.offers) < maxFlows {
		t.offers[s.Key()] = offer{offeredAt: now, balancerAddress: balancerAddress, hasRequest: s.PayloadBytes() > 0}
	}
}

// takeOffer removes the offer of a flow that the upstream has accepted, and returns the balancer that sent the packet;
// false when there is none.
func (t *table) takeOffer(k landing.FlowKey) (uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.offers[k]
	if o.isAccepted {
		delete(t.offers, k)
	}
	return o.balancerAddress, o.isAccepted
}

func (t *table) put(k landing.FlowKey, f flow) {
	t.flows[k] = f
}

// firstReplyTime returns the time of the first segment from the upstream in flow k; false when the flow is
// not established.
func (t *table) firstReplyTime(k landing.FlowKey) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flows[k]
	_, isOpen := f.state.(landing.FlowEstablished)
	return f.firstReplyAt, isOpen
}

// setClaimBalancer sets the balancer to which flow k must be claimed after the next heartbeat.
func (t *table) setClaimBalancer(k landing.FlowKey, balancerAddress uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f, found := t.flows[k]; found {
		f.claimBalancer = balancerAddress
		t.flows[k] = f
	}
}

// pendingClaim is a flow with the address of the balancer to which it is claimed.
type pendingClaim struct {
	key             landing.FlowKey
	balancerAddress uint64
}

// takePendingClaims returns the established flows that must still be claimed and certainly belong to the
// upstream's current process, and marks them as claimed.
func (t *table) takePendingClaims(upstream landing.UpstreamState) []pendingClaim {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []pendingClaim
	for k, f := range t.flows {
		if _, isOpen := f.state.(landing.FlowEstablished); isOpen && f.claimBalancer != 0 && presence.OwnsFlow(upstream, f.firstReplyAt) {
			list = append(list, pendingClaim{key: k, balancerAddress: f.claimBalancer})
			f.claimBalancer = 0
			t.flows[k] = f
		}
	}
	return list
}

// heldFlows returns the established flows that certainly belong to the upstream's current process and were
// opened before this time, ordered by key. It leaves out flows that the caller or the upstream has ended with a
// FIN, which need no reset after a failure. It returns at most limit flows.
func (t *table) heldFlows(upstream landing.UpstreamState, before time.Time, limit int) []landing.HeldFlow {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []landing.HeldFlow
	for k, f := range t.flows {
		if f.hasCallerFin || f.hasUpstreamFin || len(list) >= limit {
			continue
		}
		if _, isOpen := f.state.(landing.FlowEstablished); isOpen && f.firstReplyAt.Before(before) && presence.OwnsFlow(upstream, f.firstReplyAt) {
			list = append(list, landing.HeldFlow{}.WithKey(k).WithLastAcknowledged(f.lastAcknowledged))
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

// has reports whether the flow is in the table.
func (t *table) has(k landing.FlowKey) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasLocked(k)
}

// hasLocked reports whether the table has an entry for the flow. t must be locked.
func (t *table) hasLocked(k landing.FlowKey) bool {
	_, found := t.flows[k]
	return found
}

// remove removes a flow that the upstream does not hold, if it is in the table.
func (t *table) remove(k landing.FlowKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeLocked(k)
}

// removeLocked does the same as remove. t must be locked.
func (t *table) removeLocked(k landing.FlowKey) {
	delete(t.offers, k)
	if _, found := t.flows[k]; found {
		t.ledger = t.ledger.Without(k)
		delete(t.flows, k)
	}
}

// expire removes flows without a segment for longer than idleTimeout, or than endedTimeout if both ends have ended
// the flow. A flow in the state FlowUnknown may be open, so it stays until the idle timeout. Incomplete handshakes end,
// and offers are removed, after handshakeTimeout.
func (t *table) expire(idleTimeout time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, f := range t.flows {
		switch silence := now.Sub(f.lastSegmentAt); {
		case silence > idleTimeout || f.hasEnded() && silence > endedTimeout:
			t.removeLocked(k)
		case silence > handshakeTimeout:
			t.endHandshakeLocked(k)
		}
	}
	for k, o := range t.offers {
		if now.Sub(o.offeredAt) > handshakeTimeout {
			delete(t.offers, k)
		}
	}
}

// clear removes the flows that were opened up to the time until, since the process of the upstream to which
// they belonged has ended. A flow counts as opened when the upstream sends its first segment. clear returns
// those of the removed flows that were established, to be reset. The caller of a half-open flow may have
// completed its handshake with another sidecar, so that flow must not be reset. An established flow that was
// opened later may belong to the next process: its state becomes FlowUnknown, since only the upstream knows
// whether it holds the flow. The average latency and the history of outcomes start anew.
func (t *table) clear(until time.Time) []landing.HeldFlow {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []landing.HeldFlow
	for k, f := range t.flows {
		_, isOpen := f.state.(landing.FlowEstablished)
		switch {
		case f.firstReplyAt.IsZero():
		case !f.firstReplyAt.After(until):
			if isOpen {
				list = append(list, landing.HeldFlow{}.WithKey(k).WithLastAcknowledged(f.lastAcknowledged))
			}
			t.removeLocked(k)
		case isOpen:
			t.makeUnknownLocked(k)
		}
	}
	t.ledger = t.ledger.WithoutLatency()
	t.history = outlier.History{}
	return list
}
