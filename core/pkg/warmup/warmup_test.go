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

// All balancers send to a zone that returns, at any moment of a second: no second, wherever it begins, has more
// new flows than the rate.
func TestNoSlidingSecondHasMoreThanTheRate(t *testing.T) {
	is := is.New(t)
	const rate = 7
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(0, 0)
	w := Window{}
	var taken []time.Time
	for range 5000 {
		now = now.Add(time.Duration(random.IntN(40)) * time.Millisecond)
		if w.AdmissibleFlows(rate, now) > 0 {
			w = w.WithFlow(now)
			taken = append(taken, now)
		}
	}
	is.True(len(taken) > 100)
	for i, first := range taken {
		inSecond := 0
		for _, at := range taken[i:] {
			if at.Sub(first) <= time.Second {
				inSecond++
			}
		}
		is.True(inSecond <= rate)
	}
}

// When everything comes back from a loss of power, every upstream is cold at once. Rules that state no rate bound
// nothing: a bound of our own would refuse callers whom the upstreams serve, only slower.
func TestNoStatedRateBoundsNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	w := Window{}
	for range 300 {
		is.True(w.AdmissibleFlows(0, now) > 0)
		w = w.WithFlow(now)
	}
}

// A sidecar is killed and starts again within a second beside a cold upstream: the users allow one and a half times the
// rate and 5 more in any second.
func TestRestartDoesNotDoubleWhatAColdUpstreamGets(t *testing.T) {
	is := is.New(t)
	const rate = 40
	now := time.Unix(1000, 0)
	taken := 0
	for _, w := range []Window{New(now.Add(-time.Minute)), New(now)} {
		for w.AdmissibleFlows(rate, now) > 0 {
			w = w.WithFlow(now)
			taken++
		}
	}
	is.True(float64(taken) <= rate*1.5+5)
}
