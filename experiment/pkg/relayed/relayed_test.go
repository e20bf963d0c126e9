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
	patience = 2500 * time.Millisecond
	// settle is the longest time for which a state is awaited. States come within one or two seconds.
	settle = 15 * time.Second
)

// start returns a deployment whose balancers are ready and serve.
func start(t *testing.T, balancers, sidecars int) *Fleet {
	is := is.New(t)
	f, err := New(balancers, sidecars)
	is.NoErr(err)
	t.Cleanup(f.Stop)
	for i := range balancers {
		reachesAll(t, f, i)
	}
	return f
}

// reachesAll waits until a balancer has opened a flow at each upstream.
func reachesAll(t *testing.T, f *Fleet, balancer int) {
	before := []int{}
	for i := range f.sidecars {
		before = append(before, f.Upstream(i).OpenedFlows())
	}
	await(t, fmt.Sprintf("balancer %d reaches all upstreams", balancer), func() bool {
		if flow, err := f.Open(f.Through(balancer), time.Second); err == nil {
			flow.Close()
		}
		for i, n := range before {
			if f.Upstream(i).OpenedFlows() == n {
				return false
			}
		}
		return f.IsReady(balancer)
	})
}

// serves waits until a balancer opens a flow.
func serves(t *testing.T, f *Fleet, balancer int) {
	await(t, fmt.Sprintf("balancer %d serves", balancer), func() bool {
		if !f.IsReady(balancer) {
			return false
		}
		flow, err := f.Open(f.Through(balancer), time.Second)
		if err == nil {
			flow.Close()
		}
		return err == nil
	})
}

func await(t *testing.T, state string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(settle)
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", settle, state)
		}
		<-ticker.C
	}
}

func open(t *testing.T, f *Fleet, n int, route endpoint.Route) []*endpoint.Flow {
	is := is.New(t)
	var flows []*endpoint.Flow
	for range n {
		flow, err := f.Open(route, patience)
		is.NoErr(err)
		t.Cleanup(flow.Close)
		_, err = flow.SendRequest("first", patience)
		is.NoErr(err)
		flows = append(flows, flow)
	}
	return flows
}

// switchable is a route that can be moved to another balancer.
type switchable struct {
	fleet *Fleet
	to    atomic.Int32
}

func (s *switchable) route() netip.AddrPort {
	return s.fleet.Through(int(s.to.Load()))()
}

func TestOpenFlowsSurviveAnyBalancer(t *testing.T) {
	is := is.New(t)
	f := start(t, 2, 4)
	s := &switchable{fleet: f}
	flows := open(t, f, 20, s.route)
	s.to.Store(1)
	f.StopBalancer(0)
	for _, flow := range flows {
		_, err := flow.SendRequest("through another balancer", patience)
		is.NoErr(err)
	}
	is.NoErr(f.StartBalancer(0))
	await(t, "balancer 0 is back", func() bool { return f.IsReady(0) })
	s.to.Store(0)
	for _, flow := range flows {
		_, err := flow.SendRequest("through one that knows nothing", patience)
		is.NoErr(err)
	}
}

func TestOpenFlowsSurviveSidecarsThatAreKilledBesideLivingUpstreams(t *testing.T) {
	is := is.New(t)
	f := start(t, 2, 3)
	s := &switchable{fleet: f}
	flows := open(t, f, 20, s.route)
	for i := range f.sidecars {
		f.KillSidecar(i)
		is.NoErr(f.StartSidecar(i))
	}
	s.to.Store(1)
	for _, flow := range flows {
		_, err := flow.SendRequest("after the restart", 2*patience)
		is.NoErr(err)
	}
}

// The flows of an upstream that ends are reset, and all others live on.
func TestOnlyFlowsOfAnEndedUpstreamAreReset(t *testing.T) {
	is := is.New(t)
	f := start(t, 1, 3)
	flows := open(t, f, 30, f.Through(0))
	lost := f.Upstream(0).OpenedFlows()
	f.CrashUpstream(0)
	is.NoErr(f.StartUpstream(0))
	resets := 0
	for _, flow := range flows {
		_, err := flow.SendRequest("again", patience)
		if errors.Is(err, endpoint.ErrReset) {
			resets++
			continue
		}
		is.NoErr(err)
	}
	is.True(resets > 0)
	is.True(resets <= lost)
}

