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

// handleDatagram decides about the packet in one datagram and carries out the action.
func (f *Forwarder) handleDatagram(b []byte) {
	e, err := envelope.Parse(b)
	if err != nil {
		f.telemetry.Counters().CountRefusal(landing.RefusalMalformed)
		return
	}
	snapshot := f.source()
	if !e.HasValidTag(snapshot.Keys()) {
		f.telemetry.Counters().CountRefusal(landing.RefusalTag)
		return
	}
	s, err := packet.Parse(e.Packet())
	if err != nil {
		f.telemetry.Counters().CountRefusal(landing.RefusalMalformed)
		return
	}
	if e.ServiceTag() != plan.ServiceTag(snapshot.Target().Service()) {
		f.telemetry.Counters().CountRefusal(landing.RefusalForeign)
		return
	}
	f.recordRosterSerial(e.RosterSerialLow())
	f.execute(f.decide(e, s, snapshot), e, s, snapshot.Keys())
}

// decide returns the action for segment s and records the new state of its flow.
func (f *Forwarder) decide(e envelope.Envelope, s landing.Segment, snapshot keeper.Snapshot) landing.SegmentAction {
	position := landing.ChainPosition{}.
		WithHasNext(e.HasNextHop()).
		WithHasMore(e.HasMoreParts()).
		WithDeferredEarlier(e.IsDeferred()).
		WithReturnedToDeferrer(e.IsRecalled())
	if !s.IsSyn() {
		position = position.WithMayReset(f.mayReset(e, s))
		return f.table.Decide(s, position, "", landing.RefusalUnspecified)
	}
	customer, refusal := f.authorize(s, snapshot)
	if refusal == landing.RefusalForeign {
		return landing.DropSegment{}.WithReason(refusal)
	}
	return f.table.Decide(s, position.WithUpstreamBusy(f.isBusy()), customer, refusal)
}

// authorize returns the customer that opens a flow, and the reason why this sidecar may not admit the
// flow; RefusalUnspecified when it may.
func (f *Forwarder) authorize(s landing.Segment, snapshot keeper.Snapshot) (string, landing.Refusal) {
	access, refusal := snapshot.Authorize(s.Key())
	if refusal != landing.RefusalUnspecified {
		return "", refusal
	}
	customer := access.Customer().Name()
	if snapshot.IsExcluded() {
		return customer, landing.RefusalOut
	}
	if !snapshot.IsServing() || f.table.Len() >= f.maxFlows {
		return customer, landing.RefusalRoom
	}
	if f.table.CustomerFlowCount(customer) >= snapshot.FlowLimit(access.Grant()) {
		return customer, landing.RefusalCapacity
	}
	return customer, landing.RefusalUnspecified
}

// mayReset reports whether segment s, which does not open a flow, may be answered with a reset because no
// sidecar of the service holds the flow of s.
func (f *Forwarder) mayReset(e envelope.Envelope, s landing.Segment) bool {
	if e.HasNextHop() || e.HasMoreParts() || s.IsReset() {
		return false
	}
	if _, held := f.table.Find(s.Key()); held {
		return false
	}
	now := time.Now()
	return hold.MayReset(f.misses.firstMiss(s.Key(), now), now, e.RosterSerialLow(), f.newestRosterSerial.Load())
}

// execute carries out the action for segment s of datagram e.
func (f *Forwarder) execute(action landing.SegmentAction, e envelope.Envelope, s landing.Segment, keys *envelope.Keys) {
	switch action := action.(type) {
	case landing.AdmitFlow, landing.Deliver, landing.CompleteHandshake:
		f.stack.Inject(e.Packet())
	case landing.ForwardToNext:
		f.forwardToNext(e, keys)
	case landing.DeliverAndForward:
		f.stack.Inject(e.Packet())
		f.forwardToNext(e, keys)
	case landing.DeferAdmission:
		e.Defer()
		f.forwardToNext(e, keys)
	case landing.ReturnToDeferrer:
		f.telemetry.Counters().Counter("recalled").Inc(1)
		f.signAndSend(e, e.Recall(), keys)
	case landing.ReturnToBalancer:
		f.telemetry.Counters().Counter("returned").Inc(1)
		f.signAndSend(e, e.Balancer(), keys)
	case landing.ResetFlow:
		f.sendReset(e, action.Reason())
	case landing.DropSegment:
		f.telemetry.Counters().CountRefusal(action.Reason())
	case landing.AbandonHandshake:
		f.abandonHandshake(s.Key())
	case landing.OfferToUpstream:
		// Only a sidecar whose upstream terminates TCP itself offers segments to the upstream. This sidecar
		// terminates TCP, so its table contains all flows of the upstream.
	}
}

func (f *Forwarder) forwardToNext(e envelope.Envelope, keys *envelope.Keys) {
	f.telemetry.Counters().Counter("passed").Inc(1)
	f.signAndSend(e, e.Advance(), keys)
}

// signAndSend signs the changed datagram and sends it to the address to.
func (f *Forwarder) signAndSend(e envelope.Envelope, to netip.AddrPort, keys *envelope.Keys) {
	e.Sign(keys)
	f.send(e.Bytes(), to)
}

// sendReset refuses the flow of datagram e: it counts the reason and sends a reset to the caller.
func (f *Forwarder) sendReset(e envelope.Envelope, reason landing.Refusal) {
	f.telemetry.Counters().CountRefusal(reason)
	b, err := packet.NewReset(e.Packet())
	if err == nil {
		f.send(b, f.fabric)
	}
}

// abandonHandshake ends the handshake of flow k by passing the stack a reset that seems to come from the
// caller.
func (f *Forwarder) abandonHandshake(k landing.FlowKey) {
	entry, held := f.table.Find(k)
	if !held {
		return
	}
	halfOpen, ok := entry.State().(landing.FlowHalfOpen)
	if !ok {
		return
	}
	f.stack.Inject(packet.NewCallerReset(k, halfOpen.InitialSequenceNumber()+1))
}

// recordRosterSerial records the roster serial number in a datagram if it is the highest so far.
func (f *Forwarder) recordRosterSerial(serial uint32) {
	for {
		newest := f.newestRosterSerial.Load()
		if serial <= newest || f.newestRosterSerial.CompareAndSwap(newest, serial) {
			return
		}
	}
}
