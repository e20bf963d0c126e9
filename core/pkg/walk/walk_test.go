package walk

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

func ExampleNextPart() {
	candidates := []Candidate{{Address: 1}, {Address: 2, Rank: 1}}
	asked := AskedSet{}
	for addresses := NextPart(candidates, asked, 7); len(addresses) > 0; addresses = NextPart(candidates, asked, 7) {
		fmt.Println(addresses)
		asked = asked.WithAddresses(candidates, addresses)
	}
	// Output: [1 2]
}

// partSelector returns the addresses of the next part of a walk over the candidates in their
// current order.
type partSelector func(candidates []Candidate, asked AskedSet, part int) []uint64

// countMissed returns the number of candidates that 200 complete walks have not asked while the
// ranks of the candidates change between the parts.
func countMissed(selectPart partSelector) int {
	random := rand.New(rand.NewPCG(1, 2))
	count := 0
	for range 200 {
		candidates := make([]Candidate, 60)
		for i := range candidates {
			candidates[i] = Candidate{Address: uint64(i + 1)}
		}
		asked := AskedSet{}
		isAsked := map[uint64]bool{}
		for part := 0; ; part++ {
			for i := range candidates {
				candidates[i].Rank = random.IntN(2)
			}
			hops := selectPart(candidates, asked, part)
			if len(hops) == 0 {
				break
			}
			for _, hop := range hops {
				isAsked[hop] = true
			}
			asked = asked.WithAddresses(candidates, hops)
		}
		count += len(candidates) - len(isAsked)
	}
	return count
}

// selectByPartNumber splits the current order into parts by their number alone, without the set of
// sidecars that have been asked. With it, a sidecar moved from one part to another during a walk
// and was never asked, and the open flow that it held was reset (seen on a quiet day of the grown
// site).
func selectByPartNumber(candidates []Candidate, _ AskedSet, part int) []uint64 {
	order := slices.Clone(candidates)
	slices.SortStableFunc(order, func(a, b Candidate) int { return a.Rank - b.Rank })
	first := min(part*MaxHopsPerPart, len(order))
	var hops []uint64
	for _, c := range order[first:min(first+MaxHopsPerPart, len(order))] {
		hops = append(hops, c.Address)
	}
	return hops
}

func TestNextPart_AsksEverySidecarWhileRanksChange(t *testing.T) {
	is := is.New(t)
	is.True(countMissed(selectByPartNumber) > 0)
	is.Equal(countMissed(func(candidates []Candidate, asked AskedSet, _ int) []uint64 { return NextPart(candidates, asked, 42) }), 0)
}

var now = time.Unix(1000, 0)

// sidecar returns a sidecar of service s whose upstream serves and whose last status arrived at this time; the zero time
// means that the balancer does not subscribe to it.
func sidecar(address uint64, zone string, lastStatusAt time.Time) landing.KnownSidecar {
	return landing.KnownSidecar{}.WithAddress(address).WithLastStatusAt(lastStatusAt).
		WithLastStatus(landing.SidecarStatus{}.WithUpstreamPhase(landing.PhaseServing)).
		WithEnrollment(landing.Enrollment{}.WithZone(zone).WithService("s"))
}

func allowAll(string) bool { return true }

// A zone loses power. A balancer subscribes to only some of the sidecars. A packet to one of the
// other sidecars in that zone was lost, and so were its copies, which took the same path.
func TestNewCandidates_SilentZoneLast(t *testing.T) {
	is := is.New(t)
	overdue := now.Add(-2 * time.Second)
	sidecars := []landing.KnownSidecar{
		sidecar(1, "a", overdue), sidecar(2, "a", time.Time{}),
		sidecar(3, "b", now), sidecar(4, "b", time.Time{}),
	}
	for hash := range uint64(20) {
		hops := NextPart(NewCandidates(sidecars, allowAll, nil, now), nil, hash)
		is.Equal(hops[:2], []uint64{3, 4})
	}
}

// Sidecars that have left a packet unanswered or have announced that they stop are asked after others.
func TestNewCandidates_DoubtedAndStoppingLast(t *testing.T) {
	is := is.New(t)
	stopping := sidecar(1, "a", now).WithLastStatus(landing.SidecarStatus{})
	sidecars := []landing.KnownSidecar{stopping, sidecar(2, "a", now), sidecar(3, "a", time.Time{}), sidecar(4, "a", time.Time{})}
	for hash := range uint64(20) {
		hops := NextPart(NewCandidates(sidecars, allowAll, map[uint64]bool{2: true}, now), nil, hash)
		slices.Sort(hops[:2])
		is.Equal(hops[:2], []uint64{3, 4})
	}
}

func TestNewCandidates_ReordersUnsubscribedForCopies(t *testing.T) {
	is := is.New(t)
	var sidecars []landing.KnownSidecar
	for i := range uint64(20) {
		sidecars = append(sidecars, sidecar(i+1, "a", time.Time{}))
	}
	first := NextPart(NewCandidates(sidecars, allowAll, nil, now), nil, 7)
	second := NextPart(NewCandidates(sidecars, allowAll, nil, now.Add(200*time.Millisecond)), nil, 7)
	is.True(!slices.Equal(first, second))
}

func TestNewCandidates_OtherServicesLast(t *testing.T) {
	is := is.New(t)
	other := sidecar(1, "a", now)
	other = other.WithEnrollment(other.Enrollment().WithService("t"))
	silent := sidecar(2, "a", now.Add(-time.Minute))
	hops := NextPart(NewCandidates([]landing.KnownSidecar{other, silent}, func(s string) bool { return s == "s" }, nil, now), nil, 1)
	is.Equal(hops, []uint64{2, 1})
}
