package chain

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

func newTargets(count int) []landing.Target {
	var targets []landing.Target
	for i := range count {
		targets = append(targets, newTarget(i))
	}
	return targets
}

// isNeverSpare is the isSpare argument of New for tables without spare targets.
func isNeverSpare(landing.Target) bool { return false }

func newTarget(i int) landing.Target {
	return landing.Target{}.
		WithInstance(fmt.Sprintf("desk-%d", i)).
		WithService("desk").
		WithFront(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1)).
		WithWeight(8).
		WithPhase(landing.PhaseServing)
}

func randomKey(random *rand.Rand) landing.FlowKey {
	return landing.FlowKey{}.
		WithSourceAddress(random.Uint32()).
		WithSourcePort(uint32(random.IntN(1 << 16))).
		WithDestinationAddress(1).
		WithDestinationPort(80)
}

func TestTable_DistributesFlowsByWeight(t *testing.T) {
	is := is.New(t)
	targets := newTargets(4)
	targets[3] = targets[3].WithWeight(32)
	table := New("desk", 1, targets, isNeverSpare)
	random := rand.New(rand.NewPCG(1, 1))
	counts := map[string]int{}
	const flows = 100_000
	for range flows {
		counts[table.Instances(randomKey(random))[0]]++
	}
	expected := float64(flows) * 32 / 56 // the weights are 8, 8, 8 and 32
	is.True(float64(counts["desk-3"]) > 0.9*expected)
	is.True(float64(counts["desk-3"]) < 1.1*expected)
}

// Checks nothing at present: every flow is skipped, since 8 targets have 1,024 buckets and 9 targets
// have 2,048.
func TestTable_AddedTargetKeepsOrderOfOthers(t *testing.T) {
	is := is.New(t)
	before := New("desk", 1, newTargets(9)[:8], isNeverSpare)
	after := New("desk", 2, newTargets(9), isNeverSpare)
	random := rand.New(rand.NewPCG(2, 2))
	for range 1000 {
		k := randomKey(random)
		orderBefore, orderAfter := before.Instances(k), after.Instances(k)
		if before.bucketMask != after.bucketMask {
			continue
		}
		othersAfter := slices.DeleteFunc(orderAfter, func(s string) bool { return s == "desk-8" })
		is.Equal(orderBefore, othersAfter)
	}
}

// A part of a chain has at most MaxHops hops, so 21 targets need three parts.
func TestVerdictForPart_NamesEveryTargetOnce(t *testing.T) {
	is := is.New(t)
	table := New("desk", 1, newTargets(21), isNeverSpare)
	k := randomKey(rand.New(rand.NewPCG(3, 3)))
	seen := map[uint32]bool{}
	for part := 0; ; part++ {
		forward, ok := table.VerdictForPart(k, part).(landing.Forward)
		is.True(ok)
		for _, h := range forward.Chain().Hops() {
			is.True(!seen[h.Address()])
			seen[h.Address()] = true
		}
		if !forward.Chain().HasMore() {
			break
		}
		is.Equal(forward.Chain().HopsLen(), MaxHops)
	}
	is.Equal(len(seen), 21)
}

func TestNew_SpareTargetsComeLast(t *testing.T) {
	is := is.New(t)
	table := New("desk", 1, newTargets(8), func(t landing.Target) bool { return t.Instance() < "desk-6" })
	random := rand.New(rand.NewPCG(5, 5))
	for range 1000 {
		order := table.Instances(randomKey(random))
		is.True(order[0] >= "desk-6" && order[1] >= "desk-6")
	}
}

func TestVerdict_RefusesWithoutTargets(t *testing.T) {
	is := is.New(t)
	table := New("desk", 1, nil, isNeverSpare)
	is.Equal(table.Verdict(landing.FlowKey{}), zoneRefusal)
}

// countBrokenFlows replaces a random target as often as changes says. A flow is held by the first
// target of its chain, until this target is replaced or isFound does not find it; then by the first
// target of the new chain. The result is how often isFound did not find a target that was still
// among the targets.
func countBrokenFlows(seed uint64, flows, changes int, isFound func(*Table, landing.FlowKey, string) bool) int {
	random := rand.New(rand.NewPCG(seed, seed))
	targets := newTargets(8)
	table := New("desk", 1, targets, isNeverSpare)
	holders := map[landing.FlowKey]string{}
	for range flows {
		k := randomKey(random)
		holders[k] = table.Instances(k)[0]
	}
	broken := 0
	for change := range changes {
		index := random.IntN(len(targets))
		removed := targets[index].Instance()
		targets[index] = newTarget(100 + change)
		table = New("desk", uint64(change+2), targets, isNeverSpare)
		for k, holder := range holders {
			if holder == removed || !isFound(table, k, holder) {
				if holder != removed {
					broken++
				}
				holders[k] = table.Instances(k)[0]
			}
		}
	}
	return broken
}

// Instances names all targets of the service, so the first count is only above 0 when a table leaves
// out a target. The second count is that of flows that would break if only the first hop were tried.
func TestTable_HolderStaysInChainAfterRosterChanges(t *testing.T) {
	is := is.New(t)
	isInChain := func(table *Table, k landing.FlowKey, holder string) bool {
		return slices.Contains(table.Instances(k), holder)
	}
	isFirstHop := func(table *Table, k landing.FlowKey, holder string) bool {
		return table.Instances(k)[0] == holder
	}
	broken := countBrokenFlows(4, 500, 300, isInChain)
	baseline := countBrokenFlows(4, 500, 300, isFirstHop)
	t.Logf("broken flows over 300 changes with 500 flows: chain %d, first hop only %d", broken, baseline)
	is.Equal(broken, 0)
	is.True(baseline > 0)
}

func ExampleTable_Instances() {
	table := New("desk", 1, newTargets(3), isNeverSpare)
	k := landing.FlowKey{}.WithSourceAddress(1).WithSourcePort(5000).WithDestinationAddress(2).WithDestinationPort(80)
	fmt.Println(len(table.Instances(k)))
	// Output: 3
}

func BenchmarkVerdict(b *testing.B) {
	for _, count := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("targets=%d", count), func(b *testing.B) {
			table := New("desk", 1, newTargets(count), isNeverSpare)
			k := randomKey(rand.New(rand.NewPCG(1, 1)))
			b.ReportAllocs()
			for b.Loop() {
				k = k.WithSourcePort(k.SourcePort() + 1)
				_ = table.Verdict(k)
			}
		})
	}
}

func BenchmarkNew(b *testing.B) {
	for _, count := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("targets=%d", count), func(b *testing.B) {
			targets := newTargets(count)
			b.ReportAllocs()
			for b.Loop() {
				_ = New("desk", 1, targets, isNeverSpare)
			}
		})
	}
}
