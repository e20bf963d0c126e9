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

// MaxHopsPerPart is the number of sidecars in one part of a walk. The whole part travels with the packet, so longer ones cost more
// bytes at each hop: 360 against 230 for parts of 24, with a packet of 130 bytes.
const MaxHopsPerPart = 8

const bitsPerByte = 8

// Candidate is one sidecar that may hold the flow.
type Candidate struct {
	// Hop is its address.
	Address uint64
	// Rank orders classes of sidecars; a lower one is asked first.
	Rank int
	// Salt changes the order within the rank.
	Salt uint64
}

// AskedSet is the set of stops that have denied the flow, by their index in the list of all stops. It is immutable.
type AskedSet []byte

// With returns the set with the stop of this index.
func (a AskedSet) With(index int) AskedSet {
	next := bytes.Clone(a)
	for len(next) <= index/bitsPerByte {
		next = append(next, 0)
	}
	next[index/bitsPerByte] |= 1 << (index % bitsPerByte)
	return next
}

// WithAddresses returns the set with the stops at these addresses.
func (a AskedSet) WithAddresses(stops []Candidate, hops []uint64) AskedSet {
	for i, s := range stops {
		if slices.Contains(hops, s.Address) {
			a = a.With(i)
		}
	}
	return a
}

// Has says whether the stop of this index is in the set.
func (a AskedSet) Has(index int) bool {
	return index/bitsPerByte < len(a) && a[index/bitsPerByte]&(1<<(index%bitsPerByte)) != 0
}

// NextPart returns the addresses of the stops that are asked next for the flow with this hash; none when all have been
// asked. Within a rank the order is that of rendezvous hashing, so that balancers agree.
func NextPart(stops []Candidate, asked AskedSet, hash uint64) []uint64 {
	order := make([]Candidate, 0, len(stops))
	for i, s := range stops {
		if !asked.Has(i) {
			order = append(order, s)
		}
	}
	slices.SortFunc(order, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(RendezvousScore(b.Address, hash^b.Salt), RendezvousScore(a.Address, hash^a.Salt)))
	})
	hops := make([]uint64, 0, MaxHopsPerPart)
	for _, s := range order[:min(len(order), MaxHopsPerPart)] {
		hops = append(hops, s.Address)
	}
	return hops
}

// RendezvousScore is the rendezvous score of a sidecar for the flow with this hash.
func RendezvousScore(hop, hash uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], hop)
	binary.LittleEndian.PutUint64(b[8:], hash)
	return xxhash.Sum64(b[:])
}
