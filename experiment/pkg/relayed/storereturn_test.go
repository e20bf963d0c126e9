package relayed

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/platform"
	"github.com/crocuslanding/crocuslanding/platform/standin/endpoint"
	"github.com/crocuslanding/crocuslanding/platform/standin/store"
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

// drill lets the store come back from a copy and returns the time at which it was back. The operator has then repeated its
// lost changes.
func drill(f *Fleet, c store.Copy, rewriteDelay time.Duration) time.Time {
	f.Store().Drill(c, storeAway, rewriteDelay)
	return time.Now().Add(-rewriteDelay)
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

// openFlowsAt opens flows until the upstream holds some, and returns all of them.
func openFlowsAt(t *testing.T, f *Fleet, upstream int, route endpoint.Route) []*endpoint.Flow {
	var flows []*endpoint.Flow
	await(t, fmt.Sprintf("upstream %d holds flows", upstream), func() bool {
		before := f.Upstream(upstream).OpenedFlows()
		flows = append(flows, openFlows(t, f, 10, route)...)
		return f.Upstream(upstream).OpenedFlows() > before
	})
	return flows
}

// checkFlowsContinue sends a request on each flow at the same time, and fails the test if one is reset or gets no answer.
func checkFlowsContinue(t *testing.T, flows []*endpoint.Flow, request string) {
	t.Helper()
	var wg sync.WaitGroup
	results := make([]error, len(flows))
	for i, flow := range flows {
		wg.Go(func() { _, results[i] = flow.SendRequest(request, stateTimeout) })
	}
	wg.Wait()
	resets, unanswered := 0, 0
	for _, err := range results {
		switch {
		case errors.Is(err, endpoint.ErrReset):
			resets++
		case err != nil:
			unanswered++
		}
	}
	if resets+unanswered > 0 {
		t.Errorf("%s: of %d open flows %d were reset, %d got no answer", request, len(flows), resets, unanswered)
	}
}

// isEnrolled reports whether the store has the enrollment of a sidecar.
func isEnrolled(f *Fleet, sidecar int) bool {
	return slices.Contains(f.Store().ObjectNames("sidecars"), f.nodes[sidecar].instance)
}

// Guards against resets of the open flows of a sidecar whose enrollment the store has lost, when a balancer is restarted
// after the return (review/11), and against enrollments that are not written again.
func TestOpenFlowsOfLostEnrollmentSurviveBalancerRestart(t *testing.T) {
	t.Parallel()
	for name, delay := range map[string]time.Duration{"at once": 0, "when in touch": inTouchAfter} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startFleet(t, 3, 2)
			copied := f.Store().Copy()
			is.NoErr(f.AddSidecar())
			s := &switchableRoute{fleet: f}
			flows := openFlowsAt(t, f, 2, s.route)
			loseWrites(t, f)
			returnedAt := drill(f, copied, 0)
			time.Sleep(time.Until(returnedAt.Add(delay)))
			f.StopBalancer(1)
			is.NoErr(f.StartBalancer(1))
			await(t, "the balancer is ready", func() bool { return f.IsReady(1) })
			s.balancer.Store(1)
			checkFlowsContinue(t, flows, "through the restarted balancer")
			time.Sleep(time.Until(returnedAt.Add(inTouchAfter)))
			is.True(isEnrolled(f, 2))
			s.balancer.Store(2)
			checkFlowsContinue(t, flows, "through a balancer that runs")
		})
	}
}
