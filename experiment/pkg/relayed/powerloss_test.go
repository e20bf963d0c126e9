package relayed

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against callers that wait for the reset of a lost flow because one sidecar has not had its enrollment confirmed since
// its start: after a power loss its upstream is back, but has not announced itself yet.
func TestPowerLossResetsFlowsDespiteSilentUpstream(t *testing.T) {
	for _, statesEra := range []bool{false, true} {
		t.Run(fmt.Sprintf("store states its era: %v", statesEra), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startFleetWith(t, Config{Balancers: 2, Sidecars: 3})
			f.Store().SetStatesEra(statesEra)
			if !statesEra {
				// The processes have seen an era at their start.
				for i := range f.balancers {
					f.StopBalancer(i)
					is.NoErr(f.StartBalancer(i))
				}
				for i := range f.nodes {
					f.KillSidecar(i)
					is.NoErr(f.StartSidecar(i))
				}
				awaitServing(t, f, 0)
				awaitServing(t, f, 1)
			}
			flows := openFlows(t, f, 12, f.RouteThrough(0))
			for i := range f.balancers {
				f.StopBalancer(i)
			}
			for i := range f.nodes {
				f.KillSidecar(i)
				f.CrashUpstream(i)
			}
			for i := range f.nodes {
				if i == 2 {
					is.NoErr(f.StartSilentUpstream(i))
				} else {
					is.NoErr(f.StartUpstream(i))
				}
				is.NoErr(f.StartSidecar(i))
			}
			for i := range f.balancers {
				is.NoErr(f.StartBalancer(i))
			}
			await(t, "the balancer is ready", func() bool { return f.IsReady(0) })
			time.Sleep(3 * time.Second) // all statuses have arrived, all flows are older than a walk
			start := time.Now()
			var wg sync.WaitGroup
			resets := make([]time.Duration, len(flows))
			for i, flow := range flows {
				wg.Go(func() {
					_, _ = flow.SendRequest("after the power loss", 8*time.Second)
					resets[i] = time.Since(start)
				})
			}
			wg.Wait()
			late := 0
			for _, r := range resets {
				if r > 2*time.Second {
					late++
				}
			}
			t.Logf("%v", resets)
			if late > 0 {
				t.Errorf("%d of %d lost flows were not reset within 2 s", late, len(flows))
			}
		})
	}
}

// Guards against callers that wait for the reset of a lost flow because the store has an entry of another writer that cannot be
// read, which no sidecar will ever replace.
func TestPowerLossResetsFlowsDespiteOddEntry(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleetWith(t, Config{Balancers: 2, Sidecars: 3})
	f.Store().Put("sidecars", "odd", map[string]any{"service": 7})
	flows := openFlows(t, f, 6, f.RouteThrough(0))
	for i := range f.balancers {
		f.StopBalancer(i)
	}
	for i := range f.nodes {
		f.KillSidecar(i)
		f.CrashUpstream(i)
	}
	for i := range f.nodes {
		is.NoErr(f.StartUpstream(i))
		is.NoErr(f.StartSidecar(i))
	}
	for i := range f.balancers {
		is.NoErr(f.StartBalancer(i))
	}
	await(t, "the balancer is ready", func() bool { return f.IsReady(0) })
	time.Sleep(2 * time.Second)
	start := time.Now()
	_, _ = flows[0].SendRequest("after the power loss", 15*time.Second)
	if waited := time.Since(start); waited > 2*time.Second {
		t.Errorf("the lost flow was reset after %v", waited)
	}
}
