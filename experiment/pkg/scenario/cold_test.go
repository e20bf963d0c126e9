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
	coldCallerCount = 80
	coldServiceTime = 20 * time.Millisecond
)

func startLoad(d *deployment.Deployment, s deployment.Service, callers int) *traffic.Load {
	return traffic.StartLoad(s.Address(), callers, time.Millisecond, func(i int) *http.Client {
		return d.NewClient(i % 2)
	})
}

func TestColdUpstreamIsNotOverloaded(t *testing.T) {
	is := is.New(t)
	desk := newDesk(3).WithServiceTimes(coldServiceTime)
	d := startDeployment(t, deployment.NewPlan(desk))
	load := startLoad(d, desk, coldCallerCount)
	defer load.Stop()

	cold, err := d.AddNode(desk.WithColdStart(1, 2*time.Second), 10)
	is.NoErr(err)
	startedAt := time.Now()
	is.NoErr(deployment.Await(func() bool { return admission.IsWarm(cold.AdmissionState()) }))

	t.Logf("overshoot %d, full after %.1f s, sheds %d", cold.Upstream().Overshoot(), time.Since(startedAt).Seconds(), cold.AdmissionState().DecreaseCount())
	is.True(cold.Upstream().Overshoot() <= maxOvershoot)
}

func TestUnannouncedColdStartLowersConcurrencyLimit(t *testing.T) {
	is := is.New(t)
	desk := newDesk(3).WithServiceTimes(coldServiceTime).WithColdStart(8, 2*time.Second)
	d := startDeployment(t, deployment.NewPlan(desk))
	load := startLoad(d, desk, coldCallerCount)
	defer load.Stop()
	n := d.Nodes()[0]
	is.NoErr(deployment.Await(func() bool { return admission.IsWarm(n.AdmissionState()) }))

	decreasesBefore := n.AdmissionState().DecreaseCount()
	n.Upstream().FallBack(1)
	is.NoErr(deployment.Await(func() bool { return n.AdmissionState().DecreaseCount() > decreasesBefore }))
	is.True(n.AdmissionState().ConcurrencyLimit() < desk.Slots())
	is.NoErr(deployment.Await(func() bool { return admission.IsWarm(n.AdmissionState()) }))
}
