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
	// rewriteDelay is the time after which the operator repeats its lost changes.
	rewriteDelay = 500 * time.Millisecond
	// lateRewriteDelay is such a time that ends when the processes are in touch again.
	lateRewriteDelay = inTouchAfter + 2*time.Second
	// coldStart is the time for which an upstream counts as cold, as the configuration states it.
	coldStart = time.Second
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

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// sleepUntil waits until a time and a few probes longer.
func sleepUntil(at time.Time) {
	time.Sleep(time.Until(at) + 5*probeInterval)
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

// configurationChange is a change that drops the route of the callers, or one that adds it.
type configurationChange struct {
	name              string
	before, after     string
	isBefore, isAfter func(probe) bool
}

var configurationChanges = []configurationChange{
	{"route dropped", "desk", "none", probe.isServed, func(p probe) bool { return p.isRefused }},
	{"route added", "none", "desk", func(p probe) bool { return p.isRefused }, probe.isServed},
}

// startBeforeChange starts a deployment and a prober, with the configuration before the change in force.
func (c configurationChange) startBeforeChange(t *testing.T) (*Fleet, *prober) {
	f := startFleetWith(t, Config{Balancers: 3, Sidecars: 2, HasStoreProxy: true})
	p := startProber(t, f)
	f.SetRules(2, c.before)
	p.await(t, "the configuration before the change is in force", c.isBefore)
	return f, p
}

// loseVersionBefore returns a copy of the store. After it, another version with the service before the change came into force,
// whose revision the change has no longer when the store has come back.
func (c configurationChange) loseVersionBefore(t *testing.T, f *Fleet) store.Copy {
	copied := f.Store().Copy()
	loseWrites(t, f)
	f.SetRulesWithRoutes(12, c.before, 1)
	time.Sleep(rulesTimeLimit)
	return copied
}

// Guards against a configuration that comes into force late, or gives way to an older one, because the store comes back from
// an older copy at about the time of the change (incident 44).
func TestConfigurationChangedAroundReturnOfStore(t *testing.T) {
	t.Parallel()
	for _, c := range configurationChanges {
		for name, change := range map[string]func(*testing.T, *Fleet, *prober) (ackedAt, returnedAt time.Time){
			"before the copy": func(t *testing.T, f *Fleet, _ *prober) (time.Time, time.Time) {
				f.SetRules(13, c.after)
				ackedAt, copied := time.Now(), f.Store().Copy()
				loseWrites(t, f)
				return ackedAt, drill(f, copied, rewriteDelay)
			},
			"in the lost seconds": func(t *testing.T, f *Fleet, p *prober) (time.Time, time.Time) {
				copied := f.Store().Copy()
				loseWrites(t, f)
				f.SetRules(13, c.after)
				ackedAt := time.Now()
				p.await(t, "the change is in force", c.isAfter)
				return ackedAt, drill(f, copied, rewriteDelay)
			},
			"just before the loss": func(t *testing.T, f *Fleet, _ *prober) (time.Time, time.Time) {
				copied := c.loseVersionBefore(t, f)
				f.SilenceStore() // no process reads the change before the store is away
				f.SetRules(13, c.after)
				return time.Now(), drill(f, copied, rewriteDelay)
			},
			"just after the return": func(t *testing.T, f *Fleet, _ *prober) (time.Time, time.Time) {
				returnedAt := drill(f, c.loseVersionBefore(t, f), 0)
				f.SetRules(13, c.after)
				return time.Now(), returnedAt
			},
			"before the watches continue": func(t *testing.T, f *Fleet, _ *prober) (time.Time, time.Time) {
				copied := c.loseVersionBefore(t, f)
				f.SilenceStore() // the watches continue when the store has given out their revisions again
				f.Store().Return(copied)
				f.Store().RepeatOperatorWrites()
				f.SetRules(13, c.after)
				ackedAt := time.Now()
				loseWrites(t, f)
				f.Store().Put("evacuations", "c", map[string]any{}) // a zone without upstreams
				return ackedAt, ackedAt
			},
		} {
			t.Run(c.name+" "+name, func(t *testing.T) {
				t.Parallel()
				f, p := c.startBeforeChange(t)
				ackedAt, returnedAt := change(t, f, p)
				deadline := latest(ackedAt.Add(rulesTimeLimit), returnedAt.Add(inTouchAfter))
				sleepUntil(deadline)
				p.checkInForce(t, c.isBefore, c.isAfter, deadline)
				p.checkNotReverted(t, c.isBefore, c.isAfter, ackedAt)
			})
		}
	}
}

// Guards against processes that start around the return of the store and use the configuration of the copy, although others
// know a later version that the operator writes again only when they are in touch.
func TestProcessesStartedAroundReturnOfStoreUseLostConfiguration(t *testing.T) {
	t.Parallel()
	for _, c := range configurationChanges {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f, p := c.startBeforeChange(t)
			copied := f.Store().Copy()
			loseWrites(t, f)
			f.SetRules(13, c.after)
			ackedAt := time.Now()
			p.await(t, "the change is in force", c.isAfter)
			f.Store().SetUnavailable(true)
			p.restartBalancer(t, 2)
			f.StopSidecar(0)
			is.NoErr(f.StartSidecar(0))
			time.Sleep(storeAway)
			f.Store().Return(copied)
			f.Store().SetUnavailable(false)
			p.restartBalancer(t, 1)
			f.StopSidecar(1)
			is.NoErr(f.StartSidecar(1))
			deadline := time.Now().Add(inTouchAfter)
			sleepUntil(deadline.Add(lateRewriteDelay - inTouchAfter))
			f.Store().RepeatOperatorWrites()
			sleepUntil(time.Now().Add(time.Second))
			p.checkInForce(t, c.isBefore, c.isAfter, deadline)
			p.checkNotReverted(t, c.isBefore, c.isAfter, ackedAt)
		})
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

// restartBalancer stops a balancer with a planned stop, starts it again and waits until it is ready.
func restartBalancer(t *testing.T, f *Fleet, i int) {
	t.Helper()
	f.StopBalancer(i)
	is.New(t).NoErr(f.StartBalancer(i))
	await(t, "the balancer is ready", func() bool { return f.IsReady(i) })
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
			restartBalancer(t, f, 1)
			s.balancer.Store(1)
			checkFlowsContinue(t, flows, "through the restarted balancer")
			time.Sleep(time.Until(returnedAt.Add(inTouchAfter)))
			is.True(isEnrolled(f, 2))
			s.balancer.Store(2)
			checkFlowsContinue(t, flows, "through a balancer that runs")
		})
	}
}

