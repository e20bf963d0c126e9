package scenario

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/pkg/probe"
	"github.com/crocuslanding/crocuslanding/experiment/pkg/deployment"
)

// maxSilentFlowLifetime returns the time within which sidecars must end a flow whose packets are all lost: the keepalive
// timeout plus a tolerance of 1 s.
func maxSilentFlowLifetime() time.Duration {
	return probe.Timeout(deployment.KeepaliveIdle) + time.Second
}

// When the fabric drops all packets of open flows, the sidecars end these flows after their keepalive probes have got no
// response, and new flows are served.
func TestSilentFeedsAreEndedAtUpstream(t *testing.T) {
	is := is.New(t)
	desk := newRequestService(2)
	d := startDeployment(t, deployment.NewPlan(desk))
	feeds := openFeeds(t, d, desk, 8)
	awaitProgress(t, feeds)

	d.Fabric().DropOpenFlows()
	startedAt := time.Now()
	is.NoErr(deployment.Await(func() bool { return openFlowCount(d) == 0 }))
	t.Logf("all flows ended after %.1f s", time.Since(startedAt).Seconds())
	is.True(time.Since(startedAt) < maxSilentFlowLifetime())

	awaitProgress(t, openFeeds(t, d, desk, 8))
}

// openFlowCount returns the number of flows that all sidecars hold.
func openFlowCount(d *deployment.Deployment) int {
	count := 0
	for _, n := range d.Nodes() {
		count += n.FlowCount()
	}
	return count
}
