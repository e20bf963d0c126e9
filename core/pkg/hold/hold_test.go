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
	mutant := func(stage landing.Stage, s landing.Segment, at landing.Position, r landing.Refusal) landing.Step {
		if _, half := stage.(landing.Half); half && s.Acknowledges() {
			return landing.Deliver{}
		}
		return Decide(stage, s, at, r)
	}
	is.True(brokenFlows(mutant) > 0)
}

func TestFlowBreaksWithoutSecondChance(t *testing.T) {
	is := is.New(t)
	mutant := func(stage landing.Stage, s landing.Segment, at landing.Position, r landing.Refusal) landing.Step {
		return Decide(stage, s, at.WithNext(false).WithFinal(true), r)
	}
	is.True(brokenFlows(mutant) > 0)
}

func TestSecondOpeningWithAnotherSequenceNumberReplacesHalfOpenFlow(t *testing.T) {
	is := is.New(t)
	stage := landing.Half{}.WithInitial(7).WithExpected(100)
	again := landing.Segment{}.WithOpening(true).WithSequence(8)
	is.Equal(Decide(stage, again, landing.Position{}, landing.RefusalUnspecified), landing.Step(landing.Replace{}))
	same := again.WithSequence(7)
	is.Equal(Decide(stage, same, landing.Position{}, landing.RefusalUnspecified), landing.Step(landing.Deliver{}))
}

func TestUnknownFlowIsResetOnlyWhenTheChainIsCurrent(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	is.True(!MayReset(start, start, 5, 5))
	is.True(!MayReset(start, start.Add(MissTime), 4, 5))
	is.True(MayReset(start, start.Add(MissTime), 5, 5))
}

func TestReturnedToBalancerWhenMoreSidecarsFollow(t *testing.T) {
	is := is.New(t)
	at := landing.Position{}.WithMore(true).WithFinal(true)
	is.Equal(Decide(landing.Absent{}, landing.Segment{}, at, landing.RefusalUnspecified), landing.Step(landing.Return{}))
}

// tryChain offers a new flow to sidecars that are free ("f"), busy ("b") or refuse ("r"), and returns the
// position of the one that takes it; -1 when it is refused.
func tryChain(chain string) int {
	opening := landing.Segment{}.WithOpening(true)
	deferred := -1
	isRecalled := false
	for i := 0; ; {
		refusal := landing.RefusalUnspecified
		if chain[i] == 'r' {
			refusal = landing.RefusalOut
		}
		at := landing.Position{}.
			WithNext(i+1 < len(chain)).
			WithBusy(chain[i] == 'b').
			WithDeferred(deferred >= 0).
			WithRecalled(isRecalled)
		switch Decide(landing.Absent{}, opening, at, refusal).(type) {
		case landing.Take:
			return i
		case landing.Defer:
			if deferred < 0 {
				deferred = i
			}
			i++
		case landing.Pass:
			i++
		case landing.Recall:
			i = deferred
			isRecalled = true
		case landing.Reset, landing.Drop, landing.Return, landing.Deliver, landing.Complete, landing.Both, landing.Replace, landing.Ask:
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
	opening := landing.Segment{}.WithOpening(true)
	at := landing.Position{}.WithNext(true)
	fmt.Printf("%T\n", Decide(landing.Absent{}, opening, at, landing.RefusalUnspecified))
	fmt.Printf("%T\n", Decide(landing.Absent{}, opening, at, landing.RefusalRoom))
	fmt.Printf("%T\n", Decide(landing.Open{}, landing.Segment{}, at, landing.RefusalUnspecified))
	// Output:
	// landing.Take
	// landing.Pass
	// landing.Deliver
}

// A sidecar that was started beside a living upstream leaves it to the upstream whether it holds a flow, and takes new
// flows like any other.
func TestUnsureSidecarAsksItsUpstream(t *testing.T) {
	is := is.New(t)
	at := landing.Position{}.WithMore(true)
	data := landing.Segment{}.WithAcknowledges(true)
	is.Equal(Decide(landing.Unsure{}, data, at, landing.RefusalUnspecified), landing.Ask{})
	opening := landing.Segment{}.WithOpening(true)
	is.Equal(Decide(landing.Unsure{}, opening, at, landing.RefusalUnspecified), landing.Take{})
	is.Equal(Decide(landing.Unsure{}, opening, at, landing.RefusalUnready), landing.Return{})
}
