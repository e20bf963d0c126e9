// Package chain computes the chain of each flow: the order in which the flow is offered to the
// targets of its service. A target is an upstream with the sidecar through which it is reached. The
// targets are listed in the roster, of which every region has one. A hop is the address of one
// sidecar in a chain.
//
// Flows are hashed to buckets, and each bucket has the targets in weighted rendezvous order (Thaler
// and Ravishankar, 1998; logarithmic weights as in Schindelhauer and Schomaker, 2005). The score of
// a target in a bucket does not depend on the other targets. Two rosters that differ in few targets
// therefore give nearly the same order, as long as the number of buckets, which depends on the
// number of targets, is the same.
package chain

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/bits"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
)

// MaxHops is the largest number of sidecars in one part of a chain. A packet carries one part; when
// none of its sidecars accepts the packet, a balancer sends it along the next part.
const MaxHops = 8

const (
	// bucketsPerTarget is the smallest number of buckets for each target of a service, unless the
	// total would exceed maxBuckets.
	bucketsPerTarget = 128
	maxBuckets       = 1 << 13
	// mantissaBits is the number of significant bits of a float64.
	mantissaBits = 53
	// spareWeightFactor makes the weight of a spare target so small that it ranks after all others.
	spareWeightFactor = 1e-18
)

// Table holds the chains of one service for all flows. The verdict with the first part of the chain
// is precomputed for each bucket; verdictIndexes holds its index in verdicts. A Table is immutable.
type Table struct {
	service        string
	rosterSerial   uint64
	bucketMask     uint64
	targets        []landing.Target
	candidates     []candidate
	verdictIndexes []uint32
	verdicts       []landing.Verdict
}

// candidate is a target with the inputs of its score: weight and seed, which is the hash of the
// instance name.
type candidate struct {
	seed   uint64
	weight float64
	hop    landing.Hop
	name   string
}

// scoredCandidate is the score in one bucket of the candidate at this index of Table.candidates.
type scoredCandidate struct {
	index uint16
	score float64
}

// New returns the table of service for targets, which come from the roster with this serial number.
// Targets that have left or whose address is invalid are skipped. Targets for which isSpare returns
// true rank after all others: they are in the chain for the flows that they already hold, not for
// new flows.
func New(service string, rosterSerial uint64, targets []landing.Target, isSpare func(landing.Target) bool) *Table {
	t := &Table{service: service, rosterSerial: rosterSerial, targets: slices.Clone(targets)}
	for _, target := range targets {
		t.addCandidate(target, isSpare(target))
	}
	t.buildVerdicts()
	return t
}

// MatchesTargets reports whether a table for targets would have the same chains as this one, so
// that it need not be built again. It assumes that the same targets are spare.
func (t *Table) MatchesTargets(targets []landing.Target) bool {
	return slices.EqualFunc(t.targets, targets, hasSameRank)
}

// hasSameRank reports whether two versions of a target have the same address and the same score in
// every bucket, and whether either both of them have left or neither has.
func hasSameRank(a, b landing.Target) bool {
	left := landing.PhaseLeft
	return a.Instance() == b.Instance() && a.Front() == b.Front() && a.Weight() == b.Weight() &&
		(a.Phase() == left) == (b.Phase() == left)
}

// WithRosterSerial returns a copy of the table whose chains carry this roster serial number.
func (t *Table) WithRosterSerial(rosterSerial uint64) *Table {
	next := *t
	next.rosterSerial = rosterSerial
	next.verdicts = make([]landing.Verdict, len(t.verdicts))
	for i, v := range t.verdicts {
		next.verdicts[i] = withRosterSerial(v, rosterSerial)
	}
	return &next
}

func withRosterSerial(v landing.Verdict, rosterSerial uint64) landing.Verdict {
	switch v := v.(type) {
	case landing.Forward:
		return v.WithChain(v.Chain().WithRosterSerial(rosterSerial))
	case landing.Refuse:
		return v
	}
	return v
}

func (t *Table) addCandidate(target landing.Target, isSpare bool) {
	front, err := netip.ParseAddrPort(target.Front())
	if err != nil || target.Phase() == landing.PhaseLeft {
		return
	}
	hop := landing.Hop{}.
		WithAddress(address.ToUint32(front.Addr())).
		WithPort(uint32(front.Port()))
	weight := float64(max(target.Weight(), 1))
	if isSpare {
		weight *= spareWeightFactor
	}
	t.candidates = append(t.candidates, candidate{
		seed:   xxhash.Sum64String(target.Instance()),
		weight: weight,
		hop:    hop,
		name:   target.Instance(),
	})
}

