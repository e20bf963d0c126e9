// Package roster merges updates of targets into the roster of a region, computes and applies deltas
// between rosters, and assigns a home balancer to each sidecar. A roster lists the targets and the
// balancers (its members) of a region. A target is an upstream that is reached through its sidecar. The
// home balancer of a sidecar is the one to which the sidecar sends its heartbeats.
package roster

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// IsNewer reports whether a is a newer version of a target than b, which must have the same instance
// name. The incarnation is the start time of the sidecar, and the change number counts the changes since
// then. Of two versions in which both are the same, one that has left is newer.
func IsNewer(a, b landing.Target) bool {
	if a.Incarnation() != b.Incarnation() {
		return a.Incarnation() > b.Incarnation()
	}
	if a.Change() != b.Change() {
		return a.Change() > b.Change()
	}
	return a.Phase() == landing.PhaseLeft && b.Phase() != landing.PhaseLeft
}

// Find returns the target with this instance name. It returns false when the roster has none.
func Find(r landing.Roster, instance string) (landing.Target, bool) {
	i := sort.Search(r.TargetsLen(), func(i int) bool { return r.TargetsAt(i).Instance() >= instance })
	if i == r.TargetsLen() || r.TargetsAt(i).Instance() != instance {
		return landing.Target{}, false
	}
	return r.TargetsAt(i), true
}

// searchTargets returns the index of the target with this instance name in targets, which are ordered by
// instance name, or the index at which to insert it and false.
func searchTargets(targets []landing.Target, instance string) (int, bool) {
	return slices.BinarySearchFunc(targets, instance, func(t landing.Target, name string) int {
		return cmp.Compare(t.Instance(), name)
	})
}

// MergeTargets adds to targets, which are ordered by instance name, those of changes that are missing or
// newer. It returns the result in the same order, and whether anything changed. It does not change its
// arguments.
func MergeTargets(targets, changes []landing.Target) ([]landing.Target, bool) {
	merged := slices.Clone(targets)
	changed := false
	for _, t := range changes {
		i, found := searchTargets(merged, t.Instance())
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

// ServingWeights returns the weights of the serving targets of a service in the order of the roster, and
// the index of the target with this instance name among them, or -1 when that target is not serving.
func ServingWeights(r landing.Roster, service, instance string) ([]uint32, int) {
	var weights []uint32
	index := -1
	for i := range r.TargetsLen() {
		t := r.TargetsAt(i)
		if t.Service() != service || t.Phase() != landing.PhaseServing {
			continue
		}
		if t.Instance() == instance {
			index = len(weights)
		}
		weights = append(weights, t.Weight())
	}
	return weights, index
}

// RankBalancers returns the balancers in the order of rendezvous hashing for key, usually the instance
// name of a sidecar. A sidecar sends its heartbeats to the first balancer that responds. The loss of a
// balancer therefore moves only the sidecars whose home balancer it was.
func RankBalancers(balancers []landing.Balancer, key string) []landing.Balancer {
	ranked := slices.Clone(balancers)
	slices.SortFunc(ranked, func(a, b landing.Balancer) int {
		return cmp.Or(
			cmp.Compare(rendezvousScore(b.Instance(), key), rendezvousScore(a.Instance(), key)),
			cmp.Compare(a.Instance(), b.Instance()),
		)
	})
	return ranked
}

// HomeBalancer returns the home balancer of the sidecar with this instance name, the first one of
// RankBalancers. It returns false when there are no balancers.
func HomeBalancer(balancers []landing.Balancer, instance string) (landing.Balancer, bool) {
	homeIndex := -1
	highestScore := uint64(0)
	for i, b := range balancers {
		score := rendezvousScore(b.Instance(), instance)
		if homeIndex < 0 || score > highestScore {
			homeIndex, highestScore = i, score
		}
	}
	if homeIndex < 0 {
		return landing.Balancer{}, false
	}
	return balancers[homeIndex], true
}

// rendezvousScore returns the rendezvous score for key of the balancer with this instance name.
func rendezvousScore(balancer, key string) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], xxhash.Sum64String(balancer))
	binary.LittleEndian.PutUint64(b[8:], xxhash.Sum64String(key))
	return xxhash.Sum64(b[:])
}
