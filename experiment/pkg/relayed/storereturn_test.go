package relayed

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/platform"
)

const (
	// storeAway is the time for which the store is away before it comes back from an older copy.
	storeAway = time.Second
	// lostWrites is the number of changes of the system that the store loses. The changes after its return are fewer, so that
	// its revision stays lower than before.
	lostWrites = 40
)

// loseWrites writes objects of the system that the store loses when it comes back from a copy taken before.
func loseWrites(t *testing.T, f *Fleet) {
	is := is.New(t)
	client := platform.NewStoreClient(f.platformAddress().String(), func(string, string) {}, func(error) {})
	for i := range lostWrites {
		is.NoErr(client.CreateHeldFlows(context.Background(), fmt.Sprintf("lost-%d", i), landing.HeldFlowList{}))
	}
}

// Guards against requests that are run by a service that only an older configuration allows: the store has come back from an
// older copy, and no process puts a later configuration in force, since its revision is lower than before (incident 44).
func TestConfigurationAfterStoreCameBackIsInForce(t *testing.T) {
	f := startFleet(t, 3, 4)
	c := f.Store().Copy()
	loseWrites(t, f)
	f.SetRulesWithRoutes(13, "desk", 1)
	awaitServing(t, f, 0)
	f.Store().Drill(c, storeAway, 0)
	time.Sleep(inTouchAfter)
	f.SetRules(17, "none")
	time.Sleep(rulesTimeLimit)
	for i := range f.balancers {
		if canOpenFlow(f, i) {
			t.Errorf("balancer %d uses the old rules", i)
		}
	}
}
