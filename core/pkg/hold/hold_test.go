package hold

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

const seedCount = 3000

// brokenFlows returns the number of seeds for which the caller does not connect or the flow breaks.
func brokenFlows(decide decideFunc) int {
	broken := 0
	for seed := range uint64(seedCount) {
		if !flowSurvives(newSimulation(seed, decide)) {
			broken++
		}
	}
	return broken
}

// brokenFlowsAfterRestarts does the same as brokenFlows, with sidecars that restart while the flow is open.
func brokenFlowsAfterRestarts(decide decideFunc) int {
	broken := 0
	for seed := range uint64(seedCount) {
		s := newSimulation(seed, decide)
		s.hasRestarts = true
		if !flowSurvives(s) {
			broken++
		}
	}
	return broken
}

func flowSurvives(s *simulation) bool {
	s.connect()
	if !s.caller.connected {
		return false
	}
	for range 5 {
		if !s.sendData() {
			return false
		}
	}
	return true
}

func TestDecide_FlowSurvivesDisagreeingBalancers(t *testing.T) {
	is := is.New(t)
	is.Equal(brokenFlows(Decide), 0)
}

// Checks that the simulation detects a sidecar that does not forward segments of a handshake that
// the caller completed with another sidecar.
func TestSimulation_FlowBreaksWhenHalfOpenSidecarKeepsEverySegment(t *testing.T) {
	is := is.New(t)
	faulty := func(state landing.FlowState, s landing.Segment, position landing.ChainPosition, refusal landing.Refusal) landing.SegmentAction {
		if _, isHalfOpen := state.(landing.FlowHalfOpen); isHalfOpen && s.HasAck() {
			return landing.Deliver{}
		}
		return Decide(state, s, position, refusal)
	}
	is.True(brokenFlows(faulty) > 0)
}

// Checks that the simulation detects chains of which only the first sidecar is tried.
func TestSimulation_FlowBreaksWhenSegmentsAreNotForwarded(t *testing.T) {
	is := is.New(t)
	faulty := func(state landing.FlowState, s landing.Segment, position landing.ChainPosition, refusal landing.Refusal) landing.SegmentAction {
		return Decide(state, s, position.WithHasNext(false).WithMayReset(true), refusal)
	}
	is.True(brokenFlows(faulty) > 0)
}

func TestDecide_SynWithOtherSequenceNumberAbandonsHandshake(t *testing.T) {
	is := is.New(t)
	state := landing.FlowHalfOpen{}.WithInitialSequenceNumber(7).WithExpectedAcknowledgement(100)
	other := landing.Segment{}.WithIsSyn(true).WithSequenceNumber(8)
	is.Equal(Decide(state, other, landing.ChainPosition{}, landing.RefusalUnspecified), landing.SegmentAction(landing.AbandonHandshake{}))
	same := other.WithSequenceNumber(7)
	is.Equal(Decide(state, same, landing.ChainPosition{}, landing.RefusalUnspecified), landing.SegmentAction(landing.Deliver{}))
}

func TestMayReset_RequiresDelayAndCurrentRoster(t *testing.T) {
	is := is.New(t)
	firstMiss := time.Unix(1000, 0)
	is.True(!MayReset(firstMiss, firstMiss, 5, 5))
	is.True(!MayReset(firstMiss, firstMiss.Add(ResetDelay), 4, 5))
	is.True(MayReset(firstMiss, firstMiss.Add(ResetDelay), 5, 5))
}

func TestDecide_ReturnsToBalancerWhenChainHasMoreParts(t *testing.T) {
	is := is.New(t)
	position := landing.ChainPosition{}.WithHasMore(true).WithMayReset(true)
	is.Equal(Decide(landing.FlowAbsent{}, landing.Segment{}, position, landing.RefusalUnspecified), landing.SegmentAction(landing.ReturnToBalancer{}))
}

// offerNewFlow offers a SYN to a chain, written as one character for each sidecar: "f" has a free
// upstream, "b" has a busy upstream, and "r" refuses. It returns the index of the sidecar that
// admits the flow, or -1 if none does.
func offerNewFlow(chain string) int {
	syn := landing.Segment{}.WithIsSyn(true)
	deferred := -1
	isReturned := false
	for i := 0; ; {
		refusal := landing.RefusalUnspecified
		if chain[i] == 'r' {
			refusal = landing.RefusalOut
		}
		position := landing.ChainPosition{}.
			WithHasNext(i+1 < len(chain)).
			WithUpstreamBusy(chain[i] == 'b').
			WithDeferredEarlier(deferred >= 0).
			WithReturnedToDeferrer(isReturned)
		switch Decide(landing.FlowAbsent{}, syn, position, refusal).(type) {
		case landing.AdmitFlow:
			return i
		case landing.DeferAdmission:
			if deferred < 0 {
				deferred = i
			}
			i++
		case landing.ForwardToNext:
			i++
		case landing.ReturnToDeferrer:
			i = deferred
			isReturned = true
		case landing.ResetFlow, landing.DropSegment, landing.ReturnToBalancer, landing.Deliver, landing.CompleteHandshake, landing.DeliverAndForward, landing.AbandonHandshake, landing.OfferToUpstream:
			return -1
		}
	}
}

