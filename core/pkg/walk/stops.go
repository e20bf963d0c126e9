package walk

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

const (
	// SilentAfter is the time without a status after which a sidecar counts as silent: three statuses of a sidecar that
	// the balancer follows.
	SilentAfter = 800 * time.Millisecond
	// turn is the time after which sidecars that are not followed are asked in another order: a packet that is lost at a
	// dead one is sent again after 200 ms, and then takes another way.
	turn = 150 * time.Millisecond
)

// Ranks of the sidecars in a walk. A packet ends at a sidecar that is dead, so those come last.
const (
	rankHeard = iota
	rankUnknown
	rankSilent
	rankCount
)

// NewCandidates returns the sidecars as stops of a walk. IsAllowed says whether new flows of the listener may go to a service;
// sidecars of other services come last, since rules that have changed leave open flows where they are.
func NewCandidates(neighbors []landing.KnownSidecar, isAllowed func(service string) bool, now time.Time) []Candidate {
	silent := silentZones(neighbors, now)
	list := make([]Candidate, 0, len(neighbors))
	for _, n := range neighbors {
		s := Candidate{Address: n.Address(), Rank: rankOf(n, silent, now)}
		if s.Rank == rankUnknown {
			s.Salt = uint64(now.UnixNano() / int64(turn))
		}
		if !isAllowed(n.Enrollment().Service()) {
			s.Rank += rankCount
		}
		list = append(list, s)
	}
	return list
}

func rankOf(n landing.KnownSidecar, silent map[string]bool, now time.Time) int {
	switch {
	case n.LastStatusAt().IsZero() && !silent[n.Enrollment().Zone()]:
		return rankUnknown
	case n.LastStatusAt().IsZero() || now.Sub(n.LastStatusAt()) > SilentAfter:
		return rankSilent
	}
	return rankHeard
}

// silentZones returns the zones of which all sidecars that the balancer follows have fallen silent. Those that it does not
// follow there are taken to be silent as well.
func silentZones(neighbors []landing.KnownSidecar, now time.Time) map[string]bool {
	silent := map[string]bool{}
	for _, n := range neighbors {
		if n.LastStatusAt().IsZero() {
			continue
		}
		zone := n.Enrollment().Zone()
		isSilent := now.Sub(n.LastStatusAt()) > SilentAfter
		if before, known := silent[zone]; known {
			isSilent = isSilent && before
		}
		silent[zone] = isSilent
	}
	return silent
}
