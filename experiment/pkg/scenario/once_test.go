package scenario

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/experiment/pkg/deployment"
	"github.com/crocuslanding/crocuslanding/experiment/pkg/traffic"
	"github.com/crocuslanding/crocuslanding/standin/pkg/upstream"
)

var (
	firstSeed    = flag.Uint64("seed", 1, "seed of the first history")
	historyCount = flag.Uint64("runs", 1, "number of histories")
)

const (
	callerCount            = 16
	confirmationsPerCaller = 60
	// usualCallTimeout is longer than the response timeout of the sidecars in this test.
	usualCallTimeout = 400 * time.Millisecond
	// earlyCancelTimeout is the timeout of the calls that callers give up early. It is shorter than the service time of
	// the upstreams.
	earlyCancelTimeout = 3 * time.Millisecond
)

// No confirmation runs twice, although callers cancel calls, an upstream and its sidecar are killed and others are started,
// and a balancer stops without notice.
func TestConfirmationsRunAtMostOnce(t *testing.T) {
	for s := *firstSeed; s < *firstSeed+*historyCount; s++ {
		t.Run(fmt.Sprintf("seed=%d", s), func(t *testing.T) { runHistory(t, s) })
	}
}

// runHistory runs concurrent callers while an upstream and its sidecar are killed, others are started, and a balancer
// stops. It then checks the recorded history.
func runHistory(t *testing.T, seed uint64) {
	t.Helper()
	is := is.New(t)
	desk := newRequestService(4).WithSlots(4).WithColdStart(1, time.Second)
	d := startDeployment(t, deployment.NewPlan(desk).WithFabricSeed(seed).WithResponseTimeout(200*time.Millisecond))
	upstreams := upstreamsOf(d)
	h := traffic.NewHistory()

	var callers sync.WaitGroup
	for i := range callerCount {
		callers.Go(func() { sendConfirmations(d, desk, h, i, seed) })
	}
	killed := d.Nodes()[seed%4]
	d.KillNode(killed)
	added, err := d.AddNode(desk, 20)
	is.NoErr(err)
	upstreams = append(upstreams, added.Upstream())
	d.FailBalancer(d.Balancers()[0])
	callers.Wait()

	addRunCounts(h, upstreams)
	t.Logf("seed %d: run %d, refused as not run %d, unknown %d", seed, h.Count(traffic.ResultConfirmed), h.Count(traffic.ResultNotRun), h.Count(traffic.ResultUnknown))
	is.True(h.Count(traffic.ResultConfirmed) > 0)
	is.True(h.IsAtMostOnce())
}

// upstreamsOf returns the stand-in upstreams of the running nodes.
func upstreamsOf(d *deployment.Deployment) []*upstream.Server {
	var list []*upstream.Server
	for _, n := range d.Nodes() {
		list = append(list, n.Upstream())
	}
	return list
}

// sendConfirmations sends confirmations one after another and records their results. Every fifth on average is canceled
// after earlyCancelTimeout.
func sendConfirmations(d *deployment.Deployment, s deployment.Service, h *traffic.History, caller int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(caller)))
	client := d.NewClient(caller % 2)
	for i := range confirmationsPerCaller {
		timeout := usualCallTimeout
		if random.IntN(5) == 0 {
			timeout = earlyCancelTimeout
		}
		ctx, cancel := traffic.ContextWithTimeout(timeout)
		id := fmt.Sprintf("c%d-%d", caller, i)
		startNanos := h.ElapsedNanos()
		result, _ := traffic.Confirm(ctx, client, s.Address(), id)
		h.AddConfirmation(caller, startNanos, id, result)
		cancel()
	}
}

// addRunCounts records how often each confirmation ran at all upstreams together, including those that were killed.
func addRunCounts(h *traffic.History, upstreams []*upstream.Server) {
	runCounts := map[string]int{}
	for _, u := range upstreams {
		for id, n := range u.ConfirmationRuns() {
			runCounts[id] += n
		}
	}
	for caller := range callerCount {
		for i := range confirmationsPerCaller {
			id := fmt.Sprintf("c%d-%d", caller, i)
			h.AddRunCount(caller, h.ElapsedNanos(), id, runCounts[id])
		}
	}
}
