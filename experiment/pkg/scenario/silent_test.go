package scenario

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/pkg/probe"
	"github.com/crocuslanding/crocuslanding/experiment/pkg/deployment"
)

// maxSilence is the time after which a flow that went silent is ended: the probes of a keepalive and one more second.
func maxSilence() time.Duration {
	return probe.Timeout(deployment.Keepalive) + time.Second
}

func TestFeedThatWentSilentIsEndedAtTheUpstreamInTime(t *testing.T) {
	is := is.New(t)
	desk := newDesk(2)
	d := start(t, deployment.NewPlan(desk))
	feeds := openFeeds(t, d, desk, 8)
	awaitProgress(t, feeds)

	d.Fabric().DropOpenFlows()
	begin := time.Now()
	is.NoErr(deployment.Await(func() bool { return openFlows(d) == 0 }))
	t.Logf("all flows ended after %.1f s", time.Since(begin).Seconds())
	is.True(time.Since(begin) < maxSilence())

	awaitProgress(t, openFeeds(t, d, desk, 8))
}

// openFlows returns the number of flows that all sidecars hold.
func openFlows(d *deployment.Deployment) int {
	count := 0
	for _, n := range d.Nodes() {
		count += n.FlowCount()
	}
	return count
}
