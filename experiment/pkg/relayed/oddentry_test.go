package relayed

import (
	"strings"
	"testing"

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
