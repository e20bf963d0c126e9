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

// neighbor returns a sidecar whose upstream serves, heard now.
func neighbor(hop uint64, flows, running, weight uint32) landing.KnownSidecar {
	return landing.KnownSidecar{}.WithAddress(hop).WithLastStatusAt(now).WithLastStatus(landing.SidecarStatus{}.
		WithUpstreamPhase(landing.PhaseServing).
		WithOpenFlows(flows).WithRunningRequests(running).WithSlots(8).WithRequestsPerSecond(weight).WithAdmissibleFlows(1000))
}

func ExampleOrder() {
	list := []landing.Candidate{
		NewCandidate(neighbor(1, 10, 0, 100), 100, false, 0, now),
		NewCandidate(neighbor(2, 2, 0, 100), 100, false, 0, now),
		NewCandidate(neighbor(3, 0, 0, 100), 100, true, 0, now),
	}
	for _, c := range Order(list, 7) {
		fmt.Println(c.Address())
	}
	// Output:
	// 2
	// 1
}

// chooser picks the sidecar of a new flow.
type chooser func(candidates []landing.Candidate, hash uint64) uint64

func byOrder(candidates []landing.Candidate, hash uint64) uint64 {
	return Order(candidates, hash)[0].Address()
}

// leastLoaded runs to the best one of the last report.
func leastLoaded(candidates []landing.Candidate, _ uint64) uint64 {
	best := candidates[0]
	for _, c := range candidates {
		if c.RelativeLoad() < best.RelativeLoad() {
			best = c
		}
	}
	return best.Address()
}

// morning plays the first second of traffic: each of ten balancers places 30 flows, and has statuses that are 250 ms
// old. It returns the flows of the busiest upstream over the mean.
func morning(choose chooser) float64 {
	const (
		balancers = 10
		upstreams = 7
		flows     = 300
		perStatus = 75
	)
	random := rand.New(rand.NewPCG(3, 4))
	held := make([]uint32, upstreams)
	reported := make([]uint32, upstreams)
	for i := range flows {
		if i%perStatus == 0 {
			copy(reported, held)
		}
		var candidates []landing.Candidate
		for u := range upstreams {
			candidates = append(candidates, NewCandidate(neighbor(uint64(u), reported[u], 0, 100), 100, false, 0, now))
		}
		held[choose(candidates, random.Uint64())]++
	}
	busiest := uint32(0)
	for _, n := range held {
		busiest = max(busiest, n)
	}
	return float64(busiest) * upstreams / flows
}

func TestBalancersWithOldReportsDoNotRunToTheSameUpstream(t *testing.T) {
	is := is.New(t)
	is.True(morning(leastLoaded) > 1.7)
	is.True(morning(byOrder) < 1.35)
}

func TestSilentAndFullSidecarsComeAfterOthers(t *testing.T) {
	is := is.New(t)
	silent := neighbor(1, 0, 0, 100).WithLastStatusAt(now.Add(-walk.SilentAfter - time.Millisecond))
	busy := neighbor(2, 0, 8, 100)
	cold := neighbor(3, 0, 0, 100)
	cold = cold.WithLastStatus(cold.LastStatus().WithAdmissibleFlows(0))
	ready := neighbor(4, 500, 0, 100)
	var list []landing.Candidate
	for _, n := range []landing.KnownSidecar{silent, busy, cold, ready} {
		list = append(list, NewCandidate(n, 100, false, 0, now))
	}
	for hash := range uint64(50) {
		order := Order(list, hash)
		is.Equal(order[0].Address(), uint64(4))
		is.Equal(order[1].Address(), uint64(2))
		is.Equal(order[3].Address(), uint64(1))
	}
}

func TestLeavingAndExcludedSidecarsTakeNothing(t *testing.T) {
	is := is.New(t)
	leaving := neighbor(1, 0, 0, 100)
	leaving = leaving.WithLastStatus(leaving.LastStatus().WithUpstreamPhase(landing.PhaseDraining))
	list := []landing.Candidate{NewCandidate(leaving, 100, false, 0, now), NewCandidate(neighbor(2, 0, 0, 100), 100, true, 0, now)}
	is.Equal(len(Order(list, 1)), 0)
}

func TestFlowsSentSinceTheStatusCount(t *testing.T) {
	is := is.New(t)
	n := neighbor(1, 0, 0, 100)
	is.True(NewCandidate(n, 100, false, 3, now).RelativeLoad() > NewCandidate(n, 100, false, 0, now).RelativeLoad())
}

// Upstreams were bought over years: one that serves twice as many requests a second gets more of the flows.
func TestFasterUpstreamsGetMore(t *testing.T) {
	is := is.New(t)
	fast, slow := NewCandidate(neighbor(1, 10, 2, 200), 100, false, 0, now), NewCandidate(neighbor(2, 10, 2, 100), 100, false, 0, now)
	is.True(fast.RelativeLoad() < slow.RelativeLoad())
}

// In the first second some upstreams have been measured and others have not. When a guess stood for those, it was four
// times what the others had shown, and two of seven upstreams got twice the flows of the rest for the day.
func TestUpstreamThatIsNotMeasuredCountsAsTheMean(t *testing.T) {
	is := is.New(t)
	list := []landing.KnownSidecar{neighbor(1, 10, 2, 80), neighbor(2, 10, 2, 120), neighbor(3, 10, 2, 0)}
	mean := MeanCapacity(list)
	is.Equal(mean, 100.0)
	is.Equal(NewCandidate(list[2], mean, false, 0, now).RelativeLoad(), NewCandidate(neighbor(4, 10, 2, 100), mean, false, 0, now).RelativeLoad())
	is.Equal(MeanCapacity(nil), 0.0)
}

// The instance of the first choice has just lost its power: its last status is younger than what counts as silent.
func TestCopyGoesElsewhereOnceTheFirstChoiceIsLate(t *testing.T) {
	is := is.New(t)
	order := []landing.Candidate{landing.Candidate{}.WithAddress(1), landing.Candidate{}.WithAddress(2)}
	heard := neighbor(2, 0, 0, 100)
	is.Equal(OrderForCopy(order, heard, 1, now)[0].Address(), uint64(2))
	is.Equal(OrderForCopy(order, heard, 2, now)[0].Address(), uint64(1))
	late := heard.WithLastStatusAt(now.Add(-400 * time.Millisecond))
	is.Equal(OrderForCopy(order, late, 1, now)[0].Address(), uint64(1))
	is.Equal(len(OrderForCopy(order, neighbor(9, 0, 0, 100), 1, now)), 2)
}

func TestEjectedUpstreamComesAfterAllThatServe(t *testing.T) {
	is := is.New(t)
	ejected := neighbor(1, 0, 0, 1000)
	ejected = ejected.WithLastStatus(ejected.LastStatus().WithEjected(true))
	list := []landing.Candidate{
		NewCandidate(ejected, 100, false, 0, now),
		NewCandidate(neighbor(2, 500, 8, 100), 100, false, 0, now),
		NewCandidate(neighbor(3, 500, 8, 100), 100, false, 0, now),
	}
	for hash := range uint64(50) {
		order := Order(list, hash)
		is.Equal(len(order), 3)
		is.Equal(order[2].Address(), uint64(1))
	}
}
