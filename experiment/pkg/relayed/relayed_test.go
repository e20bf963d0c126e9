package relayed

import (
	"errors"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/platform/standin/endpoint"
)

const (
	// patience is the deadline of a request: that of a feed at the Office.
	requestTimeout = 2500 * time.Millisecond
	// settle is the longest time for which a state is awaited. States come within one or two seconds.
	stateTimeout = 15 * time.Second
)

// start returns a deployment whose balancers are ready and serve.
func startFleet(t *testing.T, balancers, sidecars int) *Fleet {
	is := is.New(t)
	f, err := New(balancers, sidecars)
	is.NoErr(err)
	t.Cleanup(f.Stop)
	for i := range balancers {
		awaitAllUpstreamsReachable(t, f, i)
	}
	return f
}

// reachesAll waits until a balancer has opened a flow at each upstream.
func awaitAllUpstreamsReachable(t *testing.T, f *Fleet, balancer int) {
	before := []int{}
	for i := range f.nodes {
		before = append(before, f.Upstream(i).Opened())
	}
	await(t, fmt.Sprintf("balancer %d reaches all upstreams", balancer), func() bool {
		if flow, err := f.OpenFlow(f.RouteThrough(balancer), time.Second); err == nil {
			flow.Close()
		}
		for i, n := range before {
			if f.Upstream(i).Opened() == n {
				return false
			}
		}
		return f.IsReady(balancer)
	})
}

// serves waits until a balancer opens a flow.
func awaitServing(t *testing.T, f *Fleet, balancer int) {
	await(t, fmt.Sprintf("balancer %d serves", balancer), func() bool {
		if !f.IsReady(balancer) {
			return false
		}
		flow, err := f.OpenFlow(f.RouteThrough(balancer), time.Second)
		if err == nil {
			flow.Close()
		}
		return err == nil
	})
}

func await(t *testing.T, condition string, isMet func() bool) {
	t.Helper()
	deadline := time.Now().Add(stateTimeout)
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !isMet() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", stateTimeout, condition)
		}
		<-ticker.C
	}
}

func openFlows(t *testing.T, f *Fleet, count int, route endpoint.Route) []*endpoint.Flow {
	is := is.New(t)
	var flows []*endpoint.Flow
	for range count {
		flow, err := f.OpenFlow(route, requestTimeout)
		is.NoErr(err)
		t.Cleanup(flow.Close)
		_, err = flow.Ask("first", requestTimeout)
		is.NoErr(err)
		flows = append(flows, flow)
	}
	return flows
}

// switchable is a route that can be moved to another balancer.
type switchableRoute struct {
	fleet    *Fleet
	balancer atomic.Int32
}

func (s *switchableRoute) route() netip.AddrPort {
	return s.fleet.RouteThrough(int(s.balancer.Load()))()
}

func TestOpenFlowsSurviveBalancerChange(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 2, 4)
	s := &switchableRoute{fleet: f}
	flows := openFlows(t, f, 20, s.route)
	s.balancer.Store(1)
	f.StopBalancer(0)
	for _, flow := range flows {
		_, err := flow.Ask("through another balancer", requestTimeout)
		is.NoErr(err)
	}
	is.NoErr(f.StartBalancer(0))
	await(t, "balancer 0 is back", func() bool { return f.IsReady(0) })
	s.balancer.Store(0)
	for _, flow := range flows {
		_, err := flow.Ask("through one that knows nothing", requestTimeout)
		is.NoErr(err)
	}
}

func TestOpenFlowsSurviveSidecarKill(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 2, 3)
	s := &switchableRoute{fleet: f}
	flows := openFlows(t, f, 20, s.route)
	for i := range f.nodes {
		f.KillSidecar(i)
		is.NoErr(f.StartSidecar(i))
	}
	s.balancer.Store(1)
	for _, flow := range flows {
		_, err := flow.Ask("after the restart", 2*requestTimeout)
		is.NoErr(err)
	}
}

