package relayed

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/platform/standin/store"
)

// returnWithOtherFault lets the store come back from the copy while the other fault acts. The operator repeats its lost changes
// after the rewriteDelay.
func returnWithOtherFault(f *Fleet, copied store.Copy, fault func()) {
	f.Store().SetUnavailable(true)
	fault()
	f.Store().Return(copied)
	f.Store().SetUnavailable(false)
	time.Sleep(rewriteDelay)
	f.Store().RepeatOperatorWrites()
}

// checkChangesComeIntoForce excludes a zone and then drops the route, and fails the test unless both are in force in time.
func checkChangesComeIntoForce(t *testing.T, f *Fleet, version int) {
	t.Helper()
	p := startProber(t, f)
	f.Store().Put("evacuations", "a", map[string]any{})
	ackedAt := time.Now()
	sleepUntil(ackedAt.Add(exclusionTimeLimit + time.Second))
	p.checkInForce(t, probe.isServedInZoneA, isServedElsewhere, ackedAt.Add(exclusionTimeLimit))
	f.SetRules(version, "none")
	time.Sleep(rulesTimeLimit)
	for i := range f.balancers {
		if canOpenFlow(f, i) {
			t.Errorf("balancer %d uses the old rules", i)
		}
	}
}

// Guards against lost flows that are not reset, enrollments that are missing and changes that are not in force, when all machines
// lose power while the store is away and comes back from an older copy.
func TestStoreComesBackDuringLossOfPower(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, 3, 2)
	copied := f.Store().Copy()
	is.NoErr(f.AddSidecar())
	flows := openFlowsAt(t, f, 2, f.RouteThrough(0))
	loseWrites(t, f)
	f.SetRulesWithRoutes(13, "desk", 1)
	returnWithOtherFault(f, copied, func() { losePower(t, f, f.StartUpstream) })
	for i := range f.balancers {
		await(t, "the balancer is ready", func() bool { return f.IsReady(i) })
	}
	time.Sleep(inTouchAfter)
	checkFlowsAreReset(t, flows)
	for i := range f.nodes {
		is.True(isEnrolled(f, i))
	}
	checkChangesComeIntoForce(t, f, 17)
}

// Guards against resets of open flows when all balancers and sidecars are killed while the store is away, and it comes back
// without the enrollment of a sidecar: no process knows that sidecar.
func TestStoreComesBackWhileAllProcessesStart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, 3, 2)
	s := &switchableRoute{fleet: f}
	copied := f.Store().Copy()
	is.NoErr(f.AddSidecar())
	flows := openFlowsAt(t, f, 2, s.route)
	loseWrites(t, f)
	f.SetRulesWithRoutes(13, "desk", 1)
	returnWithOtherFault(f, copied, func() {
		for i := range f.balancers {
			f.balancers[i].kill()
		}
		for i := range f.nodes {
			f.KillSidecar(i)
			is.NoErr(f.StartSidecar(i))
		}
		for i := range f.balancers {
			is.NoErr(f.StartBalancer(i))
		}
	})
	time.Sleep(inTouchAfter)
	is.True(isEnrolled(f, 2))
	for i := range f.balancers {
		s.balancer.Store(int32(i))
		checkFlowsContinue(t, flows, "after the return")
	}
	checkChangesComeIntoForce(t, f, 17)
}

// Guards against resets of open flows and changes that are not in force when a zone is cut off from the store and from all
// balancers while the store comes back without the enrollment of a sidecar in it.
func TestStoreComesBackDuringCutOfZone(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, isCut := startFleetWithZoneBehindPlatform(t, "side-0", "side-2", "side-4")
	copied := f.Store().Copy()
	for range 2 {
		is.NoErr(f.AddSidecar())
	}
	var proxies []*statusProxy
	for i := range f.balancers {
		all := startBehindProxies(t, f, i)
		proxies = append(proxies, all[0], all[2], all[4])
	}
	s := &switchableRoute{fleet: f}
	flows := openFlowsAt(t, f, 4, s.route)
	loseWrites(t, f)
	f.SetRulesWithRoutes(13, "desk", 1)
	cut := func(active bool) {
		isCut.Store(active)
		for _, p := range proxies {
			p.isCut.Store(active)
		}
	}
	returnWithOtherFault(f, copied, func() {
		cut(true)
		time.Sleep(storeAway)
	})
	time.Sleep(inTouchAfter) // longer than the silence after which balancers remove enrollments
	cut(false)
	time.Sleep(inTouchAfter)
	is.True(isEnrolled(f, 4))
	for i := range f.balancers {
		s.balancer.Store(int32(i))
		checkFlowsContinue(t, flows, "after the cut")
	}
	f.SetRules(17, "none")
	time.Sleep(rulesTimeLimit)
	for i := range f.balancers {
		if canOpenFlow(f, i) {
			t.Errorf("balancer %d uses the old rules", i)
		}
	}
}

// startFleetWithZoneBehindPlatform starts a deployment in which these instances reach the store at an address of their own,
// which responds to nothing while isCut is true.
func startFleetWithZoneBehindPlatform(t *testing.T, instances ...string) (f *Fleet, isCut *atomic.Bool) {
	is := is.New(t)
	f, err := NewFromConfig(Config{Balancers: 2})
	is.NoErr(err)
	isCut = &atomic.Bool{}
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isCut.Load() {
			panic(http.ErrAbortHandler)
		}
		f.Store().Handler().ServeHTTP(w, r)
	}))
	t.Cleanup(platform.Close)
	t.Cleanup(f.Stop)
	for _, instance := range instances {
		f.platforms[instance] = netip.MustParseAddrPort(platform.Listener.Addr().String())
	}
	for range 3 {
		is.NoErr(f.AddSidecar())
	}
	for i := range f.balancers {
		awaitAllUpstreamsReachable(t, f, i)
	}
	return f, isCut
}
