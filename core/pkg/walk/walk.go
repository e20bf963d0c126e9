// Package walk decides in which order sidecars are asked for a flow whose holder a balancer does not know.
package walk

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// PartHops is the number of sidecars in one part of a walk.
const PartHops = 24

// Stop is one sidecar that may hold the flow.
type Stop struct {
	// Hop is its address.
	Hop uint64
	// Rank orders classes of sidecars; a lower one is asked first.
	Rank int
}

// Part returns part number part, from 0, of the walk for the flow with this hash, and whether more follow.
// Within a rank the order is that of rendezvous hashing, so that balancers agree.
func Part(stops []Stop, hash uint64, part int) ([]uint64, bool) {
	order := slices.Clone(stops)
	slices.SortFunc(order, func(a, b Stop) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(Score(b.Hop, hash), Score(a.Hop, hash)))
	})
	first := min(part*PartHops, len(order))
	last := min(first+PartHops, len(order))
	hops := make([]uint64, 0, last-first)
	for _, s := range order[first:last] {
		hops = append(hops, s.Hop)
	}
	return hops, last < len(order)
}

// Score is the rendezvous score of a sidecar for the flow with this hash.
func Score(hop, hash uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], hop)
	binary.LittleEndian.PutUint64(b[8:], hash)
	return xxhash.Sum64(b[:])
}
