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

func TestPlannedStopsUnderLoadCutNoRequestAndLeaveNothingBehind(t *testing.T) {
	is := is.New(t)
	before := goleak.IgnoreCurrent()
	desk := newDesk(4)
	d, err := deployment.New(deployment.NewPlan(desk), io.Discard)
	is.NoErr(err)
	load := startLoad(d, desk, 12)
	is.NoErr(deployment.Await(func() bool { return load.Len() > 100 }))

	d.RemoveNode(d.Nodes()[0])
	_, err = d.AddNode(desk, 10)
	is.NoErr(err)
	is.NoErr(d.AwaitReady())
	d.StopBalancer(d.Balancers()[0])
	_, err = d.AddBalancer(10)
	is.NoErr(err)
	is.NoErr(d.AwaitReady())
	seen := load.Len()
	is.NoErr(deployment.Await(func() bool { return load.Len() > seen+100 }))

	for _, s := range load.Stop() {
		is.Equal(s.Reason(), "")
	}
	d.Stop()
	goleak.VerifyNone(t, before)
}

func TestFeedEndsWholeOnAnUpstreamThatStops(t *testing.T) {
	is := is.New(t)
	desk := newDesk(1)
	d := start(t, deployment.NewPlan(desk))
	f, err := traffic.OpenFeed(d.Client(0), desk.Address())
	is.NoErr(err)
	stopped := make(chan struct{})
	go func() {
		d.RemoveNode(d.Nodes()[0])
		close(stopped)
	}()
	awaitProgress(t, []*traffic.Feed{f})
	is.NoErr(f.Err())
	f.Close()
	select {
	case <-stopped:
	case <-time.After(stopTime):
		t.Fatal("the sidecar did not stop after its last flow")
	}
}

const stopTime = 20 * time.Second
