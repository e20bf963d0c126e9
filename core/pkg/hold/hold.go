// Package hold decides what a sidecar does with a segment: hand it to the flow it holds,
// take a new flow, or pass it on along the chain. It knows nothing of sockets, time or encodings.
//
// A first packet that is sent again through a balancer with another roster may open the same flow
// at two sidecars. The caller completes one handshake. The sidecar with the other one passes on
// every segment that does not acknowledge its own part of the handshake, so the flow lives on.
package hold

import "github.com/crocuslanding/crocuslanding/core/gen/landing"

// Decide returns the step for segment s of a flow in this stage, at this position of its chain.
// The refusal is the reason why a new flow may not be taken here; RefusalUnspecified when it may.
func Decide(stage landing.FlowState, s landing.Segment, at landing.ChainPosition, refusal landing.Refusal) landing.SegmentAction {
	switch stage := stage.(type) {
	case landing.FlowAbsent:
		return decideAbsent(s, at, refusal)
	case landing.FlowAdmitted:
		return decideTaken(stage, s, at)
	case landing.FlowHalfOpen:
		return decideHalf(stage, s, at)
	case landing.FlowEstablished:
		return landing.Deliver{}
	case landing.FlowUnknown:
		return decideUnsure(s, at, refusal)
	}
	return drops[landing.RefusalMalformed]
}

// decideUnsure leaves it to the upstream whether it holds the flow of a segment that does not open one.
func decideUnsure(s landing.Segment, at landing.ChainPosition, refusal landing.Refusal) landing.SegmentAction {
	if s.IsSyn() {
		return decideAbsent(s, at, refusal)
	}
	return landing.OfferToUpstream{}
}

func decideAbsent(s landing.Segment, at landing.ChainPosition, refusal landing.Refusal) landing.SegmentAction {
	if !s.IsSyn() {
		return passOn(at)
	}
	if refusal == landing.RefusalUnspecified {
		return takeOrDefer(at)
	}
	if isFinal(refusal) {
		return resets[refusal]
	}
	if at.HasNext() && !at.ReturnedToDeferrer() {
		return landing.ForwardToNext{}
	}
	if at.DeferredEarlier() && !at.ReturnedToDeferrer() {
		return landing.ReturnToDeferrer{}
	}
	if at.HasMore() {
		return landing.ReturnToBalancer{}
	}
	return resets[refusal]
}

// takeOrDefer prefers a later sidecar while the upstream here is busy. When none takes the flow,
// the first one that was merely busy does.
func takeOrDefer(at landing.ChainPosition) landing.SegmentAction {
	if !at.UpstreamBusy() || at.ReturnedToDeferrer() {
		return landing.AdmitFlow{}
	}
	if at.HasNext() {
		return landing.DeferAdmission{}
	}
	if at.DeferredEarlier() {
		return landing.ReturnToDeferrer{}
	}
	return landing.AdmitFlow{}
}

// isFinal says whether every other sidecar of the service would refuse for the same reason.
func isFinal(r landing.Refusal) bool {
	return r == landing.RefusalPlan || r == landing.RefusalCaller || r == landing.RefusalForeign
}

func decideTaken(stage landing.FlowAdmitted, s landing.Segment, at landing.ChainPosition) landing.SegmentAction {
	if !s.IsSyn() {
		return passOn(at)
	}
	return decideAgain(stage.InitialSequenceNumber(), s)
}

// decideAgain returns the step for a second opening of a flow whose handshake is not complete.
func decideAgain(initial uint32, s landing.Segment) landing.SegmentAction {
	if s.SequenceNumber() == initial {
		return landing.Deliver{}
	}
	return landing.AbandonHandshake{}
}

func decideHalf(stage landing.FlowHalfOpen, s landing.Segment, at landing.ChainPosition) landing.SegmentAction {
	if s.IsSyn() {
		return decideAgain(stage.InitialSequenceNumber(), s)
	}
	if s.HasAck() && s.AcknowledgementNumber() == stage.ExpectedAcknowledgement() {
		return landing.CompleteHandshake{}
	}
	if !s.IsReset() {
		return passOn(at)
	}
	if at.HasNext() {
		return landing.DeliverAndForward{}
	}
	return landing.Deliver{}
}

// passOn returns the step for a segment of a flow that is not held here.
func passOn(at landing.ChainPosition) landing.SegmentAction {
	if at.HasNext() {
		return landing.ForwardToNext{}
	}
	if at.HasMore() {
		return landing.ReturnToBalancer{}
	}
	if at.MayReset() {
		return resets[landing.RefusalUnknown]
	}
	return drops[landing.RefusalUnknown]
}

var (
	drops  = newDrops()
	resets = newResets()
)

func newDrops() []landing.SegmentAction {
	list := make([]landing.SegmentAction, landing.RefusalLeaving+1)
	for i := range list {
		list[i] = landing.DropSegment{}.WithReason(landing.Refusal(i))
	}
	return list
}

func newResets() []landing.SegmentAction {
	list := make([]landing.SegmentAction, landing.RefusalLeaving+1)
	for i := range list {
		list[i] = landing.ResetFlow{}.WithReason(landing.Refusal(i))
	}
	return list
}
