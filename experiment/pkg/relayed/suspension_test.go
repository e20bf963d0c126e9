package relayed

import (
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against the reset of open flows whose sidecar was suspended for some seconds (seen on the deployment nosa-lb).
// Balancers remove its enrollment after 2.5 s. When the sidecar runs again, subscriptions that waited in its socket must
// not confirm the enrollment: if it relied on a removed one, balancers that do not know its flows would reset them.
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

// Guards against requests that are processed twice, callers without an answer or a refusal, and slots that stay reserved
// when a sidecar is suspended for 1.2 s while SYNs wait at it. The time is longer than the 1 s after which a request without
// a response counts as failed. Responses had waited in the sidecar's socket, so that it ejected its healthy upstream or
// measured latencies that were too long.
func TestSidecarSuspensionWhileFlowsWait(t *testing.T) {
	const slots = 4
	f := startFleetWith(t, Config{BinaryFolder: buildPrograms(t), Balancers: 1, Sidecars: 3, Slots: slots, ServiceTime: 60 * time.Millisecond, RequestTimeout: requestTimeout})
	c := &callers{fleet: f, timeout: requestTimeout}
	before := []int{waitingFlows(t, f, f.nodes[0].instance)}
	c.start(60, through(f, 0))
	awaitWaitingFlows(t, f, before)
	f.nodes[0].sidecar.signal(syscall.SIGSTOP)
	time.Sleep(1200 * time.Millisecond) // the suspension itself
	f.nodes[0].sidecar.signal(syscall.SIGCONT)
	checkEnded(t, f, c.wait())
	awaitAllUpstreamsReachable(t, f, 0)
	for i := range f.nodes {
		f.Upstream(i).ResetPeak()
	}
	c = &callers{fleet: f, timeout: requestTimeout, started: c.started}
	c.start(60, through(f, 0))
	for _, r := range c.wait() {
		if !r.isAnswered {
			t.Errorf("%s of the burst after the suspension was not answered: %d refusals, error %v", r.request, len(r.refusals), r.err)
		}
	}
	for i := range f.nodes {
		if peak := f.Upstream(i).PeakRequests(); peak != slots {
			t.Errorf("at most %d of %d slots of upstream %d were used at the same time", peak, slots, i)
		}
	}
}
