package subset

import (
	"testing"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

func fleet(n int) []landing.KnownSidecar {
	var list []landing.KnownSidecar
	for i := range n {
		list = append(list, landing.KnownSidecar{}.WithAddress(uint64(i+1)).WithEnrollment(landing.Enrollment{}.WithService("s")))
	}
	return list
}

func TestSmallServicesAreFollowedWhole(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Pick(fleet(MaxPerService), 1)), MaxPerService)
}

// 200 sidecars and 100 balancers: 20,000 pairs before.
func TestLargeServicesAreFollowedInPartAndEverySidecarBySome(t *testing.T) {
	is := is.New(t)
	followers := map[uint64]int{}
	for balancer := range uint64(100) {
		picked := Pick(fleet(200), balancer*7919)
		is.Equal(len(picked), MaxPerService)
		for _, n := range picked {
			followers[n.Address()]++
		}
	}
	is.Equal(len(followers), 200)
	for _, n := range followers {
		is.True(n >= 3)
	}
}

func TestOneSidecarMoreChangesOneOfTheSet(t *testing.T) {
	is := is.New(t)
	before := map[uint64]bool{}
	for _, n := range Pick(fleet(200), 5) {
		before[n.Address()] = true
	}
	changed := 0
	for _, n := range Pick(fleet(201), 5) {
		if !before[n.Address()] {
			changed++
		}
	}
	is.True(changed <= 1)
}
