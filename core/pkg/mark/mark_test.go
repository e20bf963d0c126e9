package mark

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

func drawMarks(t *rapid.T, label string) landing.ExclusionMarks {
	marks := landing.ExclusionMarks{}
	for i := range rapid.IntRange(0, 6).Draw(t, label) {
		zone := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, fmt.Sprintf("%s zone %d", label, i))
		author := rapid.SampledFrom([]string{"x", "y"}).Draw(t, fmt.Sprintf("%s author %d", label, i))
		marks = SetZone(marks, zone, rapid.Bool().Draw(t, fmt.Sprintf("%s out %d", label, i)), author)
	}
	return marks
}

func TestMerge_IsCommutativeAssociativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawMarks(t, "a"), drawMarks(t, "b"), drawMarks(t, "c")
		if Digest(Merge(a, b)) != Digest(Merge(b, a)) {
			t.Fatal("merge is not commutative")
		}
		if Digest(Merge(Merge(a, b), c)) != Digest(Merge(a, Merge(b, c))) {
			t.Fatal("merge is not associative")
		}
		if Digest(Merge(a, a)) != Digest(a) {
			t.Fatal("merge is not idempotent")
		}
	})
}

func TestMerge_OlderMarkNeverReplacesNewerOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old := drawMarks(t, "old")
		newer := SetZone(old, "a", true, "x")
		target := landing.Target{}.WithZone("a")
		if !IsExcluded(Merge(newer, old), target) || !IsExcluded(Merge(old, newer), target) {
			t.Fatal("zone a is not excluded after a merge with older marks")
		}
	})
}

func TestMerge_ExclusionWinsAtEqualCount(t *testing.T) {
	is := is.New(t)
	base := SetZone(landing.ExclusionMarks{}, "a", true, "x")
	included := SetZone(base, "a", false, "x")
	excluded := SetZone(base, "a", true, "y")
	is.True(IsExcluded(Merge(included, excluded), landing.Target{}.WithZone("a")))
}

func ExampleIsExcluded() {
	marks := SetUpstream(landing.ExclusionMarks{}, "desk-1", true, "ops")
	fmt.Println(IsExcluded(marks, landing.Target{}.WithInstance("desk-1")))
	fmt.Println(IsExcluded(marks, landing.Target{}.WithInstance("desk-2")))
	// Output:
	// true
	// false
}
