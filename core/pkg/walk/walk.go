// Package walk decides in which order sidecars are asked for a flow when the balancer does not know
// which of them holds it. A walk sends a packet of the flow from sidecar to sidecar (hops) until
// one of them holds the flow.
//
// That a walk has asked every sidecar is one of two conditions for the conclusion that none of them
// holds the flow. The other is that no other sidecars have enrolled since, which package relay of
// the balancer checks.
//
// A walk is split into parts, each of which starts at a balancer. Between two parts, the order of
// the sidecars changes when some fall silent or send statuses again. A Search therefore holds the set
// of sidecars that have been asked.
package walk

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxHopsPerPart is the number of sidecars in one part of a walk. The addresses of the whole part
// travel with the packet, so longer parts add bytes to it at each hop: a packet of 130 bytes grows
// to 360 bytes with parts of 24, and to 230 bytes with parts of 8.
const MaxHopsPerPart = 8

const bitsPerByte = 8

// Candidate is a sidecar that may hold the flow.
type Candidate struct {
	// Address is the address of the sidecar: IPv4 address times 65536 plus UDP port.
	Address uint64
	// Rank is the class of the sidecar; lower ranks are asked first.
	Rank int
	// Salt is combined with the hash of the flow. A different salt changes the order within the
	// rank.
	Salt uint64
}

// AskedSet is a bitmap of candidates, mostly of those that were asked and do not hold the flow:
// candidate i is bit i%8 of byte i/8. It is immutable.
type AskedSet []byte

// With returns the set with the candidate of this index added.
func (s AskedSet) With(index int) AskedSet {
	set := bytes.Clone(s)
	for len(set) <= index/bitsPerByte {
		set = append(set, 0)
	}
	set[index/bitsPerByte] |= 1 << (index % bitsPerByte)
	return set
}

// WithAddresses returns the set with the candidates at these addresses added.
func (s AskedSet) WithAddresses(candidates []Candidate, addresses []uint64) AskedSet {
	for i, c := range candidates {
		if slices.Contains(addresses, c.Address) {
			s = s.With(i)
		}
	}
	return s
}

// Has reports whether the candidate of this index is in the set.
func (s AskedSet) Has(index int) bool {
	return index/bitsPerByte < len(s) && s[index/bitsPerByte]&(1<<(index%bitsPerByte)) != 0
}

// hasAddress reports whether the candidate at this address is in the set.
func (s AskedSet) hasAddress(candidates []Candidate, address uint64) bool {
	i := slices.IndexFunc(candidates, func(c Candidate) bool { return c.Address == address })
	return i >= 0 && s.Has(i)
}

// union returns the candidates that are in one of the two sets.
func (s AskedSet) union(other AskedSet) AskedSet {
	if len(other) > len(s) {
		s, other = other, s
	}
	set := bytes.Clone(s)
	for i, b := range other {
		set[i] |= b
	}
	return set
}

// hasAll reports whether the set has the first count candidates.
func (s AskedSet) hasAll(count int) bool {
	for i := range count {
		if !s.Has(i) {
			return false
		}
	}
	return true
}

// NextPart returns the addresses of the next candidates to ask for the flow with this hash, in
// order and at most MaxHopsPerPart. It returns none when all have been asked. Within a rank,
// rendezvous hashing determines the order, so that all balancers use the same one.
func NextPart(candidates []Candidate, asked AskedSet, hash uint64) []uint64 {
	return nextHops(candidates, asked, hash, MaxHopsPerPart)
}

// nextHops returns the addresses of at most limit candidates that have not been asked, in order.
func nextHops(candidates []Candidate, asked AskedSet, hash uint64, limit int) []uint64 {
	order := make([]Candidate, 0, len(candidates))
	for i, c := range candidates {
		if !asked.Has(i) {
			order = append(order, c)
		}
	}
	slices.SortFunc(order, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(RendezvousScore(b.Address, hash^b.Salt), RendezvousScore(a.Address, hash^a.Salt)))
	})
	hops := make([]uint64, 0, limit)
	for _, c := range order[:min(len(order), limit)] {
		hops = append(hops, c.Address)
	}
	return hops
}

// RendezvousScore returns the rendezvous hashing score of the sidecar at this address for the flow
// or balancer with this hash. The highest score is the first choice.
func RendezvousScore(address, hash uint64) uint64 {
	var input [16]byte
	binary.LittleEndian.PutUint64(input[:], address)
	binary.LittleEndian.PutUint64(input[8:], hash)
	return xxhash.Sum64(input[:])
}
