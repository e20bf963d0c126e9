package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/walk"
)

var now = time.Unix(1000, 0)

// sidecar returns a sidecar whose upstream is serving and whose last status arrived now.
func sidecar(address uint64, flows, runningRequests, requestsPerSecond uint32) landing.KnownSidecar {
	return landing.KnownSidecar{}.WithAddress(address).WithLastStatusAt(now).WithLastStatus(landing.SidecarStatus{}.
		WithUpstreamPhase(landing.PhaseServing).
		WithOpenFlows(flows).WithRunningRequests(runningRequests).WithSlots(8).WithRequestsPerSecond(requestsPerSecond).WithAdmissibleFlows(1000))
}

func ExampleOrder() {
	candidates := []landing.Candidate{
		NewCandidate(sidecar(1, 10, 0, 100), 100, false, 0, now),
		NewCandidate(sidecar(2, 2, 0, 100), 100, false, 0, now),
		NewCandidate(sidecar(3, 0, 0, 100), 100, true, 0, now), // true: its zone is excluded
	}
	for _, c := range Order(candidates, 7) {
		fmt.Println(c.Address())
	}
	// Output:
	// 2
	// 1
}

// chooser selects the address of the sidecar for a new flow.
type chooser func(candidates []landing.Candidate, hash uint64) uint64

func firstOfOrder(candidates []landing.Candidate, hash uint64) uint64 {
	return Order(candidates, hash)[0].Address()
}

// leastLoaded selects the candidate with the lowest load in the last statuses, for comparison.
func leastLoaded(candidates []landing.Candidate, _ uint64) uint64 {
	best := candidates[0]
	for _, c := range candidates {
		if c.RelativeLoad() < best.RelativeLoad() {
			best = c
		}
	}
	return best.Address()
}

// peakOverMean simulates the first second of traffic: each of ten balancers places 30 flows by
// statuses that are 250 ms old. It returns the number of flows of the busiest upstream divided by
// the mean.
func peakOverMean(choose chooser) float64 {
	const (
		balancers      = 10
		upstreams      = 7
		flows          = 300
		flowsPerStatus = 75
	)
	random := rand.New(rand.NewPCG(3, 4))
	openFlows := make([]uint32, upstreams)
	reportedFlows := make([]uint32, upstreams)
	for i := range flows {
		if i%flowsPerStatus == 0 {
			copy(reportedFlows, openFlows)
		}
		var candidates []landing.Candidate
		for upstream := range upstreams {
			candidates = append(candidates, NewCandidate(sidecar(uint64(upstream), reportedFlows[upstream], 0, 100), 100, false, 0, now))
		}
		openFlows[choose(candidates, random.Uint64())]++
	}
	busiest := uint32(0)
	for _, count := range openFlows {
		busiest = max(busiest, count)
	}
	return float64(busiest) * upstreams / flows
}

func TestOrder_SpreadsFlowsWithStaleStatuses(t *testing.T) {
	is := is.New(t)
	is.True(peakOverMean(leastLoaded) > 1.7)
	is.True(peakOverMean(firstOfOrder) < 1.35)
}

func TestOrder_SortsByEligibility(t *testing.T) {
	is := is.New(t)
	silent := sidecar(1, 0, 0, 100).WithLastStatusAt(now.Add(-walk.SilentAfter - time.Millisecond))
	cold := sidecar(3, 0, 0, 100)
	cold = cold.WithLastStatus(cold.LastStatus().WithAdmissibleFlows(0))
	ready := sidecar(4, 500, 0, 100)
	var candidates []landing.Candidate
	for _, s := range []landing.KnownSidecar{silent, cold, ready} {
		candidates = append(candidates, NewCandidate(s, 100, false, 0, now))
	}
	for hash := range uint64(50) {
		order := Order(candidates, hash)
		is.Equal(order[0].Address(), uint64(4))
		is.Equal(order[1].Address(), uint64(3))
		is.Equal(order[2].Address(), uint64(1))
	}
}

// Guards against balancers that all send their flows to the few upstreams whose slots were free up to
// 250 ms ago. Of ten upstreams two have a free slot in their last status; they must not get more than
// twice their share of the first choices.
func TestOrder_DoesNotConcentrateFlowsOnUpstreamsThatWereIdle(t *testing.T) {
	is := is.New(t)
	var candidates []landing.Candidate
	for address := range uint64(10) {
		running := uint32(8)
		if address < 2 {
			running = 7
		}
		candidates = append(candidates, NewCandidate(sidecar(address, 0, running, 100), 100, false, 0, now))
	}
	toIdle := 0
	for hash := range uint64(1000) {
		if Order(candidates, hash*0x9e3779b97f4a7c15)[0].Address() < 2 {
			toIdle++
		}
	}
	is.True(toIdle >= 200)
	is.True(toIdle <= 400)
}

