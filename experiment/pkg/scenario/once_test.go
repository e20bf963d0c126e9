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
	seed = flag.Uint64("seed", 1, "seed of the first history")
	runs = flag.Uint64("runs", 1, "number of histories")
)

const (
	callerCount      = 16
	callsPerCaller   = 60
	longestPatience  = 400 * time.Millisecond
	shortestPatience = 3 * time.Millisecond
)

func TestConfirmationsRunAtMostOnceUnderKillsAndCancels(t *testing.T) {
	for s := *seed; s < *seed+*runs; s++ {
		t.Run(fmt.Sprintf("seed=%d", s), func(t *testing.T) { runHistory(t, s) })
	}
}

func runHistory(t *testing.T, seed uint64) {
	t.Helper()
	is := is.New(t)
	desk := newDesk(4).WithSlots(4).WithCold(1, time.Second)
	d := start(t, deployment.NewPlan(desk).WithSeed(seed).WithDeadline(200*time.Millisecond))
	upstreams := upstreamsOf(d)
	h := traffic.NewHistory()

	var callers sync.WaitGroup
	for i := range callerCount {
		callers.Go(func() { callerRun(d, desk, h, i, seed) })
	}
	killed := d.Nodes()[seed%4]
	d.KillNode(killed)
	added, err := d.AddNode(desk, 20)
	is.NoErr(err)
	upstreams = append(upstreams, added.Upstream())
	d.RemoveBalancer(d.Balancers()[0])
	callers.Wait()

	readRuns(h, upstreams)
	t.Logf("seed %d: run %d, refused as not run %d, unknown %d", seed, h.Count(traffic.ResultRun), h.Count(traffic.ResultNotRun), h.Count(traffic.ResultUnknown))
	is.True(h.Count(traffic.ResultRun) > 0)
	is.True(h.IsAtMostOnce())
}

func upstreamsOf(d *deployment.Deployment) []*upstream.Server {
	var list []*upstream.Server
	for _, n := range d.Nodes() {
		list = append(list, n.Upstream())
	}
	return list
}

// callerRun sends confirmations one after another; some are given up early.
func callerRun(d *deployment.Deployment, s deployment.Service, h *traffic.History, caller int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(caller)))
	client := d.Client(caller % 2)
	for i := range callsPerCaller {
		patience := longestPatience
		if random.IntN(5) == 0 {
			patience = shortestPatience
		}
		ctx, cancel := traffic.Timeout(patience)
		id := fmt.Sprintf("c%d-%d", caller, i)
		begin := h.Begin()
		result, _ := traffic.Confirm(ctx, client, s.Address(), id)
		h.AddConfirm(caller, begin, id, result)
		cancel()
	}
}

// readRuns reads how often each confirmation ran, over all upstreams that there ever were.
func readRuns(h *traffic.History, upstreams []*upstream.Server) {
	total := map[string]int{}
	for _, u := range upstreams {
		for id, n := range u.ConfirmationRuns() {
			total[id] += n
		}
	}
	for caller := range callerCount {
		for i := range callsPerCaller {
			id := fmt.Sprintf("c%d-%d", caller, i)
			h.AddRead(caller, h.Begin(), id, total[id])
		}
	}
}
