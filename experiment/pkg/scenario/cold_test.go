package scenario

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/pkg/admission"
	"github.com/crocuslanding/crocuslanding/experiment/pkg/deployment"
	"github.com/crocuslanding/crocuslanding/experiment/pkg/traffic"
)

const (
	// maxExcessRequests is 1 because the concurrency limit grows by one request at a time, and the upstream refuses the
	// first request above its capacity.
	maxExcessRequests = 1
	// coldCallerCount exceeds the slots of all upstreams together, so that there is demand for every slot also on a slow
	// machine.
	coldCallerCount = 80
	// coldServiceTime is the processing time of a request.
	coldServiceTime = 20 * time.Millisecond
)

// startLoad starts a load with this number of callers, which belong to two customers in turn and pause for 1 ms between
// two requests.
func startLoad(d *deployment.Deployment, s deployment.Service, callers int) *traffic.Load {
	return traffic.StartLoad(s.Address(), callers, time.Millisecond, func(i int) *http.Client {
		return d.NewClient(i % 2)
	})
}

// An upstream in a cold start, the time after its start in which it can process few requests at once, gets at most one
// request more than it can process, although there are enough requests for all upstreams.
func TestColdUpstreamIsNotOverloaded(t *testing.T) {
	is := is.New(t)
	desk := newRequestService(3).WithServiceTimes(coldServiceTime)
	d := startDeployment(t, deployment.NewPlan(desk))
	load := startLoad(d, desk, coldCallerCount)
	defer load.Stop()

	cold, err := d.AddNode(desk.WithColdStart(1, 2*time.Second), 10) // starts with one request at a time
	is.NoErr(err)
	startedAt := time.Now()
	is.NoErr(deployment.Await(func() bool { return admission.IsWarm(cold.AdmissionState()) }))

	t.Logf("overshoot %d, warm after %.1f s, limit lowered %d times", cold.Upstream().MaxExcessRequests(), time.Since(startedAt).Seconds(), cold.AdmissionState().DecreaseCount())
	is.True(cold.Upstream().MaxExcessRequests() <= maxExcessRequests)
}

// When a warm upstream begins a new cold start without announcing it, its sidecar lowers the concurrency limit, and raises
// it to all slots again after the cold start.
func TestUnannouncedColdStartLowersConcurrencyLimit(t *testing.T) {
	is := is.New(t)
	desk := newRequestService(3).WithServiceTimes(coldServiceTime).WithColdStart(8, 2*time.Second)
	d := startDeployment(t, deployment.NewPlan(desk))
	load := startLoad(d, desk, coldCallerCount)
	defer load.Stop()
	n := d.Nodes()[0]
	is.NoErr(deployment.Await(func() bool { return admission.IsWarm(n.AdmissionState()) }))

	decreasesBefore := n.AdmissionState().DecreaseCount()
	n.Upstream().RestartColdStart(1) // starts with one request at a time
	is.NoErr(deployment.Await(func() bool { return n.AdmissionState().DecreaseCount() > decreasesBefore }))
	is.True(n.AdmissionState().ConcurrencyLimit() < desk.Slots())
	is.NoErr(deployment.Await(func() bool { return admission.IsWarm(n.AdmissionState()) }))
}
