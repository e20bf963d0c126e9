package relayed

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/platform/standin/endpoint"
)

// losePower ends all processes and upstreams abruptly and starts them again, upstreams with the function startUpstream.
func losePower(t *testing.T, f *Fleet, startUpstream func(i int) error) {
	is := is.New(t)
	for i := range f.balancers {
		f.balancers[i].kill()
	}
	for i := range f.nodes {
		f.KillSidecar(i)
		f.CrashUpstream(i)
	}
	for i := range f.nodes {
		is.NoErr(startUpstream(i))
		is.NoErr(f.StartSidecar(i))
	}
	for i := range f.balancers {
		is.NoErr(f.StartBalancer(i))
	}
}

// checkFlowsAreReset sends a request on each flow at the same time, and fails the test unless all are reset before their
// callers give up.
func checkFlowsAreReset(t *testing.T, flows []*endpoint.Flow) {
	t.Helper()
	var wg sync.WaitGroup
	results := make([]error, len(flows))
	for i, flow := range flows {
		wg.Go(func() { _, results[i] = flow.SendRequest("after the loss of power", requestTimeout) })
	}
	wg.Wait()
	for i, err := range results {
		if !errors.Is(err, endpoint.ErrReset) {
			t.Errorf("flow %d was not reset within %s: %v", i, requestTimeout, err)
		}
	}
}

// Guards against callers that get no reset of a lost flow because one sidecar has not had its enrollment confirmed since its
// start: its upstream is back, but has not announced itself yet.
func TestPowerLossResetsFlowsDespiteSilentUpstream(t *testing.T) {
	t.Parallel()
	for _, statesEra := range []bool{false, true} {
		t.Run(fmt.Sprintf("store states its era: %v", statesEra), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f, err := NewFromConfig(Config{Sidecars: 3})
			is.NoErr(err)
			t.Cleanup(f.Stop)
			f.Store().SetStatesEra(statesEra)
			is.NoErr(f.AddBalancer())
			awaitAllUpstreamsReachable(t, f, 0)
			flows := openFlows(t, f, 12, f.RouteThrough(0))
			losePower(t, f, func(i int) error {
				if i == 2 {
					return f.StartSilentUpstream(i)
				}
				return f.StartUpstream(i)
			})
			await(t, "the balancer is ready", func() bool { return f.IsReady(0) })
			time.Sleep(3 * time.Second) // the statuses of all sidecars have arrived
			checkFlowsAreReset(t, flows)
		})
	}
}

// Guards against callers that wait for the reset of a lost flow because the store has an entry of another writer that cannot be
// read, and that no sidecar replaces.
func TestPowerLossResetsFlowsDespiteOddEntry(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, 3)
	f.Store().Put("sidecars", "odd", map[string]any{"service": 7})
	flows := openFlows(t, f, 6, f.RouteThrough(0))
	losePower(t, f, f.StartUpstream)
	await(t, "the balancer is ready", func() bool { return f.IsReady(0) })
	time.Sleep(2 * time.Second) // the statuses of all sidecars have arrived
	checkFlowsAreReset(t, flows)
}
