// Package subset decides to which sidecars a balancer subscribes, so that they send it their
// statuses.
//
// If every sidecar sent its status to every balancer, the number of messages would grow with the
// square of the size of the fleet (all balancers and sidecars). So each balancer subscribes to a
// fixed number of sidecars of each service. The subsets of the balancers differ; they are chosen by
// rendezvous hashing, so that few of them change when sidecars come and go. A balancer still knows
// the addresses of all sidecars and can reach a flow at any of them.
package subset

import (
	"cmp"
	"slices"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/walk"
)

// MaxPerService is the number of sidecars of one service to which a balancer subscribes. With two
// hashed choices for each new flow (package placement), a subset of 24 adds no more imbalance than
// the age of the statuses does.
const MaxPerService = 24

// Pick returns the sidecars to which the balancer with this hash subscribes, in no particular
// order.
func Pick(sidecars []landing.KnownSidecar, hash uint64) []landing.KnownSidecar {
	byService := map[string][]landing.KnownSidecar{}
	for _, s := range sidecars {
		service := s.Enrollment().Service()
		byService[service] = append(byService[service], s)
	}
	var chosen []landing.KnownSidecar
	for _, list := range byService {
		if len(list) > MaxPerService {
			slices.SortFunc(list, func(a, b landing.KnownSidecar) int {
				return cmp.Compare(walk.RendezvousScore(b.Address(), hash), walk.RendezvousScore(a.Address(), hash))
			})
			list = list[:MaxPerService]
		}
		chosen = append(chosen, list...)
	}
	return chosen
}
