// Package placement decides to which sidecars a new flow is offered, and in which order.
//
// When all callers open their long flows in the same second, balancers that choose the upstream
// with the lowest load in the last statuses would all choose the same one. So each flow has two
// hashed choices and goes to the less loaded of them (the power of two choices, Mitzenmacher 2001).
// The remaining sidecars follow, ordered by eligibility and hash, in case the upstreams of the
// first ones are full, in cold start (the time after its start in which an upstream can process
// little) or silent.
//
// An upstream with all slots in use in its last status is as eligible as one with free slots. The
// status is up to 250 ms old, and by then other requests use the slots. If such upstreams came last,
// all balancers would send their flows to the few others: a third of the responses would be late at
// three quarters of the capacity.
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
	// alternativeFromCopy is the number of earlier copies (transmissions) of an opening packet, a
	// SYN, from which another sidecar is tried first, even if statuses of the previous one arrive
	// in time. Two lost packets in a row are rare, so the previous sidecar probably does not
	// respond.
	alternativeFromCopy = 2
	// timelyStatusAge is the age up to which the last status shows that a sidecar is alive: one
	// status interval of 250 ms plus 100 ms of slack.
	timelyStatusAge = 350 * time.Millisecond
	// runningRequestWeight is the number of open flows that cause as much load as one running
	// request.
	runningRequestWeight = 4
	// minCapacity, in requests per second, replaces smaller capacities, so that the load is not
	// divided by zero.
	minCapacity = 1
)

// MeanCapacity returns the mean number of requests per second that an upstream can serve, over the
// upstreams whose capacity has been measured, or 0 when there is none.
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
// mean capacity of the upstreams of the service, stands in for the capacity of an upstream that has
// not been measured. SentFlows is the number of new flows that this balancer has sent to the
// sidecar since the sidecar's last status; each counts as an open flow with a running request.
func NewCandidate(sidecar landing.KnownSidecar, meanCapacity float64, isExcluded bool, sentFlows int, now time.Time) landing.Candidate {
	status := sidecar.LastStatus()
	// The new flow counts too, so that of two idle upstreams the one with the higher capacity has less load.
	load := float64(status.OpenFlows()) + float64(runningRequestWeight*status.RunningRequests()) + float64((1+runningRequestWeight)*(sentFlows+1))
	capacity := float64(status.RequestsPerSecond())
	if capacity == 0 {
		capacity = meanCapacity
	}
	return landing.Candidate{}.
		WithAddress(sidecar.Address()).
		WithEligibility(eligibility(sidecar, isExcluded, sentFlows, now)).
		WithRelativeLoad(load / max(capacity, minCapacity))
}

// eligibility returns how suitable the sidecar is for a new flow. SentFlows is the number of new
// flows that this balancer has sent to the sidecar since the last status of the sidecar.
func eligibility(sidecar landing.KnownSidecar, isExcluded bool, sentFlows int, now time.Time) landing.Eligibility {
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
	case int(status.AdmissibleFlows()) <= sentFlows:
		return landing.EligibilityCold
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
	return order
}

// OrderForCopy returns the order for a copy of an opening packet whose previous copy went to the
// sidecar previous. That sidecar comes first while its statuses arrive in time. It comes last when
// its status is overdue or the caller has sent alternativeFromCopy copies before this one. The
// order is unchanged when it does not contain the sidecar.
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