func TestDecide_NewFlowIsRefusedOnlyIfEverySidecarRefuses(t *testing.T) {
	for chain, want := range map[string]int{
		"f": 0, "b": 0, "r": -1, "bf": 1, "rf": 1, "br": 0, "rb": 1, "bb": 0, "rr": -1, "rbbr": 1, "bbrf": 3, "rrbr": 2,
	} {
		t.Run(chain, func(t *testing.T) {
			is := is.New(t)
			is.Equal(offerNewFlow(chain), want)
		})
	}
}

func ExampleDecide() {
	syn := landing.Segment{}.WithIsSyn(true)
	position := landing.ChainPosition{}.WithHasNext(true)
	fmt.Printf("%T\n", Decide(landing.FlowAbsent{}, syn, position, landing.RefusalUnspecified))
	fmt.Printf("%T\n", Decide(landing.FlowAbsent{}, syn, position, landing.RefusalRoom))
	fmt.Printf("%T\n", Decide(landing.FlowEstablished{}, landing.Segment{}, position, landing.RefusalUnspecified))
	// Output:
	// landing.AdmitFlow
	// landing.ForwardToNext
	// landing.Deliver
}

// A sidecar that starts while its upstream is already running has no record of the upstream's
// flows. It offers their segments to the upstream, which knows whether it holds the flow, and
// admits new flows like any other sidecar.
func TestDecide_UnknownFlowIsOfferedToUpstream(t *testing.T) {
	is := is.New(t)
	position := landing.ChainPosition{}.WithHasMore(true)
	data := landing.Segment{}.WithHasAck(true)
	is.Equal(Decide(landing.FlowUnknown{}, data, position, landing.RefusalUnspecified), landing.OfferToUpstream{})
	syn := landing.Segment{}.WithIsSyn(true)
	is.Equal(Decide(landing.FlowUnknown{}, syn, position, landing.RefusalUnspecified), landing.AdmitFlow{})
	is.Equal(Decide(landing.FlowUnknown{}, syn, position, landing.RefusalUnready), landing.ReturnToBalancer{})
}

// Guards against the reset of an open flow that a late copy of its SYN has masked. A sidecar that had been restarted
// admitted the copy and then reported that it did not hold the flow, until the handshake expired after 3 s.
func TestDecide_OpenFlowIsOfferedDuringLateHandshake(t *testing.T) {
	is := is.New(t)
	position := landing.ChainPosition{}.WithHasNext(true)
	data := landing.Segment{}.WithHasAck(true).WithAcknowledgementNumber(900)
	admitted := landing.FlowAdmitted{}.WithInitialSequenceNumber(7).WithOpenFlowPossible(true)
	halfOpen := landing.FlowHalfOpen{}.WithInitialSequenceNumber(7).WithExpectedAcknowledgement(501).WithOpenFlowPossible(true)
	for _, state := range []landing.FlowState{admitted, halfOpen} {
		is.Equal(Decide(state, data, position, landing.RefusalUnspecified), landing.OfferToUpstream{})
	}
	for _, state := range []landing.FlowState{admitted.WithOpenFlowPossible(false), halfOpen.WithOpenFlowPossible(false)} {
		is.Equal(Decide(state, data, position, landing.RefusalUnspecified), landing.ForwardToNext{})
	}
	is.Equal(Decide(halfOpen, data.WithAcknowledgementNumber(501), position, landing.RefusalUnspecified), landing.CompleteHandshake{})
}

// Late copies of the SYN of an open flow arrive at sidecars that have been restarted while their upstreams run.
func TestDecide_OpenFlowSurvivesLateSynAtRestartedSidecars(t *testing.T) {
	is := is.New(t)
	is.Equal(brokenFlowsAfterRestarts(Decide), 0)
}

// Checks that the simulation detects a sidecar that forwards the segments of a flow that a late SYN has masked.
func TestSimulation_FlowBreaksWhenLateSynMasksIt(t *testing.T) {
	is := is.New(t)
	faulty := func(state landing.FlowState, s landing.Segment, position landing.ChainPosition, refusal landing.Refusal) landing.SegmentAction {
		if halfOpen, isHalfOpen := state.(landing.FlowHalfOpen); isHalfOpen {
			state = halfOpen.WithOpenFlowPossible(false)
		}
		return Decide(state, s, position, refusal)
	}
	is.True(brokenFlowsAfterRestarts(faulty) > 0)
}
