package relayed

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an odd entry of another writer among the sidecars, after which balancers no longer follow the list, or
// cannot start.
func TestOddEntryAmongSidecarsHidesNoUpstream(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 2, 2)
	// Package encoding/json refuses more than 10,000 levels.
	f.Store().PutRaw("sidecars", "odd", []byte(strings.Repeat("[", 20_000)+strings.Repeat("]", 20_000)))
	f.StopBalancer(1)
	is.NoErr(f.StartBalancer(1))
	awaitAllUpstreamsReachable(t, f, 1)
	f.CrashUpstream(1)
	f.StopSidecar(1)
	is.NoErr(f.StartSidecar(1))
	is.NoErr(f.StartUpstream(1))
	awaitAllUpstreamsReachable(t, f, 0)
	awaitAllUpstreamsReachable(t, f, 1)
}

// Guards against resets of the open flows of a sidecar whose entry another writer has overwritten with one that cannot be
// read, when a balancer is restarted after that (review/8), and against upstreams that it does not reach.
func TestOpenFlowsOfOddEntrySurviveBalancerRestart(t *testing.T) {
	t.Parallel()
	for name, delay := range map[string]time.Duration{"at once": 0, "when in touch": inTouchAfter} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, 2, 3)
			s := &switchableRoute{fleet: f}
			flows := openFlowsAt(t, f, 0, s.route)
			f.Store().Put("sidecars", f.nodes[0].instance, map[string]any{"service": 7, "zone": "a"})
			time.Sleep(delay)
			restartBalancer(t, f, 1)
			s.balancer.Store(1)
			checkFlowsContinue(t, flows, "through the restarted balancer")
			awaitAllUpstreamsReachable(t, f, 1)
		})
	}
}
