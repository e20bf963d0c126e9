package relayed

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/platform/standin/endpoint"
)

const (
	// requestTimeout is the time within which a request must be answered. It is that of a feed at the Office, one of the
	// users' deployments.
	requestTimeout = 2500 * time.Millisecond
	// stateTimeout is the longest time for which await waits for a condition. Conditions are met within one or two
	// seconds.
	stateTimeout = 15 * time.Second
)

// startFleet starts a deployment and waits until all its balancers are ready and reach all upstreams. The deployment stops
// at the end of the test.
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

// awaitAllUpstreamsReachable opens flows through a balancer until each upstream has received one and the balancer is ready.
func awaitAllUpstreamsReachable(t *testing.T, f *Fleet, balancer int) {
	openedBefore := []int{}
	for i := range f.nodes {
		openedBefore = append(openedBefore, f.Upstream(i).OpenedFlows())
	}
	await(t, fmt.Sprintf("balancer %d reaches all upstreams", balancer), func() bool {
		if flow, err := f.OpenFlow(f.RouteThrough(balancer), time.Second); err == nil {
			flow.Close()
		}
		for i, n := range openedBefore {
			if f.Upstream(i).OpenedFlows() == n {
				return false
			}
		}
		return f.IsReady(balancer)
	})
}

// awaitServing waits until a balancer is ready and a flow can be opened through it.
func awaitServing(t *testing.T, f *Fleet, balancer int) {
	await(t, fmt.Sprintf("balancer %d serves", balancer), func() bool {
		return f.IsReady(balancer) && canOpenFlow(f, balancer)
	})
}

// await waits until isMet returns true. It fails the test with the name of the condition after stateTimeout.
func await(t *testing.T, condition string, isMet func() bool) {
	t.Helper()
	deadline := time.Now().Add(stateTimeout)
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !isMet() {
		if time.Now().After(deadline) {
			t.Fatalf("condition was not met within %s: %s", stateTimeout, condition)
		}
		<-ticker.C
	}
}

// openFlows opens this number of flows, whose packets go to the balancers that route returns, and sends one request on
// each.
func openFlows(t *testing.T, f *Fleet, count int, route endpoint.Route) []*endpoint.Flow {
	is := is.New(t)
	var flows []*endpoint.Flow
	for range count {
		flow, err := f.OpenFlow(route, requestTimeout)
		is.NoErr(err)
		t.Cleanup(flow.Close)
		_, err = flow.SendRequest("first", requestTimeout)
		is.NoErr(err)
		flows = append(flows, flow)
	}
	return flows
}

// switchableRoute provides a route that sends all packets to one balancer, which can be changed while flows are open.
type switchableRoute struct {
	fleet    *Fleet
	balancer atomic.Int32
}

func (s *switchableRoute) route() netip.AddrPort {
	return s.fleet.RouteThrough(int(s.balancer.Load()))()
}

// Open flows continue when their packets go through a balancer other than the one through which the flows were opened, and
// through a balancer that was restarted and has no state.
func TestOpenFlowsSurviveBalancerChange(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 2, 4)
	s := &switchableRoute{fleet: f}
	flows := openFlows(t, f, 20, s.route)
	s.balancer.Store(1)
	f.StopBalancer(0)
	for _, flow := range flows {
		_, err := flow.SendRequest("through another balancer", requestTimeout)
		is.NoErr(err)
	}
	is.NoErr(f.StartBalancer(0))
	await(t, "balancer 0 is ready again", func() bool { return f.IsReady(0) })
	s.balancer.Store(0)
	for _, flow := range flows {
		_, err := flow.SendRequest("through one that knows nothing", requestTimeout)
		is.NoErr(err)
	}
}

// Open flows continue when all sidecars are killed and restarted while their upstreams run.
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
		_, err := flow.SendRequest("after the restart", 2*requestTimeout)
		is.NoErr(err)
	}
}

