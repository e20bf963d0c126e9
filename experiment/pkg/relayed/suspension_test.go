package relayed

import (
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// Guards against the reset of open flows whose sidecar was stopped for some seconds. Balancers remove its enrollment
// after 2.5 s. When it runs again, subscriptions that waited in its socket must not count as a confirmation of the
// enrollment: without one a balancer that does not know the flows takes them for lost (deployment nosa-lb).
func TestSuspendedSidecarKeepsFlows(t *testing.T) {
	is := is.New(t)
	f, err := NewFromBinaries(buildPrograms(t), 2, 4)
	is.NoErr(err)
	t.Cleanup(f.Stop)
	for i := range 2 {
		awaitAllUpstreamsReachable(t, f, i)
	}
	s := &switchableRoute{fleet: f}
	flows := openFlows(t, f, 20, s.route)
	for i := range f.nodes {
		f.nodes[i].sidecar.signal(syscall.SIGSTOP)
		await(t, "the enrollment of the stopped sidecar is removed", func() bool { return len(f.Store().ObjectNames("sidecars")) < len(f.nodes) })
		f.nodes[i].sidecar.signal(syscall.SIGCONT)
		// A balancer without state asks all sidecars for each flow.
		f.StopBalancer(1)
		is.NoErr(f.StartBalancer(1))
		await(t, "the balancer is ready", func() bool { return f.IsReady(1) })
		s.balancer.Store(1)
		for _, flow := range flows {
			_, err := flow.SendRequest("again", stateTimeout)
			is.NoErr(err)
		}
		await(t, "the sidecar is enrolled again", func() bool { return len(f.Store().ObjectNames("sidecars")) == len(f.nodes) })
		s.balancer.Store(0)
	}
}
