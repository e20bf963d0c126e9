package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// retention is the time for which exclusions are kept that the platform may have lost.
const retention = 12 * time.Second

func ExamplePolicy() {
	p := Policy{}.
		WithRules(landing.RoutingRules{}.WithRevision(7)).
		WithExclusions(landing.ZoneExclusions{}.WithRevision(9).WithZones("east"))
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
				p = p.WithExclusions(landing.ZoneExclusions{}.WithRevision(revision))
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
	known := Policy{}.WithRules(landing.RoutingRules{}.WithRevision(7)).WithExclusions(landing.ZoneExclusions{}.WithRevision(9))
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

// Guards against a process that keeps the exclusions that it missed the end of, since the other process has read its first list
// after that, and against reads whenever a process starts.
func TestIsBehind_ComparesZones(t *testing.T) {
	is := is.New(t)
	known := New(retention).WithExclusions(exclusionsAt(0, 5, "east"))
	later := New(retention).WithExclusions(exclusionsAt(0, 9))
	is.True(known.WithRevisionsSeen(later.AdvertisedRevisions()).IsBehind())
	is.True(!later.WithRevisionsSeen(known.AdvertisedRevisions()).IsBehind())
	same := New(retention).WithExclusions(exclusionsAt(0, 9, "east"))
	is.True(!known.WithRevisionsSeen(same.AdvertisedRevisions()).IsBehind())
	is.True(!known.WithRevisionsSeen(New(retention).AdvertisedRevisions()).IsBehind())
}

// exclusionsAt returns the exclusions of the zones that were read at this position.
func exclusionsAt(era, revision uint64, zones ...string) landing.ZoneExclusions {
	return landing.ZoneExclusions{}.WithEra(era).WithRevision(revision).WithZones(zones...)
}

// Guards against a process that ignores all exclusions until the platform, which has come back from an older copy, has
// passed the revision that the process had read before.
func TestWithExclusions_LaterEraReplacesHigherRevision(t *testing.T) {
	is := is.New(t)
	p := New(retention).WithExclusions(exclusionsAt(1, 100)).WithExclusions(exclusionsAt(2, 80, "east"))
	is.True(p.IsExcluded("east"))
	is.Equal(p.WithExclusions(exclusionsAt(1, 120)).Exclusions(), p.Exclusions()) // a late response of the earlier era
}

// Guards against flows that are opened in a zone between the return of the platform and the rewriting of its exclusion,
// and against a zone that stays out of service when nobody writes the exclusion again.
func TestWithExclusions_LostExclusionIsRetainedUntilItsTimeIsOver(t *testing.T) {
	is := is.New(t)
	p := New(retention).WithExclusions(exclusionsAt(1, 100, "east", "west")).WithExclusions(exclusionsAt(2, 80, "west"))
	is.True(p.IsExcluded("east"))
	is.Equal(p.RetainedZones(), []string{"east"})
	p = p.WithExclusions(exclusionsAt(2, 85, "west")) // a later list of the same era prolongs nothing
	p = p.WithAnswered(retention)
	is.True(!p.HasExpired())
	is.True(p.WithoutExpired().IsExcluded("east"))
	p = p.WithAnswered(1)
	is.True(p.HasExpired())
	p = p.WithoutExpired()
	is.True(!p.IsExcluded("east"))
	is.True(p.IsExcluded("west"))
}

// Guards against a removal that is not in force before the retention is over, although the exclusion was written again.
func TestWithExclusions_RewrittenExclusionEndsWithItsRemoval(t *testing.T) {
	is := is.New(t)
	p := New(retention).WithExclusions(exclusionsAt(1, 100, "east")).WithExclusions(exclusionsAt(2, 80))
	p = p.WithExclusions(exclusionsAt(2, 81, "east"))
	is.Equal(len(p.RetainedZones()), 0)
	is.True(p.IsExcluded("east"))
	is.True(!p.WithExclusions(exclusionsAt(2, 82)).IsExcluded("east"))
}

// Guards against a second return that ends what is retained since the first one.
func TestWithExclusions_SecondReturnRetainsAnew(t *testing.T) {
	is := is.New(t)
	p := New(retention).WithExclusions(exclusionsAt(1, 100, "east")).WithExclusions(exclusionsAt(2, 80))
	p = p.WithAnswered(retention - time.Second).WithExclusions(exclusionsAt(3, 70))
	is.True(p.WithAnswered(retention).WithoutExpired().IsExcluded("east"))
	is.True(!p.WithAnswered(retention + 1).WithoutExpired().IsExcluded("east"))
}

// Guards against a process that has started since the return and admits flows in a zone that others retain, and against zones
// that processes keep out of service for each other when the retention is over or the exclusion was written again and removed.
func TestWithZonesStated_AdoptsWhatOthersRetainInSameEra(t *testing.T) {
	is := is.New(t)
	started := New(retention).WithExclusions(exclusionsAt(2, 80))
	is.True(!started.WithZonesStated(1, []string{"east"}).IsExcluded("east"))
	is.True(!started.WithStoreTimeHeard(2, retention+time.Millisecond).WithZonesStated(2, []string{"east"}).IsExcluded("east"))
	p := started.WithZonesStated(2, []string{"east"})
	is.True(p.IsExcluded("east"))
	removed := p.WithExclusions(exclusionsAt(2, 81, "east")).WithExclusions(exclusionsAt(2, 82))
	is.True(!removed.WithZonesStated(2, []string{"east"}).IsExcluded("east"))
}

// Guards against a process that was suspended and gives up an exclusion that was written again meanwhile, before it has read it.
func TestHasExpired_NotWhileExclusionsAreLacking(t *testing.T) {
	is := is.New(t)
	p := New(retention).WithExclusions(exclusionsAt(1, 100, "east")).WithExclusions(exclusionsAt(2, 80))
	rewritten := New(retention).WithExclusions(exclusionsAt(2, 85, "east"))
	p = p.WithStoreTimeHeard(2, retention+time.Millisecond).WithRevisionsSeen(rewritten.AdvertisedRevisions())
	is.True(!p.HasExpired())
	is.True(p.WithConsistentRead(p.WantedRevisions()).HasExpired())
}

// Guards against a store without eras, whose removals would be in force late.
func TestWithExclusions_NothingIsRetainedInSameEra(t *testing.T) {
	is := is.New(t)
	for _, era := range []uint64{0, 1} {
		p := New(retention).WithExclusions(exclusionsAt(era, 100, "east")).WithExclusions(exclusionsAt(era, 101))
		is.True(!p.IsExcluded("east"))
	}
}

// Guards against a configuration that is taken out of force by the older one in the copy from which the platform has come back.
func TestWithRules_NoLowerVersionInLaterEra(t *testing.T) {
	is := is.New(t)
	p := Policy{}.WithRules(landing.RoutingRules{}.WithEra(1).WithRevision(100).WithVersion(5))
	is.Equal(p.WithRules(landing.RoutingRules{}.WithEra(2).WithRevision(110).WithVersion(4)).Rules().Rules().Version(), uint64(5))
	p = p.WithRules(landing.RoutingRules{}.WithEra(2).WithRevision(82).WithVersion(6))
	is.Equal(p.Rules().Rules().Version(), uint64(6))
	is.Equal(p.WithRules(landing.RoutingRules{}.WithEra(1).WithRevision(120).WithVersion(5)).Rules().Rules().Version(), uint64(6))
}

// Guards against a process that does not ask a peer with a higher version because that peer has read it at a lower revision.
func TestLacksRules_VersionCountsBeforeRevision(t *testing.T) {
	is := is.New(t)
	p := Policy{}.WithRules(landing.RoutingRules{}.WithEra(1).WithRevision(100).WithVersion(5))
	is.True(p.WithRevisionsSeen(landing.PolicyRevisions{}.WithRules(82).WithRulesVersion(6)).LacksRules())
	is.True(!p.WithRevisionsSeen(landing.PolicyRevisions{}.WithRules(120).WithRulesVersion(5)).LacksRules())
}

// Guards against a rollout in which processes do not follow those of the previous version, which state no version of rules.
func TestLacksRules_ProcessWithoutVersionIsFollowedByRevision(t *testing.T) {
	is := is.New(t)
	p := Policy{}.WithRules(landing.RoutingRules{}.WithRevision(100).WithVersion(5))
	is.True(p.WithRevisionsSeen(landing.PolicyRevisions{}.WithRules(101)).LacksRules())
	is.True(!p.WithRevisionsSeen(landing.PolicyRevisions{}.WithRules(100)).LacksRules())
}

// Guards against processes that go on reading because one of them states an era that the platform is not in.
func TestWithConsistentRead_ClearsEraThatDoesNotExist(t *testing.T) {
	is := is.New(t)
	p := New(retention).WithExclusions(exclusionsAt(1, 100)).WithRevisionsSeen(landing.PolicyRevisions{}.WithEra(9))
	is.True(p.LacksExclusions())
	is.True(!p.WithConsistentRead(p.WantedRevisions()).IsBehind())
}

// Guards against a wanted era that is lost when a process of an earlier era advertises a higher revision.
func TestNewest_EraCountsBeforeRevision(t *testing.T) {
	is := is.New(t)
	later, higher := landing.PolicyRevisions{}.WithEra(2).WithExclusions(80), landing.PolicyRevisions{}.WithEra(1).WithExclusions(100)
	is.Equal(Newest(later, higher), later)
	is.Equal(Newest(higher, later), later)
}

// Guards against a zone that stays out of service at processes that have read the list of the copy, because the others have read
// one without it and advertise no change (found by the histories of package position).
func TestAdvertisedRevisions_OtherZonesCountAsChanged(t *testing.T) {
	is := is.New(t)
	p := New(retention).WithExclusions(exclusionsAt(2, 80, "east")).WithExclusions(exclusionsAt(2, 85))
	is.Equal(p.AdvertisedRevisions().Exclusions(), uint64(85))
	p = p.WithExclusions(exclusionsAt(2, 90)) // a watch that knows of no change
	is.Equal(p.AdvertisedRevisions().Exclusions(), uint64(85))
}

// Guards against a process that takes over the list of a peer in a new era, and makes the whole fleet read it again because the
// peer has had it confirmed at a higher revision.
func TestAdvertisedRevisions_ListOfPeerKeepsItsChange(t *testing.T) {
	is := is.New(t)
	p := New(retention).WithExclusions(exclusionsAt(1, 100)).WithExclusions(exclusionsAt(2, 90).WithChangedRevision(80))
	is.Equal(p.AdvertisedRevisions().Exclusions(), uint64(80))
}

// Guards against a balancer that starts after the last change and makes the whole fleet read the exclusions again.
func TestAdvertisedRevisions_FirstReadOfProcessIsNoChange(t *testing.T) {
	is := is.New(t)
	is.Equal(New(retention).WithExclusions(exclusionsAt(2, 85)).AdvertisedRevisions().Exclusions(), uint64(0))
}

// Guards against a zone that stays out of service, or in it, during an update: a process of the previous version states no era,
// and its newer exclusions count as older ones.
func TestIsOlderThan_ExclusionsOfPreviousVersion(t *testing.T) {
	is := is.New(t)
	p := New(0).WithExclusions(landing.ZoneExclusions{}.WithEra(1).WithRevision(900).WithZones("a"))
	is.True(p.IsOlderThan(landing.PolicyRevisions{}.WithExclusions(950)))
}

// Guards against a later version or era that is forgotten because a process of the previous version states a higher revision,
// which is already known.
func TestNewest_PreviousVersionReplacesNothingStated(t *testing.T) {
	is := is.New(t)
	stated := landing.PolicyRevisions{}.WithRulesVersion(5).WithRules(82).WithEra(3).WithExclusions(10)
	previous := landing.PolicyRevisions{}.WithRules(99).WithExclusions(200)
	is.Equal(Newest(stated, previous), stated)
	is.Equal(Newest(landing.PolicyRevisions{}, previous), previous)
	is.Equal(Newest(previous, stated), stated)
}
