// Package placement decides to which sidecars a new flow is offered, and in which order.
//
// It answers two loads. When every caller opens its long flow in the same second, balancers that all pick the
// least loaded upstream by the last report would run to the same one; so each flow has two hashed choices,
// and goes to the less loaded of them (Mitzenmacher, 2001). When upstreams are full, cold or silent, the
// rest follow by fitness and load, so that a flow is refused only when nobody takes it.
package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/walk"
)

const (
	// Choices is the number of hashed choices of a flow.
	Choices = 2
	// lastCopy is the number of the copy of an opening packet with which another sidecar is tried, although the first
	// one is heard: two lost packets in a row are rare.
	lastCopy = 2
	// freshStatus is the age of a status up to which its sidecar is taken to live: one interval and some slack.
	freshStatus = 350 * time.Millisecond
	// runningWeight is how many open flows a request at work counts as.
	runningWeight = 4
	// leastWeight bounds the division.
	leastWeight = 1
)

// MeanWeight returns the mean weight of the upstreams that have been measured; 0 when none has.
func MeanWeight(neighbors []landing.Neighbor) float64 {
	total, measured := 0.0, 0
	for _, n := range neighbors {
		if n.Status().Weight() > 0 {
			total += float64(n.Status().Weight())
			measured++
		}
	}
	if measured == 0 {
		return 0
	}
	return total / float64(measured)
}

// Candidate returns the sidecar as a candidate. Mean is the mean weight of the service's upstreams, which stands for one
// that has not been measured. Sent is the number of new flows that this balancer has sent it since its last status.
func Candidate(n landing.Neighbor, mean float64, isExcluded bool, sent int, now time.Time) landing.Candidate {
	s := n.Status()
	work := float64(s.Flows()) + float64(runningWeight*s.Running()) + float64((1+runningWeight)*sent)
	weight := float64(s.Weight())
	if weight == 0 {
		weight = mean
	}
	return landing.Candidate{}.
		WithHop(n.Hop()).
		WithStanding(standing(n, isExcluded, sent, now)).
		WithLoad(work / max(weight, leastWeight))
}

func standing(n landing.Neighbor, isExcluded bool, sent int, now time.Time) landing.Standing {
	s := n.Status()
	switch {
	case isExcluded:
		return landing.StandingClosed
	case now.Sub(n.Heard()) > walk.SilentAfter:
		return landing.StandingSilent
	case s.Phase() != landing.PhaseServing:
		return landing.StandingClosed
	case s.Ejected():
		return landing.StandingEjected
	case int(s.Room()) <= sent:
		return landing.StandingCold
	case s.Running() >= s.Slots():
		return landing.StandingBusy
	}
	return landing.StandingReady
}

// Order returns the candidates that may take the flow with this hash, best first.
func Order(candidates []landing.Candidate, hash uint64) []landing.Candidate {
	order := slices.DeleteFunc(slices.Clone(candidates), func(c landing.Candidate) bool {
		return c.Standing() == landing.StandingClosed
	})
	slices.SortFunc(order, func(a, b landing.Candidate) int {
		return cmp.Or(
			cmp.Compare(a.Standing(), b.Standing()),
			cmp.Compare(walk.Score(b.Hop(), hash), walk.Score(a.Hop(), hash)))
	})
	chosen := min(Choices, sameStanding(order))
	slices.SortStableFunc(order[:chosen], compareLoad)
	slices.SortStableFunc(order[chosen:], func(a, b landing.Candidate) int {
		return cmp.Or(cmp.Compare(a.Standing(), b.Standing()), compareLoad(a, b))
	})
	return order
}

// OrderForCopy returns the order for a copy of an opening packet whose earlier copy went to the sidecar before. The flow
// stays there while that one is heard; the last copy tries another one.
func OrderForCopy(order []landing.Candidate, before landing.Neighbor, copies uint32, now time.Time) []landing.Candidate {
	i := slices.IndexFunc(order, func(c landing.Candidate) bool { return c.Hop() == before.Hop() })
	if i < 0 {
		return order
	}
	same := order[i]
	rest := slices.Delete(slices.Clone(order), i, i+1)
	if copies >= lastCopy || now.Sub(before.Heard()) > freshStatus {
		return append(rest, same)
	}
	return append([]landing.Candidate{same}, rest...)
}

// sameStanding returns the number of candidates at the front that are as fit as the first.
func sameStanding(order []landing.Candidate) int {
	for i, c := range order {
		if c.Standing() != order[0].Standing() {
			return i
		}
	}
	return len(order)
}

func compareLoad(a, b landing.Candidate) int {
	return cmp.Compare(a.Load(), b.Load())
}
