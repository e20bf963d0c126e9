package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// BenchmarkOrder places a flow among the sidecars of a service, with the candidates made for it.
func BenchmarkOrder(b *testing.B) {
	for _, n := range []int{64, 1000} {
		b.Run(fmt.Sprintf("sidecars=%d", n), func(b *testing.B) {
			now := time.Unix(1000, 0)
			var sidecars []landing.KnownSidecar
			for i := range n {
				status := landing.SidecarStatus{}.WithUpstreamPhase(landing.PhaseServing).WithSlots(4).WithRunningRequests(uint32(i % 5)).
					WithOpenFlows(uint32(i % 7)).WithAdmissibleFlows(1000).WithRequestsPerSecond(uint32(80 + i%9))
				sidecars = append(sidecars, landing.KnownSidecar{}.WithAddress(uint64(i)<<16).WithLastStatus(status).WithLastStatusAt(now))
			}
			b.ReportAllocs()
			hash := uint64(0)
			for b.Loop() {
				hash++
				mean := MeanCapacity(sidecars)
				var candidates []landing.Candidate
				for _, s := range sidecars {
					candidates = append(candidates, NewCandidate(s, mean, false, 0, now))
				}
				Order(candidates, hash)
			}
		})
	}
}
