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
	// HashedChoices is the number of hashed choices of a flow.
	HashedChoices = 2
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

// MeanCapacity returns the mean weight of the upstreams that have been measured; 0 when none has.
func MeanCapacity(neighbors []landing.KnownSidecar) float64 {
	total, measured := 0.0, 0
	for _, n := range neighbors {
		if n.LastStatus().RequestsPerSecond() > 0 {
			total += float64(n.LastStatus().RequestsPerSecond())
			measured++
		}
	}
	if measured == 0 {
		return 0
	}
	return total / float64(measured)
}

// NewCandidate returns the sidecar as a candidate. Mean is the mean weight of the service's upstreams, which stands for one
// that has not been measured. Sent is the number of new flows that this balancer has sent it since its last status.
func NewCandidate(n landing.KnownSidecar, mean float64, isExcluded bool, sent int, now time.Time) landing.Candidate {
	s := n.LastStatus()
	work := float64(s.OpenFlows()) + float64(runningWeight*s.RunningRequests()) + float64((1+runningWeight)*sent)
	weight := float64(s.RequestsPerSecond())
	if weight == 0 {
		weight = mean
	}
	return landing.Candidate{}.
		WithAddress(n.Address()).
		WithEligibility(standing(n, isExcluded, sent, now)).
		WithRelativeLoad(work / max(weight, leastWeight))
}

func standing(n landing.KnownSidecar, isExcluded bool, sent int, now time.Time) landing.Eligibility {
	s := n.LastStatus()
	switch {
	case isExcluded:
		return landing.EligibilityClosed
	case now.Sub(n.LastStatusAt()) > walk.SilentAfter:
		return landing.EligibilitySilent
	case s.UpstreamPhase() != landing.PhaseServing:
		return landing.EligibilityClosed
	case s.Ejected():
		return landing.EligibilityEjected
	case int(s.AdmissibleFlows()) <= sent:
		return landing.EligibilityCold
	case s.RunningRequests() >= s.Slots():
		return landing.EligibilityBusy
	}
	return landing.EligibilityReady
}

// Order returns the candidates that may take the flow with this hash, best first.
func Order(candidates []landing.Candidate, hash uint64) []landing.Candidate {
	order := slices.DeleteFunc(slices.Clone(candidates), func(c landing.Candidate) bool {
		return c.Eligibility() == landing.EligibilityClosed
	})
	slices.SortFunc(order, func(a, b landing.Candidate) int {
		return cmp.Or(
			cmp.Compare(a.Eligibility(), b.Eligibility()),
			cmp.Compare(walk.RendezvousScore(b.Address(), hash), walk.RendezvousScore(a.Address(), hash)))
	})
	chosen := min(HashedChoices, sameStanding(order))
	slices.SortStableFunc(order[:chosen], compareLoad)
	slices.SortStableFunc(order[chosen:], func(a, b landing.Candidate) int {
		return cmp.Or(cmp.Compare(a.Eligibility(), b.Eligibility()), compareLoad(a, b))
	})
	return order
}

// OrderForCopy returns the order for a copy of an opening packet whose earlier copy went to the sidecar before. The flow
// stays there while that one is heard; the last copy tries another one.
func OrderForCopy(order []landing.Candidate, before landing.KnownSidecar, copies uint32, now time.Time) []landing.Candidate {
	i := slices.IndexFunc(order, func(c landing.Candidate) bool { return c.Address() == before.Address() })
	if i < 0 {
		return order
	}
	same := order[i]
	rest := slices.Delete(slices.Clone(order), i, i+1)
	if copies >= lastCopy || now.Sub(before.LastStatusAt()) > freshStatus {
		return append(rest, same)
	}
	return append([]landing.Candidate{same}, rest...)
}

// sameStanding returns the number of candidates at the front that are as fit as the first.
func sameStanding(order []landing.Candidate) int {
	for i, c := range order {
		if c.Eligibility() != order[0].Eligibility() {
			return i
		}
	}
	return len(order)
}

func compareLoad(a, b landing.Candidate) int {
	return cmp.Compare(a.RelativeLoad(), b.RelativeLoad())
}
