package measure

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/plot/plotter"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/chain"
)

const (
	changeTargets = 8
	changeFlows   = 1000
	changeCount   = 1000
	changeSeed    = 1
)

// tracked is one flow and the instance that holds it.
type tracked struct {
	key    landing.FlowKey
	holder string
}

// Changes counts the flows that break over changes of the roster in which one target leaves and
// another joins, with the whole chain and with the first hop of the newest roster only.
// A flow whose own target left counts for neither.
func Changes(w io.Writer, folder string) error {
	withChain := countBroken(slices.Contains)
	firstHop := countBroken(func(order []string, holder string) bool { return order[0] == holder })
	t := newTable(w, fmt.Sprintf("broken flows over %d roster changes, %d open flows, %d targets", changeCount, changeFlows, changeTargets))
	fmt.Fprintln(t, "WAY\tBROKEN FLOWS")
	fmt.Fprintf(t, "chain with second chance\t%.0f\n", withChain[changeCount-1].Y)
	fmt.Fprintf(t, "first hop of the newest roster\t%.0f\n", firstHop[changeCount-1].Y)
	_ = t.Flush()
	return writePlot(folder, "changes.svg", "Broken flows over changes of the roster", "changes", "broken flows", []series{
		{"chain with second chance", withChain},
		{"first hop of the newest roster", firstHop},
	})
}

func countBroken(isFound func(order []string, holder string) bool) plotter.XYs {
	random := rand.New(rand.NewPCG(changeSeed, changeSeed))
	targets := make([]landing.Target, changeTargets)
	for i := range targets {
		targets[i] = newChangeTarget(i)
	}
	flows := openTracked(random, newChainTable(1, targets))
	points := make(plotter.XYs, changeCount)
	broken := 0
	for i := range changeCount {
		j := random.IntN(changeTargets)
		gone := targets[j].Instance()
		targets[j] = newChangeTarget(changeTargets + i)
		broken += follow(flows, newChainTable(uint64(i+2), targets), gone, isFound)
		points[i] = plotter.XY{X: float64(i + 1), Y: float64(broken)}
	}
	return points
}

func openTracked(random *rand.Rand, t *chain.Table) []tracked {
	flows := make([]tracked, changeFlows)
	for i := range flows {
		k := landing.FlowKey{}.
			WithSourceAddress(random.Uint32()).
			WithSourcePort(uint32(random.IntN(1 << 16))).
			WithDestinationPort(80)
		flows[i] = tracked{k, t.Instances(k)[0]}
	}
	return flows
}

// follow opens anew each flow that ended, and returns the number of those that broke.
func follow(flows []tracked, t *chain.Table, gone string, isFound func(order []string, holder string) bool) int {
	broken := 0
	for i, f := range flows {
		order := t.Instances(f.key)
		if f.holder != gone && isFound(order, f.holder) {
			continue
		}
		if f.holder != gone {
			broken++
		}
		flows[i].holder = order[0]
	}
	return broken
}

func newChangeTarget(i int) landing.Target {
	return landing.Target{}.
		WithInstance(fmt.Sprintf("desk-%d", i)).
		WithFront("127.0.0.1:7000").
		WithWeight(8).
		WithPhase(landing.PhaseServing)
}

func newChainTable(roster uint64, targets []landing.Target) *chain.Table {
	return chain.New("desk", roster, targets, func(landing.Target) bool { return false })
}
