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
	// maxOvershoot is one: the limit grows by single requests, and the upstream sheds the one too many.
	maxOvershoot = 1
	// coldCallers are more than all slots together, so that demand fills every upstream however slow the machine is.
	coldCallers = 80
	coldService = 20 * time.Millisecond
)

func startLoad(d *deployment.Deployment, s deployment.Service, callers int) *traffic.Load {
	return traffic.StartLoad(s.Address(), callers, time.Millisecond, func(i int) *http.Client {
		return d.Client(i % 2)
	})
}

func TestColdUpstreamUnderLoadGetsNoMoreThanItBears(t *testing.T) {
	is := is.New(t)
	desk := newDesk(3).WithTimes(coldService)
	d := start(t, deployment.NewPlan(desk))
	load := startLoad(d, desk, coldCallers)
	defer load.Stop()

	cold, err := d.AddNode(desk.WithCold(1, 2*time.Second), 10)
	is.NoErr(err)
	begin := time.Now()
	is.NoErr(deployment.Await(func() bool { return admission.IsWarm(cold.AdmissionState()) }))

	t.Logf("overshoot %d, full after %.1f s, sheds %d", cold.Upstream().MaxExcessRequests(), time.Since(begin).Seconds(), cold.AdmissionState().DecreaseCount())
	is.True(cold.Upstream().MaxExcessRequests() <= maxOvershoot)
}

func TestSilentFallBackIntoColdStartIsHeldByEverySender(t *testing.T) {
	is := is.New(t)
	desk := newDesk(3).WithTimes(coldService).WithCold(8, 2*time.Second)
	d := start(t, deployment.NewPlan(desk))
	load := startLoad(d, desk, coldCallers)
	defer load.Stop()
	n := d.Nodes()[0]
	is.NoErr(deployment.Await(func() bool { return admission.IsWarm(n.AdmissionState()) }))

	before := n.AdmissionState().DecreaseCount()
	n.Upstream().RestartColdStart(1)
	is.NoErr(deployment.Await(func() bool { return n.AdmissionState().DecreaseCount() > before }))
	is.True(n.AdmissionState().ConcurrencyLimit() < desk.Slots())
	is.NoErr(deployment.Await(func() bool { return admission.IsWarm(n.AdmissionState()) }))
}
