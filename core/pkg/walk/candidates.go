package walk

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

const (
	// SilentAfter is the time without a status after which a sidecar that the balancer subscribes
	// to counts as silent: three status intervals of 250 ms plus 50 ms of slack.
	SilentAfter = 800 * time.Millisecond
	// reorderInterval is the time after which sidecars that the balancer does not subscribe to are
	// asked in another order. A packet that is lost at a dead sidecar is retransmitted after 200 ms
	// and then takes another path.
	reorderInterval = 150 * time.Millisecond
)

// Ranks of the candidates. A packet that is sent to a dead sidecar is lost, so silent sidecars come
// last among those of services that the flow may go to.
const (
	// rankTimely is for sidecars whose last status is at most SilentAfter old.
	rankTimely = iota
	// rankUnsubscribed is for sidecars that the balancer does not subscribe to.
	rankUnsubscribed
	// rankDoubted is for sidecars that have recently left a packet unanswered, and for those that have
	// announced that they stop.
	rankDoubted
	// rankSilent is for sidecars whose statuses are missing, and for those that the balancer does
	// not subscribe to in a silent zone.
	rankSilent
	// rankCount is the number of ranks above. It is added to the rank of sidecars of services that
	// the flow may not go to, so that they come after all others.
	rankCount
)

// NewCandidates returns the sidecars as candidates of a walk. IsAllowed reports whether new flows
// of the listener may go to a service. Sidecars of services for which it returns false come last.
// They are not left out, since open flows stay where they are when the rules change. The addresses in
// doubted are those of sidecars that have recently left a packet unanswered.
func NewCandidates(sidecars []landing.KnownSidecar, isAllowed func(service string) bool, doubted map[uint64]bool, now time.Time) []Candidate {
	silentZones := findSilentZones(sidecars, now)
	candidates := make([]Candidate, 0, len(sidecars))
	for _, s := range sidecars {
		candidate := Candidate{Address: s.Address(), Rank: rankOf(s, silentZones, now)}
		isStopping := candidate.Rank == rankTimely && s.LastStatus().UpstreamPhase() == landing.PhaseUnspecified
		if candidate.Rank < rankDoubted && (doubted[s.Address()] || isStopping) {
			candidate.Rank = rankDoubted
		}
		if candidate.Rank == rankUnsubscribed {
			candidate.Salt = uint64(now.UnixNano() / int64(reorderInterval))
		}
		if !isAllowed(s.Enrollment().Service()) {
			candidate.Rank += rankCount
		}
		candidates = append(candidates, candidate)
	}
	return candidates
}

// rankOf returns the rank of a sidecar within its service.
func rankOf(s landing.KnownSidecar, silentZones map[string]bool, now time.Time) int {
	switch {
	case s.LastStatusAt().IsZero() && !silentZones[s.Enrollment().Zone()]:
		return rankUnsubscribed
	case s.LastStatusAt().IsZero() || now.Sub(s.LastStatusAt()) > SilentAfter:
		return rankSilent
	}
	return rankTimely
}

// findSilentZones returns, for each zone with sidecars that the balancer subscribes to, whether all
// of these are silent. The other sidecars of a silent zone are assumed to be silent as well.
func findSilentZones(sidecars []landing.KnownSidecar, now time.Time) map[string]bool {
	silent := map[string]bool{}
	for _, s := range sidecars {
		if s.LastStatusAt().IsZero() {
			continue
		}
		zone := s.Enrollment().Zone()
		isSilent := now.Sub(s.LastStatusAt()) > SilentAfter
		if othersSilent, known := silent[zone]; known {
			isSilent = isSilent && othersSilent
		}
		silent[zone] = isSilent
	}
	return silent
}
