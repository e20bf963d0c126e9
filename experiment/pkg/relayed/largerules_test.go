package relayed

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// largeRoutes is a number of routes with which a configuration almost fills an object of the users' store (1 MiB).
const largeRoutes = 6500

// Guards against a large configuration that the store has accepted and that is never in force, so that callers get no
// answer on the routes that it has added.
func TestLargeConfigurationIsInForceInTime(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 2, 2)
	f.SetRules(101, "none")
	await(t, "flows are refused", func() bool { return !canOpenFlow(f, 0) && !canOpenFlow(f, 1) })
	f.SetRulesWithRoutes(102, "desk", largeRoutes)
	time.Sleep(rulesTimeLimit)
	is.True(canOpenFlow(f, 0))
	is.True(canOpenFlow(f, 1))
}

// canOpenFlow reports whether a flow can be opened by way of this balancer.
func canOpenFlow(f *Fleet, balancer int) bool {
	flow, err := f.OpenFlow(f.RouteThrough(balancer), time.Second)
	if err != nil {
		return false
	}
	flow.Close()
	return true
}
