// Package placement decides to which sidecars a new flow is offered, and in which order.
//
// When all callers open their long flows in the same second, balancers that all choose the least
// loaded upstream by its last status would choose the same one. So each flow has two hashed choices
// and goes to the less loaded of them (the power of two choices, Mitzenmacher 2001). The remaining
// sidecars follow, ordered by eligibility and load, for the case that upstreams are full, cold or
// silent. A flow is refused only when no sidecar admits it.
package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/walk"
)

const (
	// HashedChoices is the number of sidecars that are chosen for a flow by its hash.
	HashedChoices = 2
	// alternativeFromCopy is the number of earlier copies of an opening packet from which another
	// sidecar is tried first, even if statuses of the previous one arrive in time. Two lost packets
	// in a row are rare, so the previous sidecar probably does not respond.
	alternativeFromCopy = 2
	// timelyStatusAge is the age up to which the last status shows that a sidecar is alive: one
	// status interval of 250 ms plus 100 ms of slack.
	timelyStatusAge = 350 * time.Millisecond
	// runningRequestWeight is the number of open flows that cause as much load as one running
	// request.
	runningRequestWeight = 4
	// minCapacity replaces smaller capacities in requests per second, so that the load is not
	// divided by zero.
	minCapacity = 1
)

// MeanCapacity returns the mean number of requests per second that the measured upstreams can
// serve, or 0 when none has been measured.
func MeanCapacity(sidecars []landing.KnownSidecar) float64 {
	total, measured := 0.0, 0
	for _, s := range sidecars {
		if s.LastStatus().RequestsPerSecond() > 0 {
			total += float64(s.LastStatus().RequestsPerSecond())
			measured++
		}
	}
	if measured == 0 {
		return 0
	}
	return total / float64(measured)
}

// NewCandidate returns the sidecar as a candidate for a new flow. The argument meanCapacity, the
// mean capacity of the upstreams of the service, stands for that of an upstream that has not been
// measured. Sent is the number of new flows that this balancer has sent to the sidecar since its
// last status; each counts as an open flow with a running request.
func NewCandidate(sidecar landing.KnownSidecar, meanCapacity float64, isExcluded bool, sent int, now time.Time) landing.Candidate {
	status := sidecar.LastStatus()
	load := float64(status.OpenFlows()) + float64(runningRequestWeight*status.RunningRequests()) + float64((1+runningRequestWeight)*sent)
	capacity := float64(status.RequestsPerSecond())
	if capacity == 0 {
		capacity = meanCapacity
	}
	return landing.Candidate{}.
		WithAddress(sidecar.Address()).
		WithEligibility(eligibility(sidecar, isExcluded, sent, now)).
		WithRelativeLoad(load / max(capacity, minCapacity))
}

// eligibility returns how suitable the sidecar is for a new flow. Sent is the number of new flows
// that this balancer has sent to it since its last status.
func eligibility(sidecar landing.KnownSidecar, isExcluded bool, sent int, now time.Time) landing.Eligibility {
	status := sidecar.LastStatus()
	switch {
	case isExcluded:
		return landing.EligibilityClosed
	case now.Sub(sidecar.LastStatusAt()) > walk.SilentAfter:
		return landing.EligibilitySilent
	case status.UpstreamPhase() != landing.PhaseServing:
		return landing.EligibilityClosed
	case status.Ejected():
		return landing.EligibilityEjected
	case int(status.AdmissibleFlows()) <= sent:
		return landing.EligibilityCold
	case status.RunningRequests() >= status.Slots():
		return landing.EligibilityBusy
	}
	return landing.EligibilityReady
}

// Order returns the candidates for the flow with this hash, best first. Candidates that admit no
// new flow (EligibilityClosed) are left out.
func Order(candidates []landing.Candidate, hash uint64) []landing.Candidate {
	order := slices.DeleteFunc(slices.Clone(candidates), func(c landing.Candidate) bool {
		return c.Eligibility() == landing.EligibilityClosed
	})
	slices.SortFunc(order, func(a, b landing.Candidate) int {
		return cmp.Or(
			cmp.Compare(a.Eligibility(), b.Eligibility()),
			cmp.Compare(walk.RendezvousScore(b.Address(), hash), walk.RendezvousScore(a.Address(), hash)))
	})
	choices := min(HashedChoices, countEquallyEligible(order))
	slices.SortStableFunc(order[:choices], compareLoad)
	slices.SortStableFunc(order[choices:], func(a, b landing.Candidate) int {
		return cmp.Or(cmp.Compare(a.Eligibility(), b.Eligibility()), compareLoad(a, b))
	})
	return order
}

// OrderForCopy returns the order for a copy of an opening packet whose earlier copy went to the
// previous sidecar. That sidecar stays first while its statuses arrive in time. It becomes the last
// when its status is overdue or alternativeFromCopy copies have been sent before.
func OrderForCopy(order []landing.Candidate, previous landing.KnownSidecar, earlierCopies uint32, now time.Time) []landing.Candidate {
	i := slices.IndexFunc(order, func(c landing.Candidate) bool { return c.Address() == previous.Address() })
	if i < 0 {
		return order
	}
	previousCandidate := order[i]
	rest := slices.Delete(slices.Clone(order), i, i+1)
	if earlierCopies >= alternativeFromCopy || now.Sub(previous.LastStatusAt()) > timelyStatusAge {
		return append(rest, previousCandidate)
	}
	return append([]landing.Candidate{previousCandidate}, rest...)
}

// countEquallyEligible returns the number of candidates at the front that have the same eligibility
// as the first.
func countEquallyEligible(order []landing.Candidate) int {
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
