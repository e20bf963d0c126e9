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
	changeTargets     = 8
	changeFlows       = 1000
	rosterChangeCount = 1000
	changeSeed        = 1
)

// tracked is one flow and the instance that holds it.
type trackedFlow struct {
	key      landing.FlowKey
	instance string
}

// Changes counts the flows that break over changes of the roster in which one target leaves and
// another joins, with the whole chain and with the first hop of the newest roster only.
// A flow whose own target left counts for neither.
func Changes(w io.Writer, folder string) error {
	withChain := simulateChanges(slices.Contains)
	firstHop := simulateChanges(func(order []string, holder string) bool { return order[0] == holder })
	t := newTable(w, fmt.Sprintf("broken flows over %d roster changes, %d open flows, %d targets", rosterChangeCount, changeFlows, changeTargets))
	fmt.Fprintln(t, "WAY\tBROKEN FLOWS")
	fmt.Fprintf(t, "chain with second chance\t%.0f\n", withChain[rosterChangeCount-1].Y)
	fmt.Fprintf(t, "first hop of the newest roster\t%.0f\n", firstHop[rosterChangeCount-1].Y)
	_ = t.Flush()
	return writePlot(folder, "changes.svg", "Broken flows over changes of the roster", "changes", "broken flows", []series{
		{"chain with second chance", withChain},
		{"first hop of the newest roster", firstHop},
	})
}

func simulateChanges(isReached func(order []string, holder string) bool) plotter.XYs {
	random := rand.New(rand.NewPCG(changeSeed, changeSeed))
	targets := make([]landing.Target, changeTargets)
	for i := range targets {
		targets[i] = newChangeTarget(i)
	}
	flows := openFlows(random, newChainTable(1, targets))
	points := make(plotter.XYs, rosterChangeCount)
	broken := 0
	for i := range rosterChangeCount {
		j := random.IntN(changeTargets)
		removedInstance := targets[j].Instance()
		targets[j] = newChangeTarget(changeTargets + i)
		broken += countBroken(flows, newChainTable(uint64(i+2), targets), removedInstance, isReached)
		points[i] = plotter.XY{X: float64(i + 1), Y: float64(broken)}
	}
	return points
}

func openFlows(random *rand.Rand, t *chain.Table) []trackedFlow {
	flows := make([]trackedFlow, changeFlows)
	for i := range flows {
		k := landing.FlowKey{}.
			WithSourceAddress(random.Uint32()).
			WithSourcePort(uint32(random.IntN(1 << 16))).
			WithDestinationPort(80)
		flows[i] = trackedFlow{k, t.Instances(k)[0]}
	}
	return flows
}

// follow opens anew each flow that ended, and returns the number of those that broke.
func countBroken(flows []trackedFlow, t *chain.Table, removedInstance string, isReached func(order []string, holder string) bool) int {
	broken := 0
	for i, f := range flows {
		order := t.Instances(f.key)
		if f.instance != removedInstance && isReached(order, f.instance) {
			continue
		}
		if f.instance != removedInstance {
			broken++
		}
		flows[i].instance = order[0]
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

func newChainTable(rosterSerial uint64, targets []landing.Target) *chain.Table {
	return chain.New("desk", rosterSerial, targets, func(landing.Target) bool { return false })
}
