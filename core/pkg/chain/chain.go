// Package chain orders the targets of a service for each flow.
//
// Flows are hashed to buckets, and each bucket has the targets in weighted rendezvous order
// (Thaler and Ravishankar, 1998; logarithmic weights as in Schindelhauer and Schomaker, 2005).
// A target keeps its score in a bucket whatever other targets come and go, so two rosters that
// differ in few targets give nearly the same order.
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

// MaxHops is the number of sidecars in one part of a chain.
const MaxHops = 8

const (
	bucketsPerTarget = 128
	maxBuckets       = 1 << 13
	mantissaBits     = 53
	// spareFactor makes the weight of a spare target so small that it comes after all others.
	spareFactor = 1e-18
)

// Table gives the chain of each flow of one service. It is immutable.
type Table struct {
	service  string
	roster   uint64
	mask     uint64
	targets  []landing.Target
	entrants []entrant
	buckets  []uint32
	verdicts []landing.Verdict
}

// entrant is one target with what its score is computed from.
type entrant struct {
	seed   uint64
	weight float64
	hop    landing.Hop
	name   string
}

type scored struct {
	index uint16
	score float64
}

// New returns the table of service over targets, which belong to the roster with this serial number.
// Targets that have left or whose address cannot be read are passed over. The spare ones come after all
// others: they are there for the flows that they hold and not for new ones.
func New(service string, roster uint64, targets []landing.Target, isSpare func(landing.Target) bool) *Table {
	t := &Table{service: service, roster: roster, targets: slices.Clone(targets)}
	for _, target := range targets {
		t.addEntrant(target, isSpare(target))
	}
	t.fill()
	return t
}

// MatchesTargets says whether the table orders these same targets.
func (t *Table) MatchesTargets(targets []landing.Target) bool {
	return slices.EqualFunc(t.targets, targets, hasSamePlace)
}

// hasSamePlace says whether two forms of a target stand at the same place in every order.
func hasSamePlace(a, b landing.Target) bool {
	gone := landing.PhaseLeft
	return a.Instance() == b.Instance() && a.Front() == b.Front() && a.Weight() == b.Weight() &&
		(a.Phase() == gone) == (b.Phase() == gone)
}

// WithRosterSerial returns a table whose chains carry another serial number of the roster.
func (t *Table) WithRosterSerial(roster uint64) *Table {
	next := *t
	next.roster = roster
	next.verdicts = make([]landing.Verdict, len(t.verdicts))
	for i, v := range t.verdicts {
		next.verdicts[i] = withRoster(v, roster)
	}
	return &next
}

func withRoster(v landing.Verdict, roster uint64) landing.Verdict {
	switch v := v.(type) {
	case landing.Forward:
		return v.WithChain(v.Chain().WithRosterSerial(roster))
	case landing.Refuse:
		return v
	}
	return v
}

func (t *Table) addEntrant(target landing.Target, isSpare bool) {
	front, err := netip.ParseAddrPort(target.Front())
	if err != nil || target.Phase() == landing.PhaseLeft {
		return
	}
	hop := landing.Hop{}.
		WithAddress(address.ToUint32(front.Addr())).
		WithPort(uint32(front.Port()))
	weight := float64(max(target.Weight(), 1))
	if isSpare {
		weight *= spareFactor
	}
	t.entrants = append(t.entrants, entrant{
		seed:   xxhash.Sum64String(target.Instance()),
		weight: weight,
		hop:    hop,
		name:   target.Instance(),
	})
}

func (t *Table) fill() {
	if len(t.entrants) == 0 {
		return
	}
	count := bucketCount(len(t.entrants))
	t.mask = uint64(count - 1)
	t.buckets = make([]uint32, count)
	known := map[head]uint32{}
	for bucket := range count {
		first := t.head(uint64(bucket))
		i, ok := known[first]
		if !ok {
			i = uint32(len(t.verdicts))
			known[first] = i
			t.verdicts = append(t.verdicts, landing.Forward{}.WithChain(t.chainOf(first)))
		}
		t.buckets[bucket] = i
	}
}

