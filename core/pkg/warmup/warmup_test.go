package warmup

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func ExampleWindow() {
	now := time.Unix(0, 0)
	w := Window{}
	for w.AdmissibleFlows(4, now) > 0 {
		w = w.WithFlow(now)
	}
	fmt.Println(w.AdmissibleFlows(4, now), w.AdmissibleFlows(4, now.Add(2*time.Second)))
	// Output: 0 4
}

// When a zone comes back into service, all balancers send flows to it at any moment within a
// second. No period of one second may contain more new flows than the rate.
func TestAdmissibleFlows_LimitsEverySlidingSecond(t *testing.T) {
	is := is.New(t)
	const rate = 7
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(0, 0)
	w := Window{}
	var flowTimes []time.Time
	for range 5000 {
		now = now.Add(time.Duration(random.IntN(40)) * time.Millisecond)
		if w.AdmissibleFlows(rate, now) > 0 {
			w = w.WithFlow(now)
			flowTimes = append(flowTimes, now)
		}
	}
	is.True(len(flowTimes) > 100)
	for i, first := range flowTimes {
		inSecond := 0
		for _, at := range flowTimes[i:] {
			if at.Sub(first) <= time.Second {
				inSecond++
			}
		}
		is.True(inSecond <= rate)
	}
}

// After a power loss, every upstream is in cold start at the same time. Rules without a rate set no
// limit: an assumed limit would refuse callers whom the upstreams can serve, only more slowly.
func TestAdmissibleFlows_NoLimitWithoutRate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	w := Window{}
	for range 300 {
		is.True(w.AdmissibleFlows(0, now) > 0)
		w = w.WithFlow(now)
	}
}

// A sidecar is killed and restarts within a second while its upstream is in cold start. The
// requirement allows at most one and a half times the rate plus 5 flows in any second.
func TestAdmissibleFlows_HalfRateAfterRestart(t *testing.T) {
	is := is.New(t)
	const rate = 40
	now := time.Unix(1000, 0)
	flowCount := 0
	for _, w := range []Window{New(now.Add(-time.Minute)), New(now)} {
		for w.AdmissibleFlows(rate, now) > 0 {
			w = w.WithFlow(now)
			flowCount++
		}
	}
	is.True(float64(flowCount) <= rate*1.5+5)
}

// Guards against waiting SYNs that use up the new flows of a cold upstream: each counted when it arrived and again
// when it was admitted, and could then be refused because of itself.
func TestWithoutLast_RestoresBudget(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	w := New(now.Add(-time.Hour)).WithFlow(now)
	is.Equal(w.WithFlow(now).WithoutLast().AdmissibleFlows(10, now), w.AdmissibleFlows(10, now))
	is.Equal(Window{}.WithoutLast().AdmissibleFlows(10, now), 10)
}
