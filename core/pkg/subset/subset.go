// Package subset decides which sidecars a balancer follows closely.
//
// It answers the load of a large fleet: if every sidecar told every balancer its state, messages would grow with the
// square of the fleet. Each balancer follows a fixed number of sidecars of each service, another set each, chosen
// by rendezvous hashing so that few sets change when sidecars come and go. It still knows all of them, and finds
// any flow at any of them.
package subset

import (
	"cmp"
	"slices"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/walk"
)

// MaxPerService is the number of sidecars of one service that a balancer follows. With two hashed choices out of 24, a set leaves
// no more imbalance than old statuses do.
const MaxPerService = 24

// Pick returns the sidecars that the balancer with this hash follows.
func Pick(neighbors []landing.KnownSidecar, hash uint64) []landing.KnownSidecar {
	byService := map[string][]landing.KnownSidecar{}
	for _, n := range neighbors {
		service := n.Enrollment().Service()
		byService[service] = append(byService[service], n)
	}
	var picked []landing.KnownSidecar
	for _, list := range byService {
		if len(list) > MaxPerService {
			slices.SortFunc(list, func(a, b landing.KnownSidecar) int {
				return cmp.Compare(walk.RendezvousScore(b.Address(), hash), walk.RendezvousScore(a.Address(), hash))
			})
			list = list[:MaxPerService]
		}
		picked = append(picked, list...)
	}
	return picked
}