func bucketCount(targets int) int {
	wanted := uint(targets * bucketsPerTarget)
	return min(1<<bits.Len(wanted-1), maxBuckets)
}

// rank writes the order of bucket into order, which has one place for each target.
func (t *Table) rank(bucket uint64, order []scored) {
	for i, e := range t.entrants {
		order[i] = scored{uint16(i), score(e, bucket)}
	}
	slices.SortFunc(order, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.index, b.index))
	})
}

// score is the weighted rendezvous score: weight over the negative logarithm of a number in (0, 1).
func score(e entrant, bucket uint64) float64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], e.seed)
	binary.LittleEndian.PutUint64(b[8:], bucket)
	fraction := (float64(xxhash.Sum64(b[:])>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return e.weight / -math.Log(fraction)
}

// chainOf returns the first part of the chain for the order that begins with h.
func (t *Table) chainOf(h head) landing.Chain {
	hops := make([]landing.Hop, 0, h.count)
	for _, i := range h.targets[:h.count] {
		hops = append(hops, t.entrants[i].hop)
	}
	return landing.Chain{}.
		WithService(t.service).
		WithRosterSerial(t.roster).
		WithHops(hops...).
		WithHasMore(len(t.entrants) > h.count)
}

// part returns the chain that holds part number part of the order.
func (t *Table) part(order []scored, part int) landing.Chain {
	first := min(part*MaxHops, len(order))
	last := min(first+MaxHops, len(order))
	hops := make([]landing.Hop, 0, last-first)
	for _, s := range order[first:last] {
		hops = append(hops, t.entrants[s.index].hop)
	}
	return landing.Chain{}.
		WithService(t.service).
		WithRosterSerial(t.roster).
		WithHops(hops...).
		WithHasMore(last < len(order))
}

// Verdict returns the verdict for flow k: the first part of its chain, or a refusal when there is no target.
func (t *Table) Verdict(k landing.FlowKey) landing.Verdict {
	if len(t.buckets) == 0 {
		return refuseZone
	}
	return t.verdicts[t.buckets[t.bucket(k)]]
}

// VerdictForPart returns the verdict with part number part of the chain, from 0.
func (t *Table) VerdictForPart(k landing.FlowKey, part int) landing.Verdict {
	if part == 0 || len(t.buckets) == 0 {
		return t.Verdict(k)
	}
	order := make([]scored, len(t.entrants))
	t.rank(t.bucket(k), order)
	c := t.part(order, part)
	if c.HopsLen() == 0 {
		return refuseUnknown
	}
	return landing.Forward{}.WithChain(c)
}

// Instances returns the instance names of all targets in the order in which flow k is offered to them.
func (t *Table) Instances(k landing.FlowKey) []string {
	if len(t.buckets) == 0 {
		return nil
	}
	order := make([]scored, len(t.entrants))
	t.rank(t.bucket(k), order)
	names := make([]string, 0, len(order))
	for _, s := range order {
		names = append(names, t.entrants[s.index].name)
	}
	return names
}

func (t *Table) bucket(k landing.FlowKey) uint64 {
	return HashKey(k) & t.mask
}

// HashKey returns the hash of flow k, the same in every process.
func HashKey(k landing.FlowKey) uint64 {
	var b [12]byte
	binary.LittleEndian.PutUint32(b[:], k.SourceAddress())
	binary.LittleEndian.PutUint32(b[4:], k.DestinationAddress())
	binary.LittleEndian.PutUint16(b[8:], uint16(k.SourcePort()))
	binary.LittleEndian.PutUint16(b[10:], uint16(k.DestinationPort()))
	return xxhash.Sum64(b[:])
}

var (
	refuseZone    landing.Verdict = landing.Refuse{}.WithReason(landing.RefusalZone)
	refuseUnknown landing.Verdict = landing.Refuse{}.WithReason(landing.RefusalUnknown)
)