// Guards against the choice of a slow upstream only because it is idle as well.
func TestOrder_PrefersFasterOfTwoIdleUpstreams(t *testing.T) {
	is := is.New(t)
	candidates := []landing.Candidate{
		NewCandidate(sidecar(1, 0, 0, 10), 50, false, 0, now),
		NewCandidate(sidecar(2, 0, 0, 80), 50, false, 0, now),
	}
	for hash := range uint64(50) {
		is.Equal(Order(candidates, hash)[0].Address(), uint64(2))
	}
}

func TestOrder_SkipsLeavingAndExcludedSidecars(t *testing.T) {
	is := is.New(t)
	leaving := sidecar(1, 0, 0, 100)
	leaving = leaving.WithLastStatus(leaving.LastStatus().WithUpstreamPhase(landing.PhaseDraining))
	candidates := []landing.Candidate{NewCandidate(leaving, 100, false, 0, now), NewCandidate(sidecar(2, 0, 0, 100), 100, true, 0, now)} // true: its zone is excluded
	is.Equal(len(Order(candidates, 1)), 0)
}

func TestNewCandidate_CountsFlowsSentSinceStatus(t *testing.T) {
	is := is.New(t)
	s := sidecar(1, 0, 0, 100)
	is.True(NewCandidate(s, 100, false, 3, now).RelativeLoad() > NewCandidate(s, 100, false, 0, now).RelativeLoad())
}

// Upstreams run on machines of different age. An upstream that serves twice as many requests per
// second as another one gets more flows.
func TestNewCandidate_HigherCapacityMeansLowerLoad(t *testing.T) {
	is := is.New(t)
	fast, slow := NewCandidate(sidecar(1, 10, 2, 200), 100, false, 0, now), NewCandidate(sidecar(2, 10, 2, 100), 100, false, 0, now)
	is.True(fast.RelativeLoad() < slow.RelativeLoad())
}

// In the first second some upstreams have been measured and others have not. Guards against an
// assumed capacity for the latter: it was four times the measured one, so that two of seven
// upstreams got twice as many flows as the others for the whole day.
func TestNewCandidate_UnmeasuredUpstreamCountsAsMean(t *testing.T) {
	is := is.New(t)
	sidecars := []landing.KnownSidecar{sidecar(1, 10, 2, 80), sidecar(2, 10, 2, 120), sidecar(3, 10, 2, 0)}
	mean := MeanCapacity(sidecars)
	is.Equal(mean, 100.0)
	is.Equal(NewCandidate(sidecars[2], mean, false, 0, now).RelativeLoad(), NewCandidate(sidecar(4, 10, 2, 100), mean, false, 0, now).RelativeLoad())
	is.Equal(MeanCapacity(nil), 0.0)
}

// The instance of the first choice has just lost power: the last status of its sidecar is overdue
// but not old enough for the sidecar to count as silent.
func TestOrderForCopy_AvoidsSidecarWithOverdueStatus(t *testing.T) {
	is := is.New(t)
	order := []landing.Candidate{landing.Candidate{}.WithAddress(1), landing.Candidate{}.WithAddress(2)}
	timely := sidecar(2, 0, 0, 100)
	is.Equal(OrderForCopy(order, timely, 1, now)[0].Address(), uint64(2))
	is.Equal(OrderForCopy(order, timely, 2, now)[0].Address(), uint64(1))
	overdue := timely.WithLastStatusAt(now.Add(-400 * time.Millisecond))
	is.Equal(OrderForCopy(order, overdue, 1, now)[0].Address(), uint64(1))
	is.Equal(len(OrderForCopy(order, sidecar(9, 0, 0, 100), 1, now)), 2)
}

func TestOrder_PutsEjectedUpstreamLast(t *testing.T) {
	is := is.New(t)
	ejected := sidecar(1, 0, 0, 1000)
	ejected = ejected.WithLastStatus(ejected.LastStatus().WithEjected(true))
	candidates := []landing.Candidate{
		NewCandidate(ejected, 100, false, 0, now),
		NewCandidate(sidecar(2, 500, 8, 100), 100, false, 0, now),
		NewCandidate(sidecar(3, 500, 8, 100), 100, false, 0, now),
	}
	for hash := range uint64(50) {
		order := Order(candidates, hash)
		is.Equal(len(order), 3)
		is.Equal(order[2].Address(), uint64(1))
	}
}
