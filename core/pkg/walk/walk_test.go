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
	stops := []Candidate{{Address: 1}, {Address: 2, Rank: 1}}
	asked := AskedSet{}
	for hops := NextPart(stops, asked, 7); len(hops) > 0; hops = NextPart(stops, asked, 7) {
		fmt.Println(hops)
		asked = asked.WithAddresses(stops, hops)
	}
	// Output: [1 2]
}

// next gives the hops of the next part, from the stops as they are now.
type next func(stops []Candidate, asked AskedSet, part int) []uint64

// missed returns the number of stops that whole walks have not asked, while sidecars fall silent and are heard again
// between two parts.
func missed(n next) int {
	random := rand.New(rand.NewPCG(1, 2))
	count := 0
	for range 200 {
		stops := make([]Candidate, 60)
		for i := range stops {
			stops[i] = Candidate{Address: uint64(i + 1)}
		}
		asked := AskedSet{}
		seen := map[uint64]bool{}
		for part := 0; ; part++ {
			for i := range stops {
				stops[i].Rank = random.IntN(2)
			}
			hops := n(stops, asked, part)
			if len(hops) == 0 {
				break
			}
			for _, hop := range hops {
				seen[hop] = true
			}
			asked = asked.WithAddresses(stops, hops)
		}
		count += len(stops) - len(seen)
	}
	return count
}

// byNumber cuts the present order into parts by number alone, as an earlier version did. On a quiet day of the grown
// site a sidecar moved between the parts, was never asked, and the open flow that it held was reset.
func byNumber(stops []Candidate, _ AskedSet, part int) []uint64 {
	order := slices.Clone(stops)
	slices.SortStableFunc(order, func(a, b Candidate) int { return a.Rank - b.Rank })
	first := min(part*MaxHopsPerPart, len(order))
	var hops []uint64
	for _, s := range order[first:min(first+MaxHopsPerPart, len(order))] {
		hops = append(hops, s.Address)
	}
	return hops
}

func TestWalkAsksEverySidecarWhileTheyFallSilentAndAreHeardAgain(t *testing.T) {
	is := is.New(t)
	is.True(missed(byNumber) > 0)
	is.Equal(missed(func(stops []Candidate, asked AskedSet, _ int) []uint64 { return NextPart(stops, asked, 42) }), 0)
}

var now = time.Unix(1000, 0)

func neighbor(hop uint64, zone string, heard time.Time) landing.KnownSidecar {
	return landing.KnownSidecar{}.WithAddress(hop).WithLastStatusAt(heard).WithEnrollment(landing.Enrollment{}.WithZone(zone).WithService("s"))
}

func all(string) bool { return true }

// A zone loses its power. A balancer follows a part of the sidecars; a packet that came to one of the others in that zone
// was lost, and so were its copies, which took the same way.
func TestSidecarsOfASilentZoneAreAskedLast(t *testing.T) {
	is := is.New(t)
	old := now.Add(-2 * time.Second)
	list := []landing.KnownSidecar{
		neighbor(1, "a", old), neighbor(2, "a", time.Time{}),
		neighbor(3, "b", now), neighbor(4, "b", time.Time{}),
	}
	for hash := range uint64(20) {
		hops := NextPart(NewCandidates(list, all, now), nil, hash)
		is.Equal(hops[:2], []uint64{3, 4})
	}
}

func TestCopiesTakeAnotherWayAmongSidecarsThatAreNotFollowed(t *testing.T) {
	is := is.New(t)
	var list []landing.KnownSidecar
	for i := range uint64(20) {
		list = append(list, neighbor(i+1, "a", time.Time{}))
	}
	first := NextPart(NewCandidates(list, all, now), nil, 7)
	second := NextPart(NewCandidates(list, all, now.Add(200*time.Millisecond)), nil, 7)
	is.True(!slices.Equal(first, second))
}

func TestSidecarsOfOtherServicesAreAskedLast(t *testing.T) {
	is := is.New(t)
	other := neighbor(1, "a", now)
	other = other.WithEnrollment(other.Enrollment().WithService("t"))
	silent := neighbor(2, "a", now.Add(-time.Minute))
	hops := NextPart(NewCandidates([]landing.KnownSidecar{other, silent}, func(s string) bool { return s == "s" }, now), nil, 1)
	is.Equal(hops, []uint64{2, 1})
}
