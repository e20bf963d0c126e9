package scenario

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/crocuslanding/crocuslanding/experiment/pkg/deployment"
	"github.com/crocuslanding/crocuslanding/experiment/pkg/traffic"
)

// Planned stops of an upstream and a balancer under load fail no request, and no goroutine is left after the deployment has
// stopped.
func TestPlannedStopsFailNoRequest(t *testing.T) {
	is := is.New(t)
	ignoreExisting := goleak.IgnoreCurrent()
	desk := newRequestService(4)
	d, err := deployment.New(deployment.NewPlan(desk), io.Discard)
	is.NoErr(err)
	load := startLoad(d, desk, 12)
	is.NoErr(deployment.Await(func() bool { return load.CompletedCount() > 100 }))

	d.StopNode(d.Nodes()[0])
	_, err = d.AddNode(desk, 10)
	is.NoErr(err)
	is.NoErr(d.AwaitReady())
	d.StopBalancer(d.Balancers()[0])
	_, err = d.AddBalancer(10)
	is.NoErr(err)
	is.NoErr(d.AwaitReady())
	completedBefore := load.CompletedCount()
	is.NoErr(deployment.Await(func() bool { return load.CompletedCount() > completedBefore+100 }))

	for _, s := range load.Stop() {
		is.Equal(s.FailureReason(), "")
	}
	d.Stop()
	goleak.VerifyNone(t, ignoreExisting)
}

// A planned stop of an upstream lets an open feed continue, and ends once the feed is closed.
func TestUpstreamStopWaitsForOpenFeed(t *testing.T) {
	is := is.New(t)
	desk := newRequestService(1)
	d := startDeployment(t, deployment.NewPlan(desk))
	f, err := traffic.OpenFeed(d.NewClient(0), desk.Address())
	is.NoErr(err)
	stopped := make(chan struct{})
	go func() {
		d.StopNode(d.Nodes()[0])
		close(stopped)
	}()
	awaitProgress(t, []*traffic.Feed{f})
	is.NoErr(f.Err())
	f.Close()
	select {
	case <-stopped:
	case <-time.After(stopTimeout):
		t.Fatal("the sidecar did not stop after its last flow ended")
	}
}

const stopTimeout = 20 * time.Second
