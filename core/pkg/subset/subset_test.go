package subset

import (
	"testing"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// sidecars returns this many sidecars of one service.
func sidecars(count int) []landing.KnownSidecar {
	var list []landing.KnownSidecar
	for i := range count {
		list = append(list, landing.KnownSidecar{}.WithAddress(uint64(i+1)).WithEnrollment(landing.Enrollment{}.WithService("s")))
	}
	return list
}

func TestPick_KeepsAllSidecarsOfSmallService(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Pick(sidecars(MaxPerService), 1)), MaxPerService)
}

// Guards against subsets that overlap so much that some sidecars have fewer than three subscribers;
// the mean is 12 (100 balancers with 24 of 200 sidecars each).
// If every balancer subscribed to every sidecar instead, 200 sidecars and 100 balancers would have
// 20,000 subscriptions.
func TestPick_CoversAllSidecarsOfLargeService(t *testing.T) {
	is := is.New(t)
	subscribers := map[uint64]int{}
	for balancer := range uint64(100) {
		chosen := Pick(sidecars(200), balancer*7919) // a different hash for each balancer
		is.Equal(len(chosen), MaxPerService)
		for _, s := range chosen {
			subscribers[s.Address()]++
		}
	}
	is.Equal(len(subscribers), 200)
	for _, count := range subscribers {
		is.True(count >= 3)
	}
}

func TestPick_AdditionalSidecarChangesAtMostOneChoice(t *testing.T) {
	is := is.New(t)
	before := map[uint64]bool{}
	for _, s := range Pick(sidecars(200), 5) {
		before[s.Address()] = true
	}
	changed := 0
	for _, s := range Pick(sidecars(201), 5) {
		if !before[s.Address()] {
			changed++
		}
	}
	is.True(changed <= 1)
}
