package hold

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

const seeds = 3000

// brokenFlows returns the number of seeds at which an established flow breaks.
func brokenFlows(d decision) int {
	broken := 0
	for seed := range uint64(seeds) {
		if !survives(newWorld(seed, d)) {
			broken++
		}
	}
	return broken
}

func survives(w *world) bool {
	w.open()
	if !w.caller.connected {
		return false
	}
	for range 5 {
		if !w.transfer() {
			return false
		}
	}
	return true
}

func TestFlowSurvivesFirstPacketThroughDisagreeingBalancers(t *testing.T) {
	is := is.New(t)
	is.Equal(brokenFlows(Decide), 0)
}

func TestFlowBreaksWhenHalfOpenSidecarKeepsForeignSegments(t *testing.T) {
	is := is.New(t)
	mutant := func(stage landing.FlowState, s landing.Segment, at landing.ChainPosition, r landing.Refusal) landing.SegmentAction {
		if _, half := stage.(landing.FlowHalfOpen); half && s.HasAck() {
			return landing.Deliver{}
		}
		return Decide(stage, s, at, r)
	}
	is.True(brokenFlows(mutant) > 0)
}

func TestFlowBreaksWithoutSecondChance(t *testing.T) {
	is := is.New(t)
	mutant := func(stage landing.FlowState, s landing.Segment, at landing.ChainPosition, r landing.Refusal) landing.SegmentAction {
		return Decide(stage, s, at.WithHasNext(false).WithMayReset(true), r)
	}
	is.True(brokenFlows(mutant) > 0)
}

func TestSecondOpeningWithAnotherSequenceNumberReplacesHalfOpenFlow(t *testing.T) {
	is := is.New(t)
	stage := landing.FlowHalfOpen{}.WithInitialSequenceNumber(7).WithExpectedAcknowledgement(100)
	again := landing.Segment{}.WithIsSyn(true).WithSequenceNumber(8)
	is.Equal(Decide(stage, again, landing.ChainPosition{}, landing.RefusalUnspecified), landing.SegmentAction(landing.AbandonHandshake{}))
	same := again.WithSequenceNumber(7)
	is.Equal(Decide(stage, same, landing.ChainPosition{}, landing.RefusalUnspecified), landing.SegmentAction(landing.Deliver{}))
}

func TestUnknownFlowIsResetOnlyWhenTheChainIsCurrent(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	is.True(!MayReset(start, start, 5, 5))
	is.True(!MayReset(start, start.Add(ResetDelay), 4, 5))
	is.True(MayReset(start, start.Add(ResetDelay), 5, 5))
}

func TestReturnedToBalancerWhenMoreSidecarsFollow(t *testing.T) {
	is := is.New(t)
	at := landing.ChainPosition{}.WithHasMore(true).WithMayReset(true)
	is.Equal(Decide(landing.FlowAbsent{}, landing.Segment{}, at, landing.RefusalUnspecified), landing.SegmentAction(landing.ReturnToBalancer{}))
}

// tryChain offers a new flow to sidecars that are free ("f"), busy ("b") or refuse ("r"), and returns the
// position of the one that takes it; -1 when it is refused.
func tryChain(chain string) int {
	opening := landing.Segment{}.WithIsSyn(true)
	deferred := -1
	isRecalled := false
	for i := 0; ; {
		refusal := landing.RefusalUnspecified
		if chain[i] == 'r' {
			refusal = landing.RefusalOut
		}
		at := landing.ChainPosition{}.
			WithHasNext(i+1 < len(chain)).
			WithUpstreamBusy(chain[i] == 'b').
			WithDeferredEarlier(deferred >= 0).
			WithReturnedToDeferrer(isRecalled)
		switch Decide(landing.FlowAbsent{}, opening, at, refusal).(type) {
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
			isRecalled = true
		case landing.ResetFlow, landing.DropSegment, landing.ReturnToBalancer, landing.Deliver, landing.CompleteHandshake, landing.DeliverAndForward, landing.AbandonHandshake, landing.OfferToUpstream:
			return -1
		}
	}
}

func TestNewFlowIsRefusedOnlyWhenEverySidecarRefuses(t *testing.T) {
	for chain, want := range map[string]int{
		"f": 0, "b": 0, "r": -1, "bf": 1, "rf": 1, "br": 0, "rb": 1, "bb": 0, "rr": -1, "rbbr": 1, "bbrf": 3, "rrbr": 2,
	} {
		t.Run(chain, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tryChain(chain), want)
		})
	}
}

func ExampleDecide() {
	opening := landing.Segment{}.WithIsSyn(true)
	at := landing.ChainPosition{}.WithHasNext(true)
	fmt.Printf("%T\n", Decide(landing.FlowAbsent{}, opening, at, landing.RefusalUnspecified))
	fmt.Printf("%T\n", Decide(landing.FlowAbsent{}, opening, at, landing.RefusalRoom))
	fmt.Printf("%T\n", Decide(landing.FlowEstablished{}, landing.Segment{}, at, landing.RefusalUnspecified))
	// Output:
	// landing.AdmitFlow
	// landing.ForwardToNext
	// landing.Deliver
}

// A sidecar that was started beside a living upstream leaves it to the upstream whether it holds a flow, and takes new
// flows like any other.
func TestUnsureSidecarAsksItsUpstream(t *testing.T) {
	is := is.New(t)
	at := landing.ChainPosition{}.WithHasMore(true)
	data := landing.Segment{}.WithHasAck(true)
	is.Equal(Decide(landing.FlowUnknown{}, data, at, landing.RefusalUnspecified), landing.OfferToUpstream{})
	opening := landing.Segment{}.WithIsSyn(true)
	is.Equal(Decide(landing.FlowUnknown{}, opening, at, landing.RefusalUnspecified), landing.AdmitFlow{})
	is.Equal(Decide(landing.FlowUnknown{}, opening, at, landing.RefusalUnready), landing.ReturnToBalancer{})
}
