package front

import (
	"net/netip"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/envelope"
	"github.com/crocuslanding/crocuslanding/core/pkg/hold"
	"github.com/crocuslanding/crocuslanding/core/pkg/packet"
	"github.com/crocuslanding/crocuslanding/core/pkg/plan"
	"github.com/crocuslanding/crocuslanding/sidecar/pkg/keeper"
)

// handle takes one datagram.
func (f *Front) handle(b []byte) {
	e, err := envelope.Parse(b)
	if err != nil {
		f.common.Counters().CountRefusal(landing.RefusalMalformed)
		return
	}
	snapshot := f.source()
	if !e.HasValidTag(snapshot.Keys()) {
		f.common.Counters().CountRefusal(landing.RefusalTag)
		return
	}
	s, err := packet.Parse(e.Packet())
	if err != nil {
		f.common.Counters().CountRefusal(landing.RefusalMalformed)
		return
	}
	if e.ServiceTag() != plan.ServiceTag(snapshot.Target().Service()) {
		f.common.Counters().CountRefusal(landing.RefusalForeign)
		return
	}
	f.noteRoster(e.RosterSerialLow())
	f.carryOut(f.decide(e, s, snapshot), e, s, snapshot.Keys())
}

func (f *Front) decide(e envelope.Envelope, s landing.Segment, snapshot keeper.Snapshot) landing.SegmentAction {
	at := landing.ChainPosition{}.
		WithHasNext(e.HasNextHop()).
		WithHasMore(e.HasMoreParts()).
		WithDeferredEarlier(e.IsDeferred()).
		WithReturnedToDeferrer(e.IsRecalled())
	if !s.IsSyn() {
		at = at.WithMayReset(f.mayReset(e, s))
		return f.table.Decide(s, at, "", landing.RefusalUnspecified)
	}
	customer, refusal := f.check(s, snapshot)
	if refusal == landing.RefusalForeign {
		return landing.DropSegment{}.WithReason(refusal)
	}
	return f.table.Decide(s, at.WithUpstreamBusy(f.busy()), customer, refusal)
}

// check returns the customer that opens a flow, and the reason why the flow may not be taken here.
func (f *Front) check(s landing.Segment, snapshot keeper.Snapshot) (string, landing.Refusal) {
	access, refusal := snapshot.Authorize(s.Key())
	if refusal != landing.RefusalUnspecified {
		return "", refusal
	}
	customer := access.Customer().Name()
	if snapshot.IsExcluded() {
		return customer, landing.RefusalOut
	}
	if !snapshot.IsServing() || f.table.Len() >= f.connections {
		return customer, landing.RefusalRoom
	}
	if f.table.FlowsOf(customer) >= snapshot.FlowLimit(access.Grant()) {
		return customer, landing.RefusalCapacity
	}
	return customer, landing.RefusalUnspecified
}

func (f *Front) mayReset(e envelope.Envelope, s landing.Segment) bool {
	if e.HasNextHop() || e.HasMoreParts() || s.IsReset() {
		return false
	}
	if _, held := f.table.Find(s.Key()); held {
		return false
	}
	now := time.Now()
	return hold.MayReset(f.misses.first(s.Key(), now), now, e.RosterSerialLow(), f.newest.Load())
}

func (f *Front) carryOut(step landing.SegmentAction, e envelope.Envelope, s landing.Segment, keys *envelope.Keys) {
	switch step := step.(type) {
	case landing.AdmitFlow, landing.Deliver, landing.CompleteHandshake:
		f.stack.Inject(e.Packet())
	case landing.ForwardToNext:
		f.pass(e, keys)
	case landing.DeliverAndForward:
		f.stack.Inject(e.Packet())
		f.pass(e, keys)
	case landing.DeferAdmission:
		e.Defer()
		f.pass(e, keys)
	case landing.ReturnToDeferrer:
		f.common.Counters().Counter("recalled").Inc(1)
		f.forward(e, e.Recall(), keys)
	case landing.ReturnToBalancer:
		f.common.Counters().Counter("returned").Inc(1)
		f.forward(e, e.Balancer(), keys)
	case landing.ResetFlow:
		f.reset(e, step.Reason())
	case landing.DropSegment:
		f.common.Counters().CountRefusal(step.Reason())
	case landing.AbandonHandshake:
		f.replace(s.Key())
	case landing.OfferToUpstream:
		// Flows end in this process, so it always knows which it holds.
	}
}

func (f *Front) pass(e envelope.Envelope, keys *envelope.Keys) {
	f.common.Counters().Counter("passed").Inc(1)
	f.forward(e, e.Advance(), keys)
}

// forward seals the changed datagram and sends it on.
func (f *Front) forward(e envelope.Envelope, to netip.AddrPort, keys *envelope.Keys) {
	e.Sign(keys)
	f.send(e.Bytes(), to)
}

func (f *Front) reset(e envelope.Envelope, reason landing.Refusal) {
	f.common.Counters().CountRefusal(reason)
	b, err := packet.NewReset(e.Packet())
	if err == nil {
		f.send(b, f.fabric)
	}
}

// replace gives up the handshake of flow k by resetting it as the caller would.
func (f *Front) replace(k landing.FlowKey) {
	entry, held := f.table.Find(k)
	if !held {
		return
	}
	half, ok := entry.Stage().(landing.FlowHalfOpen)
	if !ok {
		return
	}
	f.stack.Inject(packet.NewCallerReset(k, half.InitialSequenceNumber()+1))
}

// noteRoster notes the newest roster that any balancer is known to use.
func (f *Front) noteRoster(serial uint32) {
	for {
		newest := f.newest.Load()
		if serial <= newest || f.newest.CompareAndSwap(newest, serial) {
			return
		}
	}
}
