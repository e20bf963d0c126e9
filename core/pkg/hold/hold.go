// Package hold decides what a sidecar does with a TCP segment from a caller: deliver it to a flow
// that the sidecar holds, admit a new flow, or forward the segment along the chain, the sidecars of
// the service in the order in which they may take the flow. A packet carries one part of the chain;
// after the last sidecar of a part it returns to a balancer, which sends it along the next part.
// The package is independent of sockets, clocks and encodings.
//
// When a caller retransmits its SYN and the copy passes through a balancer with another roster
// (list of targets), two sidecars may admit the same flow. The caller completes the handshake with
// only one of them. The other sidecar forwards every segment that does not acknowledge its own
// SYN-ACK, so that the segments still reach the sidecar with which the caller is connected.
//
// A sidecar that started after its upstream has no record of the flows that the upstream holds. When a
// late copy of the SYN of such a flow arrives, the sidecar admits it as a new flow, but offers the
// segments that are not of the new handshake to the upstream, so that the copy does not mask the flow.
package hold

import "github.com/crocuslanding/crocuslanding/core/gen/landing"

// Decide returns the action for segment s, given the state of the segment's flow at this sidecar
// and the position of this sidecar in the chain. Refusal is the reason why this sidecar cannot
// admit a new flow, or RefusalUnspecified when it can.
func Decide(state landing.FlowState, s landing.Segment, position landing.ChainPosition, refusal landing.Refusal) landing.SegmentAction {
	switch state := state.(type) {
	case landing.FlowAbsent:
		return decideAbsent(s, position, refusal)
	case landing.FlowAdmitted:
		return decideAdmitted(state, s, position)
	case landing.FlowHalfOpen:
		return decideHalfOpen(state, s, position)
	case landing.FlowEstablished:
		return landing.Deliver{}
	case landing.FlowUnknown:
		return decideUnknown(s, position, refusal)
	}
	return dropActions[landing.RefusalMalformed]
}

// decideUnknown handles a flow of which this sidecar has no record although the upstream may hold
// it. A SYN is handled like that of a new flow; every other segment is offered to the upstream.
func decideUnknown(s landing.Segment, position landing.ChainPosition, refusal landing.Refusal) landing.SegmentAction {
	if s.IsSyn() {
		return decideAbsent(s, position, refusal)
	}
	return landing.OfferToUpstream{}
}

// decideAbsent handles a flow that this sidecar does not hold. A SYN that this sidecar refuses goes
// on to the sidecars that may still admit the flow. When there are none, the flow is reset.
func decideAbsent(s landing.Segment, position landing.ChainPosition, refusal landing.Refusal) landing.SegmentAction {
	if !s.IsSyn() {
		return forwardOrReject(position)
	}
	if refusal == landing.RefusalUnspecified {
		return admitOrDefer(position)
	}
	if isSameAtEverySidecar(refusal) {
		return resetActions[refusal]
	}
	if position.HasNext() && !position.ReturnedToDeferrer() {
		return landing.ForwardToNext{}
	}
	if position.DeferredEarlier() && !position.ReturnedToDeferrer() {
		return landing.ReturnToDeferrer{}
	}
	if position.HasMore() {
		return landing.ReturnToBalancer{}
	}
	return resetActions[refusal]
}

// admitOrDefer admits a new flow unless the upstream is busy and a later sidecar may admit it. If
// none does, the flow is admitted by the sidecar that expects to respond first: by this one, or by
// the one that deferred it, to which it returns.
func admitOrDefer(position landing.ChainPosition) landing.SegmentAction {
	if !position.UpstreamBusy() || position.ReturnedToDeferrer() {
		return landing.AdmitFlow{}
	}
	if position.HasNext() {
		return landing.DeferAdmission{}
	}
	if position.DeferredEarlier() && !position.ShortestWait() {
		return landing.ReturnToDeferrer{}
	}
	return landing.AdmitFlow{}
}

// isSameAtEverySidecar reports whether every other sidecar of the service would refuse the flow for
// the same reason, so that forwarding the SYN is pointless.
func isSameAtEverySidecar(refusal landing.Refusal) bool {
	return refusal == landing.RefusalPlan || refusal == landing.RefusalCaller || refusal == landing.RefusalForeign
}

// decideAdmitted handles a flow whose SYN-ACK has not been sent yet. Segments other than a SYN
// cannot belong to its handshake.
func decideAdmitted(state landing.FlowAdmitted, s landing.Segment, position landing.ChainPosition) landing.SegmentAction {
	if !s.IsSyn() {
		return decideOutsideHandshake(state.OpenFlowPossible(), position)
	}
	return decideRepeatedSyn(state.InitialSequenceNumber(), s)
}

// decideRepeatedSyn returns the action for a further SYN of a flow whose handshake is not complete.
// A retransmission has the same sequence number. A different sequence number means that the caller
// has started over.
func decideRepeatedSyn(initialSequence uint32, s landing.Segment) landing.SegmentAction {
	if s.SequenceNumber() == initialSequence {
		return landing.Deliver{}
	}
	return landing.AbandonHandshake{}
}

// decideHalfOpen handles a flow whose SYN-ACK has been sent. A reset may be meant for this sidecar
// or for a later one that also admitted the flow, so it is delivered to this sidecar's flow and
// also forwarded.
func decideHalfOpen(state landing.FlowHalfOpen, s landing.Segment, position landing.ChainPosition) landing.SegmentAction {
	if s.IsSyn() {
		return decideRepeatedSyn(state.InitialSequenceNumber(), s)
	}
	if s.HasAck() && s.AcknowledgementNumber() == state.ExpectedAcknowledgement() {
		return landing.CompleteHandshake{}
	}
	if !s.IsReset() {
		return decideOutsideHandshake(state.OpenFlowPossible(), position)
	}
	if position.HasNext() {
		return landing.DeliverAndForward{}
	}
	return landing.Deliver{}
}

// decideOutsideHandshake handles a segment that does not belong to the handshake of its flow at this
// sidecar. If the upstream may hold an open flow with the same key, the segment is offered to the
// upstream. Otherwise it belongs to a flow at another sidecar.
func decideOutsideHandshake(isOpenFlowPossible bool, position landing.ChainPosition) landing.SegmentAction {
	if isOpenFlowPossible {
		return landing.OfferToUpstream{}
	}
	return forwardOrReject(position)
}

// forwardOrReject returns the action for a segment other than a SYN that belongs to no flow of this
// sidecar. The flow is reset, or the segment dropped, only after the last sidecar of the whole
// chain.
func forwardOrReject(position landing.ChainPosition) landing.SegmentAction {
	if position.HasNext() {
		return landing.ForwardToNext{}
	}
	if position.HasMore() {
		return landing.ReturnToBalancer{}
	}
	if position.MayReset() {
		return resetActions[landing.RefusalUnknown]
	}
	return dropActions[landing.RefusalUnknown]
}

// dropActions and resetActions hold one prebuilt action for each Refusal, of which RefusalLeaving
// is the last.
var (
	dropActions  = newDropActions()
	resetActions = newResetActions()
)

func newDropActions() []landing.SegmentAction {
	actions := make([]landing.SegmentAction, landing.RefusalLeaving+1)
	for i := range actions {
		actions[i] = landing.DropSegment{}.WithReason(landing.Refusal(i))
	}
	return actions
}

func newResetActions() []landing.SegmentAction {
	actions := make([]landing.SegmentAction, landing.RefusalLeaving+1)
	for i := range actions {
		actions[i] = landing.ResetFlow{}.WithReason(landing.Refusal(i))
	}
	return actions
}
