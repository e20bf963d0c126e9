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
func Decide(stage landing.Stage, s landing.Segment, at landing.Position, refusal landing.Refusal) landing.Step {
	switch stage := stage.(type) {
	case landing.Absent:
		return decideAbsent(s, at, refusal)
	case landing.Taken:
		return decideTaken(stage, s, at)
	case landing.Half:
		return decideHalf(stage, s, at)
	case landing.Open:
		return landing.Deliver{}
	case landing.Unsure:
		return decideUnsure(s, at, refusal)
	}
	return drops[landing.RefusalMalformed]
}

// decideUnsure leaves it to the upstream whether it holds the flow of a segment that does not open one.
func decideUnsure(s landing.Segment, at landing.Position, refusal landing.Refusal) landing.Step {
	if s.Opening() {
		return decideAbsent(s, at, refusal)
	}
	return landing.Ask{}
}

func decideAbsent(s landing.Segment, at landing.Position, refusal landing.Refusal) landing.Step {
	if !s.Opening() {
		return passOn(at)
	}
	if refusal == landing.RefusalUnspecified {
		return takeOrDefer(at)
	}
	if isFinal(refusal) {
		return resets[refusal]
	}
	if at.Next() && !at.Recalled() {
		return landing.Pass{}
	}
	if at.Deferred() && !at.Recalled() {
		return landing.Recall{}
	}
	if at.More() {
		return landing.Return{}
	}
	return resets[refusal]
}

// takeOrDefer prefers a later sidecar while the upstream here is busy. When none takes the flow,
// the first one that was merely busy does.
func takeOrDefer(at landing.Position) landing.Step {
	if !at.Busy() || at.Recalled() {
		return landing.Take{}
	}
	if at.Next() {
		return landing.Defer{}
	}
	if at.Deferred() {
		return landing.Recall{}
	}
	return landing.Take{}
}

// isFinal says whether every other sidecar of the service would refuse for the same reason.
func isFinal(r landing.Refusal) bool {
	return r == landing.RefusalPlan || r == landing.RefusalCaller || r == landing.RefusalForeign
}

func decideTaken(stage landing.Taken, s landing.Segment, at landing.Position) landing.Step {
	if !s.Opening() {
		return passOn(at)
	}
	return decideAgain(stage.Initial(), s)
}

// decideAgain returns the step for a second opening of a flow whose handshake is not complete.
func decideAgain(initial uint32, s landing.Segment) landing.Step {
	if s.Sequence() == initial {
		return landing.Deliver{}
	}
	return landing.Replace{}
}

func decideHalf(stage landing.Half, s landing.Segment, at landing.Position) landing.Step {
	if s.Opening() {
		return decideAgain(stage.Initial(), s)
	}
	if s.Acknowledges() && s.Acknowledged() == stage.Expected() {
		return landing.Complete{}
	}
	if !s.Resets() {
		return passOn(at)
	}
	if at.Next() {
		return landing.Both{}
	}
	return landing.Deliver{}
}

// passOn returns the step for a segment of a flow that is not held here.
func passOn(at landing.Position) landing.Step {
	if at.Next() {
		return landing.Pass{}
	}
	if at.More() {
		return landing.Return{}
	}
	if at.Final() {
		return resets[landing.RefusalUnknown]
	}
	return drops[landing.RefusalUnknown]
}

var (
	drops  = newDrops()
	resets = newResets()
)

func newDrops() []landing.Step {
	list := make([]landing.Step, landing.RefusalLeaving+1)
	for i := range list {
		list[i] = landing.Drop{}.WithReason(landing.Refusal(i))
	}
	return list
}

func newResets() []landing.Step {
	list := make([]landing.Step, landing.RefusalLeaving+1)
	for i := range list {
		list[i] = landing.Reset{}.WithReason(landing.Refusal(i))
	}
	return list
}
