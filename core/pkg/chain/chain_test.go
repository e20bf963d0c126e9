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

func noSpare(landing.Target) bool { return false }

func newTarget(i int) landing.Target {
	return landing.Target{}.
		WithInstance(fmt.Sprintf("desk-%d", i)).
		WithService("desk").
		WithFront(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1)).
		WithWeight(8).
		WithPhase(landing.PhaseServing)
}

func newKey(random *rand.Rand) landing.FlowKey {
	return landing.FlowKey{}.
		WithSourceAddress(random.Uint32()).
		WithSourcePort(uint32(random.IntN(1 << 16))).
		WithDestinationAddress(1).
		WithDestinationPort(80)
}

func TestSharesFollowWeights(t *testing.T) {
	is := is.New(t)
	targets := newTargets(4)
	targets[3] = targets[3].WithWeight(32)
	table := New("desk", 1, targets, noSpare)
	random := rand.New(rand.NewPCG(1, 1))
	counts := map[string]int{}
	const flows = 100_000
	for range flows {
		counts[table.Instances(newKey(random))[0]]++
	}
	expected := float64(flows) * 32 / 56
	is.True(float64(counts["desk-3"]) > 0.9*expected)
	is.True(float64(counts["desk-3"]) < 1.1*expected)
}

func TestAnotherTargetMovesOnlyItsOwnFlows(t *testing.T) {
	is := is.New(t)
	before := New("desk", 1, newTargets(9)[:8], noSpare)
	after := New("desk", 2, newTargets(9), noSpare)
	random := rand.New(rand.NewPCG(2, 2))
	for range 1000 {
		k := newKey(random)
		old, now := before.Instances(k), after.Instances(k)
		if before.mask != after.mask {
			continue
		}
		without := slices.DeleteFunc(now, func(s string) bool { return s == "desk-8" })
		is.Equal(old, without)
	}
}

func TestPartsOfAChainNameEveryTargetOnce(t *testing.T) {
	is := is.New(t)
	table := New("desk", 1, newTargets(21), noSpare)
	k := newKey(rand.New(rand.NewPCG(3, 3)))
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

func TestSpareTargetsComeLast(t *testing.T) {
	is := is.New(t)
	table := New("desk", 1, newTargets(8), func(t landing.Target) bool { return t.Instance() < "desk-6" })
	random := rand.New(rand.NewPCG(5, 5))
	for range 1000 {
		order := table.Instances(newKey(random))
		is.True(order[0] >= "desk-6" && order[1] >= "desk-6")
	}
}

func TestNoTargetRefuses(t *testing.T) {
	is := is.New(t)
	table := New("desk", 1, nil, noSpare)
	is.Equal(table.Verdict(landing.FlowKey{}), refuseZone)
}

// holders follows flows over many changes of the roster and counts those whose holder is not found.
func brokenOverChanges(seed uint64, flows, changes int, isFound func(*Table, landing.FlowKey, string) bool) int {
	random := rand.New(rand.NewPCG(seed, seed))
	targets := newTargets(8)
	table := New("desk", 1, targets, noSpare)
	holders := map[landing.FlowKey]string{}
	for range flows {
		k := newKey(random)
		holders[k] = table.Instances(k)[0]
	}
	broken := 0
	for i := range changes {
		j := random.IntN(len(targets))
		gone := targets[j].Instance()
		targets[j] = newTarget(100 + i)
		table = New("desk", uint64(i+2), targets, noSpare)
		for k, holder := range holders {
			if holder == gone || !isFound(table, k, holder) {
				if holder != gone {
					broken++
				}
				holders[k] = table.Instances(k)[0]
			}
		}
	}
	return broken
}

func TestHolderIsFoundAfterHundredsOfRosterChanges(t *testing.T) {
	is := is.New(t)
	withChain := func(table *Table, k landing.FlowKey, holder string) bool {
		return slices.Contains(table.Instances(k), holder)
	}
	firstHopOnly := func(table *Table, k landing.FlowKey, holder string) bool {
		return table.Instances(k)[0] == holder
	}
	broken := brokenOverChanges(4, 500, 300, withChain)
	baseline := brokenOverChanges(4, 500, 300, firstHopOnly)
	t.Logf("broken flows over 300 changes with 500 flows: chain %d, first hop only %d", broken, baseline)
	is.Equal(broken, 0)
	is.True(baseline > 0)
}

func ExampleTable_Instances() {
	table := New("desk", 1, newTargets(3), noSpare)
	k := landing.FlowKey{}.WithSourceAddress(1).WithSourcePort(5000).WithDestinationAddress(2).WithDestinationPort(80)
	fmt.Println(len(table.Instances(k)))
	// Output: 3
}

func BenchmarkVerdict(b *testing.B) {
	for _, count := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("targets=%d", count), func(b *testing.B) {
			table := New("desk", 1, newTargets(count), noSpare)
			k := newKey(rand.New(rand.NewPCG(1, 1)))
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
				_ = New("desk", 1, targets, noSpare)
			}
		})
	}
}
