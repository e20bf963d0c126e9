package scenario

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/chain"
	"github.com/crocuslanding/crocuslanding/experiment/pkg/deployment"
	"github.com/crocuslanding/crocuslanding/experiment/pkg/traffic"
)

// newStream returns a stream service.
func newStream(count int) deployment.Service {
	return deployment.NewService("wire", 1, count, landing.KindStream)
}

func TestFeedsOfAStreamServiceSurviveAnUpstreamThatLeaves(t *testing.T) {
	is := is.New(t)
	wire := newStream(3)
	d := start(t, deployment.NewPlan(wire))
	feeds := openFeeds(t, d, wire, 18)
	awaitProgress(t, feeds)
	leaving := d.Nodes()[0]
	leaving.Upstream().AnnounceLeaving()
	is.NoErr(deployment.Await(func() bool { return !leaving.Snapshot().IsServing() }))
	for _, f := range openFeeds(t, d, wire, 18) {
		is.True(f.Instance() != leaving.Instance())
	}
	awaitProgress(t, feeds)
	for _, f := range feeds {
		is.NoErr(f.Err())
	}
}

func TestStreamWhoseUpstreamDiesIsResetAndNotEnded(t *testing.T) {
	is := is.New(t)
	wire := newStream(1)
	d := start(t, deployment.NewPlan(wire))
	feeds := openFeeds(t, d, wire, 4)
	awaitProgress(t, feeds)
	d.Nodes()[0].Upstream().Kill()
	for _, f := range feeds {
		is.NoErr(deployment.Await(func() bool { return f.Err() != nil }))
	}
	_, err := traffic.OpenFeed(d.Client(0), wire.Address())
	is.True(err != nil)
}

func TestFlowsAreFoundPastTheFirstPartOfTheChain(t *testing.T) {
	is := is.New(t)
	desk := newDesk(chain.MaxHops + 4)
	d := start(t, deployment.NewPlan(desk))
	feeds := openFeeds(t, d, desk, 48)
	awaitProgress(t, feeds)
	for i := range 6 {
		_, err := d.AddNode(desk, 20+i)
		is.NoErr(err)
	}
	is.NoErr(d.AwaitReady())
	for _, n := range d.Nodes()[:2] {
		n.Upstream().AnnounceLeaving()
	}
	awaitProgress(t, feeds)
	for _, f := range feeds {
		is.NoErr(f.Err())
	}
	returned := int64(0)
	for _, n := range d.Nodes() {
		returned += n.Counters().Counter("returned").Count()
	}
	t.Logf("%d packets went back to a balancer for the next part of their chain", returned)
}

func TestCallerThatUsesItsPortAgainIsNotKeptWaiting(t *testing.T) {
	is := is.New(t)
	const calls = 60
	desk := newDesk(3)
	d := start(t, deployment.NewPlan(desk))
	client := d.ClientFrom(0, 40000)
	longest := time.Duration(0)
	for range calls {
		reason, took := callWhenPortIsFree(client, desk.Address())
		is.Equal(reason, "")
		longest = max(longest, took)
	}
	t.Logf("longest call %s", longest)
	is.True(longest < maxPortWait)
}

// callWhenPortIsFree waits until the caller's own stack lets it have its port, and then sends one request.
func callWhenPortIsFree(client *http.Client, address string) (reason string, took time.Duration) {
	err := deployment.Await(func() bool {
		begin := time.Now()
		ctx, cancel := traffic.Timeout(10 * time.Second)
		defer cancel()
		_, reason = traffic.Ping(ctx, client, address)
		took = time.Since(begin)
		return !strings.Contains(reason, "port is in use")
	})
	if err != nil {
		reason = err.Error()
	}
	return reason, took
}

// maxPortWait allows for one first packet that is sent again after a second, and the next after two more.
const maxPortWait = 4 * time.Second

func TestRosterReachesBalancersThatDoNotWatchThePlatform(t *testing.T) {
	is := is.New(t)
	desk := newDesk(3)
	d := start(t, deployment.NewPlan(desk).WithBalancers(7))
	for i := range 4 {
		_, err := d.AddNode(desk, 10+i)
		is.NoErr(err)
		is.NoErr(d.AwaitReady())
	}
	d.KillNode(d.Nodes()[0])
	is.NoErr(d.AwaitReady())
}
