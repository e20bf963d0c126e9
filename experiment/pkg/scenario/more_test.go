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

// newStreamService returns a service with this number of upstreams. Bytes are copied between callers and upstreams without
// interpretation.
func newStreamService(count int) deployment.Service {
	return deployment.NewService("wire", 1, count, landing.KindStream)
}

// When an upstream of a stream service announces that it leaves, its open feeds continue and new feeds go to other
// upstreams.
func TestStreamFeedsSurviveUpstreamLeave(t *testing.T) {
	is := is.New(t)
	wire := newStreamService(3)
	d := startDeployment(t, deployment.NewPlan(wire))
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

// When the only upstream of a stream service is killed, its feeds are reset, which callers see as an error, and a new feed
// is refused.
func TestStreamFeedsFailWhenUpstreamIsKilled(t *testing.T) {
	is := is.New(t)
	wire := newStreamService(1)
	d := startDeployment(t, deployment.NewPlan(wire))
	feeds := openFeeds(t, d, wire, 4)
	awaitProgress(t, feeds)
	d.Nodes()[0].Upstream().Kill()
	for _, f := range feeds {
		is.NoErr(deployment.Await(func() bool { return f.Err() != nil }))
	}
	_, err := traffic.OpenFeed(d.NewClient(0), wire.Address())
	is.True(err != nil)
}

// A chain is the order in which a flow is offered to sidecars. A flow continues also when its sidecar is no longer in the
// first part of the chain, which has chain.MaxHops sidecars. This comes about after 6 upstreams were added and 2 have
// announced that they leave.
func TestFlowsSurviveInLaterPartsOfChain(t *testing.T) {
	is := is.New(t)
	desk := newRequestService(chain.MaxHops + 4)
	d := startDeployment(t, deployment.NewPlan(desk))
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
	returnedPackets := int64(0)
	for _, n := range d.Nodes() {
		returnedPackets += n.Counters().Counter("returned").Count()
	}
	t.Logf("%d packets went back to a balancer for the next part of their chain", returnedPackets)
}

// A caller that uses one port for one flow after another is not delayed by state that is left of the earlier flow.
func TestPortReuseIsNotDelayed(t *testing.T) {
	is := is.New(t)
	const callCount = 60
	desk := newRequestService(3)
	d := startDeployment(t, deployment.NewPlan(desk))
	client := d.NewClientFromPort(0, 40000)
	longestLatency := time.Duration(0)
	for range callCount {
		failureReason, latency := pingWhenPortIsFree(client, desk.Address())
		is.Equal(failureReason, "")
		longestLatency = max(longestLatency, latency)
	}
	t.Logf("longest call %s", longestLatency)
	is.True(longestLatency < maxPortReuseLatency)
}

// pingWhenPortIsFree waits until the caller's own network stack releases its port, and then sends one request.
func pingWhenPortIsFree(client *http.Client, address string) (failureReason string, latency time.Duration) {
	err := deployment.Await(func() bool {
		startedAt := time.Now()
		ctx, cancel := traffic.ContextWithTimeout(10 * time.Second)
		defer cancel()
		_, failureReason = traffic.Ping(ctx, client, address)
		latency = time.Since(startedAt)
		return !strings.Contains(failureReason, "port is in use")
	})
	if err != nil {
		failureReason = err.Error()
	}
	return failureReason, latency
}

// maxPortReuseLatency allows for two retransmissions of the first packet of a flow, 1 s and 3 s after the first attempt.
const maxPortReuseLatency = 4 * time.Second

// Changes of the roster, the list of a region's upstreams and balancers, reach all 7 balancers, although only some of them
// watch the roster at the platform.
func TestRosterReachesBalancersWithoutPlatformWatch(t *testing.T) {
	is := is.New(t)
	desk := newRequestService(3)
	d := startDeployment(t, deployment.NewPlan(desk).WithBalancerCount(7))
	for i := range 4 {
		_, err := d.AddNode(desk, 10+i)
		is.NoErr(err)
		is.NoErr(d.AwaitReady())
	}
	d.KillNode(d.Nodes()[0])
	is.NoErr(d.AwaitReady())
}