// After a loss of power of everything, the callers of long flows are told without a request that is lost for it.
func TestLongFlowsAreResetAfterEverythingLostItsPower(t *testing.T) {
	is := is.New(t)
	f := start(t, 2, 2)
	flows := open(t, f, 6, f.Through(0))
	await(t, "flows are recorded", func() bool { return len(f.Store().ObjectNames("flows")) == 2 })
	for i := range f.balancers {
		f.StopBalancer(i)
	}
	for i := range f.sidecars {
		f.KillSidecar(i)
		f.CrashUpstream(i)
	}
	for i := range f.sidecars {
		is.NoErr(f.StartUpstream(i))
		is.NoErr(f.StartSidecar(i))
	}
	for i := range f.balancers {
		is.NoErr(f.StartBalancer(i))
	}
	for _, flow := range flows {
		is.NoErr(flow.AwaitReset(settle))
	}
}

func TestExcludedZoneGetsNoNewFlowAndKeepsItsOpenOnes(t *testing.T) {
	is := is.New(t)
	f := start(t, 2, 4)
	flows := open(t, f, 20, f.Through(0))
	f.Store().Put("evacuations", "a", map[string]any{})
	opened := func() int { return f.Upstream(0).OpenedFlows() + f.Upstream(2).OpenedFlows() }
	await(t, "zone a gets nothing", func() bool {
		before := opened()
		open(t, f, 10, f.Through(1))
		return opened() == before
	})
	for _, flow := range flows {
		_, err := flow.SendRequest("still here", patience)
		is.NoErr(err)
	}
	f.Store().Delete("evacuations", "a")
	await(t, "zone a serves again", func() bool {
		before := opened()
		open(t, f, 10, f.Through(1))
		return opened() > before
	})
}

func TestLeavingUpstreamGetsNoNewFlowOnceItHasSaidSo(t *testing.T) {
	is := is.New(t)
	f := start(t, 1, 2)
	flows := open(t, f, 10, f.Through(0))
	f.Upstream(0).Drain()
	await(t, "upstream 0 gets nothing", func() bool {
		before := f.Upstream(0).OpenedFlows()
		open(t, f, 5, f.Through(0))
		return f.Upstream(0).OpenedFlows() == before
	})
	for _, flow := range flows {
		_, err := flow.SendRequest("until the end", patience)
		is.NoErr(err)
	}
}

// A listener that leads nowhere refuses new flows at once.
func TestNewFlowToAServiceWithoutUpstreamsIsRefusedAtOnce(t *testing.T) {
	f := start(t, 1, 2)
	f.SetRules(2, "nobody")
	await(t, "new flows are refused", func() bool {
		began := time.Now()
		flow, err := f.Open(f.Through(0), patience)
		if err == nil {
			flow.Close()
		}
		return errors.Is(err, endpoint.ErrReset) && time.Since(began) < 200*time.Millisecond
	})
}

// While the store is away everything that runs goes on, and what starts learns from others.
func TestFleetServesWhileTheStoreIsAway(t *testing.T) {
	is := is.New(t)
	f := start(t, 2, 2)
	flows := open(t, f, 6, f.Through(0))
	f.Store().SetUnavailable(true)
	f.StopBalancer(1)
	is.NoErr(f.StartBalancer(1))
	serves(t, f, 1)
	f.KillSidecar(0)
	is.NoErr(f.StartSidecar(0))
	for _, flow := range flows {
		_, err := flow.SendRequest("without the store", 2*patience)
		is.NoErr(err)
	}
	f.Store().SetUnavailable(false)
	f.Store().DropHistory()
	f.SetRules(3, "desk")
	open(t, f, 5, f.Through(1))
}

// Whoever stops beside an upstream that has ended takes its enrollment back; one that is killed loses it to the others.
func TestSidecarsThatAreGoneLoseTheirEnrollment(t *testing.T) {
	f := start(t, 2, 4)
	f.CrashUpstream(0)
	f.StopSidecar(0)
	await(t, "side-0 is not enrolled", func() bool { return len(f.Store().ObjectNames("sidecars")) == 3 })
	f.CrashUpstream(1)
	f.KillSidecar(1)
	await(t, "side-1 is not enrolled", func() bool { return len(f.Store().ObjectNames("sidecars")) == 2 })
}