// When an upstream crashes and starts again, its flows are reset and the flows of all other upstreams continue.
func TestUpstreamCrashResetsOnlyItsFlows(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 1, 3)
	var flows []*endpoint.Flow
	// Balancers prefer sidecars from which they have received a status, and that of sidecar 0 may be the last to arrive.
	others := f.Upstream(0).OpenedFlows()
	await(t, "upstream 0 holds one of the flows", func() bool {
		flows = append(flows, openFlows(t, f, 30, f.RouteThrough(0))...)
		return f.Upstream(0).OpenedFlows() > others
	})
	openedBefore := f.Upstream(0).OpenedFlows()
	f.CrashUpstream(0)
	is.NoErr(f.StartUpstream(0))
	resets := 0
	for _, flow := range flows {
		_, err := flow.SendRequest("again", requestTimeout)
		if errors.Is(err, endpoint.ErrReset) {
			resets++
			continue
		}
		is.NoErr(err)
	}
	is.True(resets > 0)
	is.True(resets <= openedBefore)
}

// Guards against resets of all open flows of an upstream when its sidecar is restarted as planned and the first heartbeat
// that reaches the new sidecar process is a late one of the crashed predecessor of the upstream (review/4).
func TestOpenFlowsSurviveLateHeartbeatAtRestartedSidecar(t *testing.T) {
	for _, number := range []int{1, 5} {
		t.Run(fmt.Sprintf("late heartbeat %d", number), func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, 1, 2)
			crashed := f.Upstream(0)
			f.CrashUpstream(0)
			is.NoErr(f.StartUpstream(0))
			var flows []*endpoint.Flow
			await(t, "upstream 0 holds flows", func() bool {
				flows = append(flows, openFlows(t, f, 10, f.RouteThrough(0))...)
				return f.Upstream(0).OpenedFlows() > 0
			})
			f.Upstream(0).SetSilent(true)
			f.StopSidecar(0)
			is.NoErr(f.StartSidecar(0))
			await(t, "the late heartbeat is acknowledged", func() bool {
				status, err := f.PostHeartbeat(0, "i-0-1", crashed.Heartbeat(number))
				return err == nil && status == http.StatusOK
			})
			f.Upstream(0).SetSilent(false)
			time.Sleep(5 * time.Second) // the flows are idle until every other process knows the upstream's new state
			for _, flow := range flows {
				_, err := flow.SendRequest("after the late heartbeat", 2*requestTimeout)
				is.NoErr(err)
			}
		})
	}
}

// Guards against resets of all open flows of a running upstream after a heartbeat of another writer with a later start time:
// one in which fields are missing (review/5), or one from another zone.
func TestOpenFlowsSurviveHeartbeatOfAnotherWriter(t *testing.T) {
	for name, c := range map[string]struct {
		change func(map[string]any)
		status int
	}{
		"missing fields": {func(h map[string]any) {
			for _, field := range endpoint.FieldsMissingElsewhere {
				delete(h, field)
			}
		}, http.StatusBadRequest},
		"another zone": {func(h map[string]any) { h["zone"] = "elsewhere" }, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, 1, 1)
			flows := openFlows(t, f, 5, f.RouteThrough(0))
			time.Sleep(3 * endpoint.HeartbeatInterval) // a heartbeat has arrived since the flows were opened
			heartbeat := map[string]any{}
			is.NoErr(json.Unmarshal(f.Upstream(0).Heartbeat(1), &heartbeat))
			heartbeat["born"] = time.Now().UnixMilli()
			c.change(heartbeat)
			body, err := json.Marshal(heartbeat)
			is.NoErr(err)
			status, err := f.PostHeartbeat(0, "i-x", body)
			is.NoErr(err)
			is.Equal(status, c.status)
			for _, flow := range flows {
				_, err := flow.SendRequest("after the heartbeat", requestTimeout)
				is.NoErr(err)
			}
		})
	}
}

// After all processes have lost power, the flows that were recorded in the store are reset without a further request of
// their callers, since such a request would be lost.
func TestPowerLossResetsRecordedFlows(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 2, 2)
	flows := openFlows(t, f, 6, f.RouteThrough(0))
	await(t, "flows are recorded", func() bool { return len(f.Store().ObjectNames("flows")) == 2 }) // one object for each sidecar
	losePower(t, f, f.StartUpstream)
	for _, flow := range flows {
		is.NoErr(flow.AwaitReset(stateTimeout))
	}
}

