package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

func ExamplePolicy() {
	p := Policy{}.
		WithRules(landing.RoutingRules{}.WithRevision(7)).
		WithExclusions(landing.ZoneExclusions{}.WithRevision(9).WithZones("east"), time.Unix(1000, 0))
	fmt.Println(p.IsExcluded("east"), p.IsBehind())
	p = p.WithRevisionsSeen(landing.PolicyRevisions{}.WithRules(8))
	fmt.Println(p.IsBehind(), p.WithRules(landing.RoutingRules{}.WithRevision(8)).IsBehind())
	// Output:
	// true false
	// true false
}

func TestPolicy_RevisionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Policy{}
		for _, revision := range rapid.SliceOfN(rapid.Uint64Range(1, 20), 1, 30).Draw(t, "revisions") {
			before := p.KnownRevisions()
			if rapid.Bool().Draw(t, "isRules") {
				p = p.WithRules(landing.RoutingRules{}.WithRevision(revision))
			} else {
				p = p.WithExclusions(landing.ZoneExclusions{}.WithRevision(revision), time.Time{})
			}
			after := p.KnownRevisions()
			if after.Rules() < before.Rules() || after.Exclusions() < before.Exclusions() {
				t.Fatalf("revisions decrease from %v to %v", before, after)
			}
		}
	})
}

// A process outside the fleet advertises a revision that the platform does not have.
func TestWithConsistentRead_ClearsRevisionThatDoesNotExist(t *testing.T) {
	is := is.New(t)
	known := Policy{}.WithRules(landing.RoutingRules{}.WithRevision(7)).WithExclusions(landing.ZoneExclusions{}.WithRevision(9), time.Time{})
	p := known.WithRevisionsSeen(landing.PolicyRevisions{}.WithRules(1 << 60))
	is.True(p.IsBehind())
	is.True(!p.WithConsistentRead(p.WantedRevisions()).IsBehind())
}

// A read does not show whether a revision exists that was advertised only after the read began.
func TestWithConsistentRead_KeepsRevisionSeenDuringRead(t *testing.T) {
	is := is.New(t)
	p := Policy{}.WithRules(landing.RoutingRules{}.WithRevision(7)).WithRevisionsSeen(landing.PolicyRevisions{}.WithRules(8))
	before := p.WantedRevisions()
	p = p.WithRules(landing.RoutingRules{}.WithRevision(8)).WithRevisionsSeen(landing.PolicyRevisions{}.WithRules(9)).WithConsistentRead(before)
	is.True(p.IsBehind())
}
