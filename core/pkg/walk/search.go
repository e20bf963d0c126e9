package walk

import (
	"slices"
	"time"
)

const (
	// PartTimeout is the time after which a part that has not come back counts as lost. Eight hops
	// between zones, 1.4 ms apart, take 12 ms, and an upstream acknowledges a packet that was offered
	// to it within 40 ms, after which its sidecar claims the flow.
	PartTimeout = 70 * time.Millisecond
	// minBurst is the smallest number of sidecars that a wide search asks at once.
	minBurst = 32
	// burstsPerSearch is the number of bursts in which a wide search asks all remaining sidecars, if
	// minBurst does not suffice.
	burstsPerSearch = 8
	// BurstInterval is the time between two bursts of a wide search.
	BurstInterval = 20 * time.Millisecond
	// deferredRank is added to the rank of a candidate that is asked after all others.
	deferredRank = 2 * rankCount
)

// Search is the walk of one packet with what has come back of it. It is immutable. The zero value is
// the search of a packet that has not been sent.
//
// The load pattern that it answers: a balancer that does not know a flow asks sidecars of which
// several have just stopped and are still enrolled. A packet that reaches one of them is lost, and
// with it all that the rest of its part would have told. A search therefore has a deadline for each
// part. When a part is lost, its sidecars are asked again, each by a packet of its own, so that no
// silent one stands before the holder of the flow. From then on the search is wide: the parts of all
// other sidecars are sent without waiting for each other.
type Search struct {
	// asked are the sidecars that have returned the packet, since they do not hold its flow.
	asked AskedSet
	// sent are the sidecars to which the packet was sent, alone or in a part.
	sent AskedSet
	// outstanding are the parts that have not come back.
	outstanding []outstandingPart
	// deferred are the sidecars that have returned an earlier copy of the packet. They are asked last.
	deferred AskedSet
	// isWide reports whether parts are sent without waiting for each other.
	isWide bool
	// isAbandoned reports whether the search was given up since a part was lost.
	isAbandoned bool
	// isAllSent reports whether the last burst has left no sidecar to ask.
	isAllSent bool
	// lastBurstAt is the time of the last burst; the zero time before the first.
	lastBurstAt time.Time
}

// outstandingPart is a part that is on its way.
type outstandingPart struct {
	hops   []uint64
	sentAt time.Time
}

// ForNextCopy returns the search of the next copy of the packet: it begins with the sidecars that have
// not returned this one, and is wide if this one is.
func (s Search) ForNextCopy() Search {
	return Search{deferred: s.asked.union(s.deferred), isWide: s.isWide}
}

// WithReturned returns the search after the part with these hops has come back: none of them holds
// the flow.
func (s Search) WithReturned(candidates []Candidate, hops []uint64) Search {
	s.asked = s.asked.WithAddresses(candidates, hops)
	s.sent = s.sent.WithAddresses(candidates, hops)
	s.outstanding = slices.DeleteFunc(slices.Clone(s.outstanding), func(p outstandingPart) bool { return slices.Equal(p.hops, hops) })
	return s
}

// Next returns the parts to send now to find the holder of the flow with this hash, the addresses of
// the sidecars that have left their packet unanswered, and the search after that. Sidecars in the set
// skipped are not asked. Unless mayWiden is set, the search ends when a part is lost, and the next copy
// begins where it got to: after a power loss, which has ended most flows, all searches would otherwise
// go on to the last sidecar and find nothing.
func (s Search) Next(candidates []Candidate, skipped AskedSet, hash uint64, mayWiden bool, now time.Time) (Search, [][]uint64, []uint64) {
	s, parts, silent := s.withoutLostParts(candidates, mayWiden, now)
	candidates = s.withDeferredLast(candidates)
	if s.isAbandoned {
		return s, nil, nil
	}
	if s.isWide {
		s, parts = s.withBurst(candidates, skipped, hash, parts, now)
	} else if len(s.outstanding) == 0 {
		if hops := NextPart(candidates, s.sent.union(skipped), hash); len(hops) > 0 {
			parts = append(parts, hops)
		}
	}
	for _, hops := range parts {
		s.sent = s.sent.WithAddresses(candidates, hops)
		s.outstanding = append(slices.Clip(s.outstanding), outstandingPart{hops: hops, sentAt: now})
	}
	return s, parts, silent
}

// withoutLostParts returns the search without the parts that were not returned in time, the parts in
// which their sidecars are asked again, and the sidecars that were asked alone and are silent.
func (s Search) withoutLostParts(candidates []Candidate, mayWiden bool, now time.Time) (Search, [][]uint64, []uint64) {
	var parts [][]uint64
	var silent []uint64
	var current []outstandingPart
	for _, p := range s.outstanding {
		switch {
		case now.Sub(p.sentAt) < PartTimeout:
			current = append(current, p)
		case len(p.hops) == 1:
			if !s.asked.hasAddress(candidates, p.hops[0]) {
				silent = append(silent, p.hops[0])
			}
		case !mayWiden && !s.isWide:
			s.isAbandoned = true
		default:
			s.isWide = true
			for _, hop := range p.hops {
				parts = append(parts, []uint64{hop})
			}
		}
	}
	s.outstanding = current
	return s, parts, silent
}

// withBurst adds parts for the next sidecars that have not been asked, unless the last burst was less
// than BurstInterval ago.
func (s Search) withBurst(candidates []Candidate, skipped AskedSet, hash uint64, parts [][]uint64, now time.Time) (Search, [][]uint64) {
	if now.Sub(s.lastBurstAt) < BurstInterval {
		return s, parts
	}
	s.lastBurstAt = now
	limit := max(minBurst, len(candidates)/burstsPerSearch)
	hops := nextHops(candidates, s.sent.union(skipped), hash, limit)
	for part := range slices.Chunk(hops, MaxHopsPerPart) {
		parts = append(parts, slices.Clip(part))
	}
	s.isAllSent = len(hops) < limit
	return s, parts
}

// withDeferredLast returns the candidates with the deferred ones in the last ranks.
func (s Search) withDeferredLast(candidates []Candidate) []Candidate {
	if len(s.deferred) == 0 {
		return candidates
	}
	candidates = slices.Clone(candidates)
	for i := range candidates {
		if s.deferred.Has(i) {
			candidates[i].Rank += deferredRank
		}
	}
	return candidates
}

// DueAt returns the time at which the search must go on although nothing comes back: the deadline of
// the first part or the next burst. It is the zero time when there is neither.
func (s Search) DueAt() time.Time {
	var due time.Time
	if len(s.outstanding) > 0 {
		// Parts are in the order in which they were sent.
		due = s.outstanding[0].sentAt.Add(PartTimeout)
	}
	if burstAt := s.lastBurstAt.Add(BurstInterval); s.isWide && !s.isAllSent && (due.IsZero() || burstAt.Before(due)) {
		due = burstAt
	}
	return due
}

// IsWide reports whether the search sends parts without waiting for each other.
func (s Search) IsWide() bool {
	return s.isWide
}

// IsEnded reports whether the search was given up, or nothing is outstanding and no sidecar is left to
// ask.
func (s Search) IsEnded(candidates []Candidate, skipped AskedSet) bool {
	return s.isAbandoned || len(s.outstanding) == 0 && s.sent.union(skipped).hasAll(len(candidates))
}

// IsUnheld reports whether all sidecars that are not skipped have returned the packet, so that none
// of them holds the flow.
func (s Search) IsUnheld(candidates []Candidate, skipped AskedSet) bool {
	return s.asked.union(skipped).hasAll(len(candidates))
}
