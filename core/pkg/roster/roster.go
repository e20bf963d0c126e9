// Package roster merges what is known of targets and balancers into the roster of a region.
package roster

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// IsNewer says whether a is a later form of the same target than b.
func IsNewer(a, b landing.Target) bool {
	if a.Incarnation() != b.Incarnation() {
		return a.Incarnation() > b.Incarnation()
	}
	if a.Change() != b.Change() {
		return a.Change() > b.Change()
	}
	return a.Phase() == landing.PhaseLeft && b.Phase() != landing.PhaseLeft
}

// Find returns the target of this instance.
func Find(r landing.Roster, instance string) (landing.Target, bool) {
	i := sort.Search(r.TargetsLen(), func(i int) bool { return r.TargetsAt(i).Instance() >= instance })
	if i == r.TargetsLen() || r.TargetsAt(i).Instance() != instance {
		return landing.Target{}, false
	}
	return r.TargetsAt(i), true
}

func search(targets []landing.Target, instance string) (int, bool) {
	return slices.BinarySearchFunc(targets, instance, func(t landing.Target, name string) int {
		return cmp.Compare(t.Instance(), name)
	})
}

// MergeTargets returns targets, ordered by instance, with each of changes that is newer,
// and whether any was.
func MergeTargets(targets, changes []landing.Target) ([]landing.Target, bool) {
	merged := slices.Clone(targets)
	changed := false
	for _, t := range changes {
		i, found := search(merged, t.Instance())
		if !found {
			merged = slices.Insert(merged, i, t)
			changed = true
			continue
		}
		if IsNewer(t, merged[i]) {
			merged[i] = t
			changed = true
		}
	}
	return merged, changed
}

// ServingWeights returns the weights of serving targets of a service in the order of the roster,
// and the place of instance in them; -1 when it is not serving.
func ServingWeights(r landing.Roster, service, instance string) ([]uint32, int) {
	var weights []uint32
	place := -1
	for i := range r.TargetsLen() {
		t := r.TargetsAt(i)
		if t.Service() != service || t.Phase() != landing.PhaseServing {
			continue
		}
		if t.Instance() == instance {
			place = len(weights)
		}
		weights = append(weights, t.Weight())
	}
	return weights, place
}

// RankBalancers returns members in the order in which the sidecar of this instance turns to them:
// rendezvous order, so that a lost balancer moves only the sidecars it was home to.
func RankBalancers(members []landing.Balancer, instance string) []landing.Balancer {
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(a, b landing.Balancer) int {
		return cmp.Or(
			cmp.Compare(pairHash(b.Instance(), instance), pairHash(a.Instance(), instance)),
			cmp.Compare(a.Instance(), b.Instance()),
		)
	})
	return ordered
}

// HomeBalancer returns the first of Homes; false when there are no members.
func HomeBalancer(members []landing.Balancer, instance string) (landing.Balancer, bool) {
	best := -1
	highest := uint64(0)
	for i, m := range members {
		h := pairHash(m.Instance(), instance)
		if best < 0 || h > highest {
			best, highest = i, h
		}
	}
	if best < 0 {
		return landing.Balancer{}, false
	}
	return members[best], true
}

func pairHash(member, instance string) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], xxhash.Sum64String(member))
	binary.LittleEndian.PutUint64(b[8:], xxhash.Sum64String(instance))
	return xxhash.Sum64(b[:])
}