// Callers give up while their requests are on the way, and each FIN overtakes its request. New flows are still admitted at
// once, however few slots an upstream has.
func TestGivenUpRequestsDoNotBlockNewFlows(t *testing.T) {
	for _, slots := range []int{1, 2, 3} {
		t.Run(fmt.Sprintf("%d slots", slots), func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, 1, 1)
			f.Upstream(0).SetSlots(slots)
			await(t, "the sidecar knows the slots", func() bool { return f.Upstream(0).AcknowledgedSlots() == slots })
			for _, flow := range openFlows(t, f, 3*slots, f.RouteThrough(0)) {
				flow.GiveUp("given up")
			}
			for range 20 {
				flow, err := f.OpenFlow(f.RouteThrough(0), 200*time.Millisecond)
				is.NoErr(err)
				t.Cleanup(flow.Close)
				_, err = flow.SendRequest("fresh", requestTimeout)
				is.NoErr(err)
			}
		})
	}
}

// While a zone is excluded, new flows go to other zones and the open flows of the zone continue.
func TestExcludedZoneKeepsOpenFlowsOnly(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 2, 4)
	flows := openFlows(t, f, 20, f.RouteThrough(0))
	f.Store().Put("evacuations", "a", map[string]any{}) // excludes zone a, that is, upstreams 0 and 2
	opened := func() int { return f.Upstream(0).OpenedFlows() + f.Upstream(2).OpenedFlows() }
	await(t, "zone a gets no new flows", func() bool {
		before := opened()
		openFlows(t, f, 10, f.RouteThrough(1))
		return opened() == before
	})
	for _, flow := range flows {
		_, err := flow.SendRequest("still here", requestTimeout)
		is.NoErr(err)
	}
	f.Store().Delete("evacuations", "a")
	await(t, "zone a serves again", func() bool {
		before := opened()
		openFlows(t, f, 10, f.RouteThrough(1))
		return opened() > before
	})
}

// An upstream that announces that it leaves gets no new flows, and its open flows continue.
func TestDrainingUpstreamKeepsOpenFlowsOnly(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 1, 2)
	flows := openFlows(t, f, 10, f.RouteThrough(0))
	f.Upstream(0).Drain()
	await(t, "upstream 0 gets no new flows", func() bool {
		before := f.Upstream(0).OpenedFlows()
		openFlows(t, f, 5, f.RouteThrough(0))
		return f.Upstream(0).OpenedFlows() == before
	})
	for _, flow := range flows {
		_, err := flow.SendRequest("until the end", requestTimeout)
		is.NoErr(err)
	}
}

// New flows to a listener whose service has no upstreams are refused at once: each is reset within 200 ms.
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

// While the store is unavailable, running processes continue to serve, and processes that start get their state from
// others.
func TestFleetServesDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 2, 2)
	flows := openFlows(t, f, 6, f.RouteThrough(0))
	f.Store().SetUnavailable(true)
	f.StopBalancer(1)
	is.NoErr(f.StartBalancer(1))
	awaitServing(t, f, 1)
	f.KillSidecar(0)
	is.NoErr(f.StartSidecar(0))
	for _, flow := range flows {
		_, err := flow.SendRequest("without the store", 2*requestTimeout)
		is.NoErr(err)
	}
	f.Store().SetUnavailable(false)
	f.Store().DropHistory()
	f.SetRules(3, "desk")
	openFlows(t, f, 5, f.RouteThrough(1))
}

// A sidecar that stops after the end of its upstream removes its own enrollment, its entry in the store. The enrollment of
// a sidecar that was killed is removed by the balancers.
func TestGoneSidecarsLoseEnrollment(t *testing.T) {
	f := startFleet(t, 2, 4)
	f.CrashUpstream(0)
	f.StopSidecar(0)
	await(t, "side-0 is not enrolled", func() bool { return len(f.Store().ObjectNames("sidecars")) == 3 })
	f.CrashUpstream(1)
	f.KillSidecar(1)
	await(t, "side-1 is not enrolled", func() bool { return len(f.Store().ObjectNames("sidecars")) == 2 })
}