// buildVerdicts computes the verdict of every bucket. Buckets with the same first part share one
// verdict.
func (t *Table) buildVerdicts() {
	if len(t.candidates) == 0 {
		return
	}
	count := bucketCount(len(t.candidates))
	t.bucketMask = uint64(count - 1)
	t.verdictIndexes = make([]uint32, count)
	indexes := map[firstPart]uint32{}
	for bucket := range count {
		part := t.firstPartOf(uint64(bucket))
		index, ok := indexes[part]
		if !ok {
			index = uint32(len(t.verdicts))
			indexes[part] = index
			t.verdicts = append(t.verdicts, landing.Forward{}.WithChain(t.chainOfFirstPart(part)))
		}
		t.verdictIndexes[bucket] = index
	}
}

// bucketCount returns the number of buckets, a power of two, for this number of targets.
func bucketCount(targets int) int {
	minimum := uint(targets * bucketsPerTarget)
	return min(1<<bits.Len(minimum-1), maxBuckets)
}

// rankCandidates fills ranking with all candidates and their scores in bucket, highest score first.
// Ranking must have the length of t.candidates.
func (t *Table) rankCandidates(bucket uint64, ranking []scoredCandidate) {
	for i, c := range t.candidates {
		ranking[i] = scoredCandidate{uint16(i), score(c, bucket)}
	}
	slices.SortFunc(ranking, func(a, b scoredCandidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.index, b.index))
	})
}

// score returns the weighted rendezvous score of c in bucket: the weight of c divided by the
// negative logarithm of a hash mapped to the interval (0, 1).
func score(c candidate, bucket uint64) float64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], c.seed)
	binary.LittleEndian.PutUint64(b[8:], bucket)
	fraction := (float64(xxhash.Sum64(b[:])>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return c.weight / -math.Log(fraction)
}

// chainOfFirstPart returns the chain that consists of this first part.
func (t *Table) chainOfFirstPart(part firstPart) landing.Chain {
	hops := make([]landing.Hop, 0, part.count)
	for _, i := range part.candidates[:part.count] {
		hops = append(hops, t.candidates[i].hop)
	}
	return landing.Chain{}.
		WithService(t.service).
		WithRosterSerial(t.rosterSerial).
		WithHops(hops...).
		WithHasMore(len(t.candidates) > part.count)
}

// chainOfPart returns the chain that consists of the part of the ranking with this number, counted
// from 0. The chain has no hops when the ranking has fewer parts.
func (t *Table) chainOfPart(ranking []scoredCandidate, number int) landing.Chain {
	first := min(number*MaxHops, len(ranking))
	last := min(first+MaxHops, len(ranking))
	hops := make([]landing.Hop, 0, last-first)
	for _, s := range ranking[first:last] {
		hops = append(hops, t.candidates[s.index].hop)
	}
	return landing.Chain{}.
		WithService(t.service).
		WithRosterSerial(t.rosterSerial).
		WithHops(hops...).
		WithHasMore(last < len(ranking))
}

// Verdict returns the verdict for flow k: the first part of its chain, or a refusal when the
// service has no target.
func (t *Table) Verdict(k landing.FlowKey) landing.Verdict {
	if len(t.verdictIndexes) == 0 {
		return zoneRefusal
	}
	return t.verdicts[t.verdictIndexes[t.bucketOf(k)]]
}

// VerdictForPart returns the verdict with the given part of the chain of flow k, counted from 0, or
// a refusal when the chain has fewer parts.
func (t *Table) VerdictForPart(k landing.FlowKey, part int) landing.Verdict {
	if part == 0 || len(t.verdictIndexes) == 0 {
		return t.Verdict(k)
	}
	ranking := make([]scoredCandidate, len(t.candidates))
	t.rankCandidates(t.bucketOf(k), ranking)
	c := t.chainOfPart(ranking, part)
	if c.HopsLen() == 0 {
		return unknownRefusal
	}
	return landing.Forward{}.WithChain(c)
}

// Instances returns the instance names of all targets in the order of the chain of flow k, or nil
// when the service has no target.
func (t *Table) Instances(k landing.FlowKey) []string {
	if len(t.verdictIndexes) == 0 {
		return nil
	}
	ranking := make([]scoredCandidate, len(t.candidates))
	t.rankCandidates(t.bucketOf(k), ranking)
	names := make([]string, 0, len(ranking))
	for _, s := range ranking {
		names = append(names, t.candidates[s.index].name)
	}
	return names
}

func (t *Table) bucketOf(k landing.FlowKey) uint64 {
	return HashKey(k) & t.bucketMask
}

// HashKey returns the hash of flow k. It is the same in every process.
func HashKey(k landing.FlowKey) uint64 {
	var b [12]byte
	binary.LittleEndian.PutUint32(b[:], k.SourceAddress())
	binary.LittleEndian.PutUint32(b[4:], k.DestinationAddress())
	binary.LittleEndian.PutUint16(b[8:], uint16(k.SourcePort()))
	binary.LittleEndian.PutUint16(b[10:], uint16(k.DestinationPort()))
	return xxhash.Sum64(b[:])
}

var (
	zoneRefusal    landing.Verdict = landing.Refuse{}.WithReason(landing.RefusalZone)
	unknownRefusal landing.Verdict = landing.Refuse{}.WithReason(landing.RefusalUnknown)
)
