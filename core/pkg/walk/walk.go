// Package walk decides in which order sidecars are asked for a flow whose holder a balancer does not know.
//
// A walk that has asked every sidecar is half of the proof that nobody holds the flow. It is cut into parts, and
// between two of them sidecars fall silent or are heard again, so the parcel carries who has been asked.
package walk

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// PartHops is the number of sidecars in one part of a walk. The whole part travels with the packet, so longer ones cost more
// bytes at each hop: 360 against 230 for parts of 24, with a packet of 130 bytes.
const PartHops = 8

const bitsPerByte = 8

// Stop is one sidecar that may hold the flow.
type Stop struct {
	// Hop is its address.
	Hop uint64
	// Rank orders classes of sidecars; a lower one is asked first.
	Rank int
	// Salt changes the order within the rank.
	Salt uint64
}

// Asked is the set of stops that have denied the flow, by their index in the list of all stops. It is immutable.
type Asked []byte

// With returns the set with the stop of this index.
func (a Asked) With(index int) Asked {
	next := bytes.Clone(a)
	for len(next) <= index/bitsPerByte {
		next = append(next, 0)
	}
	next[index/bitsPerByte] |= 1 << (index % bitsPerByte)
	return next
}

// WithHops returns the set with the stops at these addresses.
func (a Asked) WithHops(stops []Stop, hops []uint64) Asked {
	for i, s := range stops {
		if slices.Contains(hops, s.Hop) {
			a = a.With(i)
		}
	}
	return a
}

// Has says whether the stop of this index is in the set.
func (a Asked) Has(index int) bool {
	return index/bitsPerByte < len(a) && a[index/bitsPerByte]&(1<<(index%bitsPerByte)) != 0
}

// Next returns the addresses of the stops that are asked next for the flow with this hash; none when all have been
// asked. Within a rank the order is that of rendezvous hashing, so that balancers agree.
func Next(stops []Stop, asked Asked, hash uint64) []uint64 {
	order := make([]Stop, 0, len(stops))
	for i, s := range stops {
		if !asked.Has(i) {
			order = append(order, s)
		}
	}
	slices.SortFunc(order, func(a, b Stop) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(Score(b.Hop, hash^b.Salt), Score(a.Hop, hash^a.Salt)))
	})
	hops := make([]uint64, 0, PartHops)
	for _, s := range order[:min(len(order), PartHops)] {
		hops = append(hops, s.Hop)
	}
	return hops
}

// Score is the rendezvous score of a sidecar for the flow with this hash.
func Score(hop, hash uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], hop)
	binary.LittleEndian.PutUint64(b[8:], hash)
	return xxhash.Sum64(b[:])
}
