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

// trackedFlow is an open flow and the name of the instance that holds the flow.
type trackedFlow struct {
	key      landing.FlowKey
	instance string
}

// Changes compares two ways to route packets of open flows while the roster changes: along the whole chain of the flow, and
// to the first hop of the chain only. The chain of a flow is the order in which the flow is offered to the targets of the
// newest roster; each target is a hop. Each change of the roster replaces one target by a new one. Changes counts the flows
// that break, except those of the removed target, which end in any case.
func Changes(w io.Writer, folder string) error {
	brokenWithChain := simulateChanges(slices.Contains)
	brokenWithFirstHop := simulateChanges(func(order []string, holder string) bool { return order[0] == holder })
	t := newTable(w, fmt.Sprintf("broken flows over %d roster changes, %d open flows, %d targets", rosterChangeCount, changeFlows, changeTargets))
	fmt.Fprintln(t, "WAY\tBROKEN FLOWS")
	fmt.Fprintf(t, "chain with second chance\t%.0f\n", brokenWithChain[rosterChangeCount-1].Y)
	fmt.Fprintf(t, "first hop of the newest roster\t%.0f\n", brokenWithFirstHop[rosterChangeCount-1].Y)
	_ = t.Flush()
	return writePlot(folder, "changes.svg", "Broken flows over changes of the roster", "changes", "broken flows", []series{
		{"chain with second chance", brokenWithChain},
		{"first hop of the newest roster", brokenWithFirstHop},
	})
}

// simulateChanges returns, for each roster change, the number of flows that this change and all earlier ones broke.
// isReached reports whether a packet reaches holder, the instance that holds its flow, along order, the chain of the
// newest roster.
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

// openFlows opens flows with random keys, each at the first hop of its chain.
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

// countBroken returns the number of flows whose packets no longer reach the instance that holds the flow, although this
// instance was not removed. Flows that break or whose instance was removed are opened again at the first hop of their new
// chain.
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

// newChainTable returns the chains for a roster in which every target may get new flows.
func newChainTable(rosterSerial uint64, targets []landing.Target) *chain.Table {
	return chain.New("desk", rosterSerial, targets, func(landing.Target) bool { return false })
}