// Guards against balancers that ignore all later enrollment lists, whose revisions are lower than before the return, and place
// no flow at a sidecar that enrolls then.
func TestSidecarThatEnrollsAfterReturnGetsFlows(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, 3, 2)
	copied := f.Store().Copy()
	loseWrites(t, f)
	is.NoErr(f.AddSidecar()) // the running balancers have read the list that is lost
	openFlowsAt(t, f, 2, f.RouteThrough(0))
	returnedAt := drill(f, copied, 0)
	time.Sleep(time.Until(returnedAt.Add(inTouchAfter)))
	is.NoErr(f.AddSidecar())
	for i := range f.balancers {
		openFlowsAt(t, f, 3, f.RouteThrough(i))
	}
}

// Guards against changes that are not in force, enrollments that are missing and open flows that are reset after the store
// has come back from an older copy twice within five seconds.
func TestStoreComesBackTwice(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, 3, 2)
	s := &switchableRoute{fleet: f}
	copied := f.Store().Copy()
	is.NoErr(f.AddSidecar())
	flows := openFlowsAt(t, f, 2, s.route)
	loseWrites(t, f)
	f.SetRulesWithRoutes(13, "desk", 1)
	drill(f, copied, rewriteDelay)
	copied = f.Store().Copy()
	loseWrites(t, f)
	time.Sleep(time.Second)
	f.SetRulesWithRoutes(14, "desk", 2)
	returnedAt := drill(f, copied, rewriteDelay)
	restartBalancer(t, f, 1)
	s.balancer.Store(1)
	checkFlowsContinue(t, flows, "after the second return")
	time.Sleep(time.Until(returnedAt.Add(inTouchAfter)))
	for i := range f.nodes {
		is.True(isEnrolled(f, i))
	}
	f.SetRules(17, "desk")
	checkChangesComeIntoForce(t, f, 18)
}

// Guards against resets of open flows and changes that are not in force when the store comes back from an older copy while
// all balancers are restarted one after the other.
func TestStoreComesBackDuringRestartOfBalancers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, 3, 2)
	p := startProber(t, f)
	s := &switchableRoute{fleet: f}
	copied := f.Store().Copy()
	is.NoErr(f.AddSidecar())
	flows := openFlowsAt(t, f, 2, s.route)
	loseWrites(t, f)
	f.SetRulesWithRoutes(13, "desk", 1)
	var drilled sync.WaitGroup
	drilled.Go(func() { drill(f, copied, rewriteDelay) })
	for i := range f.balancers {
		s.balancer.Store(int32((i + 1) % len(f.balancers)))
		p.restartBalancer(t, i)
		await(t, "the balancer is ready", func() bool { return f.IsReady(i) })
		s.balancer.Store(int32(i))
		checkFlowsContinue(t, flows, fmt.Sprintf("through balancer %d", i))
	}
	drilled.Wait()
	time.Sleep(inTouchAfter)
	is.True(isEnrolled(f, 2))
	f.SetRules(17, "none")
	ackedAt := time.Now()
	sleepUntil(ackedAt.Add(rulesTimeLimit + time.Second))
	p.checkInForce(t, probe.isServed, func(p probe) bool { return p.isRefused }, ackedAt.Add(rulesTimeLimit))
}
