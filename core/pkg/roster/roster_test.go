package roster

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

func drawRoster(t *rapid.T, label string, serial uint64) landing.Roster {
	var targets []landing.Target
	for i := range 8 {
		// Weight 0 leaves the target out.
		weight := rapid.Uint32Range(0, 3).Draw(t, fmt.Sprintf("%s weight %d", label, i))
		if weight > 0 {
			targets = append(targets, landing.Target{}.WithInstance(fmt.Sprintf("desk-%d", i)).WithWeight(weight))
		}
	}
	var members []landing.Balancer
	for i := range rapid.IntRange(0, 3).Draw(t, label+" members") {
		members = append(members, landing.Balancer{}.WithInstance(fmt.Sprintf("balancer-%d", i)))
	}
	return landing.Roster{}.WithSerial(serial).WithTargets(targets...).WithMembers(members...)
}

func TestApply_DiffYieldsNewRoster(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawRoster(t, "a", 3), drawRoster(t, "b", 7)
		got, ok := Apply(a, Diff(a, b))
		if !ok || got.Serial() != 7 || !reflect.DeepEqual(formatRoster(got), formatRoster(b)) {
			t.Fatalf("Apply returned %v, want %v", got, b)
		}
	})
}

// formatRoster returns the content of r as text in which empty and nil lists look the same.
func formatRoster(r landing.Roster) string {
	return fmt.Sprint(r.Targets(), r.Members())
}

func TestApply_RejectsDeltaForOtherRoster(t *testing.T) {
	is := is.New(t)
	r := landing.Roster{}.WithSerial(5)
	for _, d := range []landing.RosterDelta{
		landing.RosterDelta{}.WithBase(4).WithSerial(6),
		landing.RosterDelta{}.WithBase(5).WithSerial(5),
		landing.RosterDelta{}.WithBase(5).WithSerial(4),
	} {
		_, ok := Apply(r, d)
		is.True(!ok)
	}
}

func ExampleRankBalancers() {
	members := []landing.Balancer{landing.Balancer{}.WithInstance("a"), landing.Balancer{}.WithInstance("b")}
	home, _ := HomeBalancer(members, "desk-1")
	fmt.Println(home == RankBalancers(members, "desk-1")[0])
	// Output: true
}