// The flows of an upstream that ends are reset, and all others live on.
func TestUpstreamCrashResetsOnlyItsFlows(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 1, 3)
	flows := openFlows(t, f, 30, f.RouteThrough(0))
	openedBefore := f.Upstream(0).Opened()
	f.CrashUpstream(0)
	is.NoErr(f.StartUpstream(0))
	resets := 0
	for _, flow := range flows {
		_, err := flow.Ask("again", requestTimeout)
		if errors.Is(err, endpoint.ErrReset) {
			resets++
			continue
		}
		is.NoErr(err)
	}
	is.True(resets > 0)
	is.True(resets <= openedBefore)
}

// After a loss of power of everything, the callers of long flows are told without a request that is lost for it.
func TestPowerLossResetsRecordedFlows(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 2, 2)
	flows := openFlows(t, f, 6, f.RouteThrough(0))
	await(t, "flows are recorded", func() bool { return len(f.Store().Names("flows")) == 2 })
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
	for _, flow := range flows {
		is.NoErr(flow.AwaitReset(stateTimeout))
	}
}

func TestExcludedZoneKeepsOpenFlowsOnly(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 2, 4)
	flows := openFlows(t, f, 20, f.RouteThrough(0))
	f.Store().Put("evacuations", "a", map[string]any{})
	opened := func() int { return f.Upstream(0).Opened() + f.Upstream(2).Opened() }
	await(t, "zone a gets nothing", func() bool {
		before := opened()
		openFlows(t, f, 10, f.RouteThrough(1))
		return opened() == before
	})
	for _, flow := range flows {
		_, err := flow.Ask("still here", requestTimeout)
		is.NoErr(err)
	}
	f.Store().Delete("evacuations", "a")
	await(t, "zone a serves again", func() bool {
		before := opened()
		openFlows(t, f, 10, f.RouteThrough(1))
		return opened() > before
	})
}

func TestDrainingUpstreamKeepsOpenFlowsOnly(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 1, 2)
	flows := openFlows(t, f, 10, f.RouteThrough(0))
	f.Upstream(0).Leave()
	await(t, "upstream 0 gets nothing", func() bool {
		before := f.Upstream(0).Opened()
		openFlows(t, f, 5, f.RouteThrough(0))
		return f.Upstream(0).Opened() == before
	})
	for _, flow := range flows {
		_, err := flow.Ask("until the end", requestTimeout)
		is.NoErr(err)
	}
}

// A listener that leads nowhere refuses new flows at once.
func TestServiceWithoutUpstreamsRefusesNewFlows(t *testing.T) {
	f := startFleet(t, 1, 2)
	f.SetRules(2, "nobody")
	await(t, "new flows are refused", func() bool {
		startedAt := time.Now()
		flow, err := f.OpenFlow(f.RouteThrough(0), requestTimeout)
		if err == nil {
			flow.Close()
		}
		return errors.Is(err, endpoint.ErrReset) && time.Since(startedAt) < 200*time.Millisecond
	})
}

// While the store is away everything that runs goes on, and what starts learns from others.
func TestFleetServesDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 2, 2)
	flows := openFlows(t, f, 6, f.RouteThrough(0))
	f.Store().SetAway(true)
	f.StopBalancer(1)
	is.NoErr(f.StartBalancer(1))
	awaitServing(t, f, 1)
	f.KillSidecar(0)
	is.NoErr(f.StartSidecar(0))
	for _, flow := range flows {
		_, err := flow.Ask("without the store", 2*requestTimeout)
		is.NoErr(err)
	}
	f.Store().SetAway(false)
	f.Store().Forget()
	f.SetRules(3, "desk")
	openFlows(t, f, 5, f.RouteThrough(1))
}

// Whoever stops beside an upstream that has ended takes its enrollment back; one that is killed loses it to the others.
func TestGoneSidecarsLoseEnrollment(t *testing.T) {
	f := startFleet(t, 2, 4)
	f.CrashUpstream(0)
	f.StopSidecar(0)
	await(t, "side-0 is not enrolled", func() bool { return len(f.Store().Names("sidecars")) == 3 })
	f.CrashUpstream(1)
	f.KillSidecar(1)
	await(t, "side-1 is not enrolled", func() bool { return len(f.Store().Names("sidecars")) == 2 })
}
