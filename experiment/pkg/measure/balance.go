package measure

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/experiment/pkg/deployment"
	"github.com/crocuslanding/crocuslanding/experiment/pkg/traffic"
)

const (
	balanceUpstreams = 8
	balanceSlots     = 4
	balanceWarm      = 4 * time.Second
	balanceTime      = 12 * time.Second
	balanceLoad      = 0.7
	balanceSeed      = 1
	// maxOpen is more than the requests of one run.
	maxOpen = 1 << 14
)

var balanceTimes = []time.Duration{
	40 * time.Millisecond,
	80 * time.Millisecond,
	120 * time.Millisecond,
	160 * time.Millisecond,
}

// picker returns the client and the address for one request.
type picker func() (*http.Client, string)

// Balance measures how evenly upstreams whose speeds differ 1:4 are used at 70% load, side by side with
// round robin and with a random hash that go straight to the upstreams.
func Balance(w io.Writer) error {
	desk := deployment.NewService("desk", 1, balanceUpstreams, landing.KindRequests).
		WithSlots(balanceSlots).
		WithTimes(balanceTimes...)
	d, err := deployment.New(deployment.NewPlan(desk), io.Discard)
	if err != nil {
		return err
	}
	defer d.Stop()
	t := newTable(w, "use of upstreams whose speeds differ 1:4, at 70% load")
	fmt.Fprintln(t, "WAY\tHIGHEST OVER MEAN UTILIZATION\tANSWERED\tREFUSED")
	for _, way := range []struct {
		name string
		pick picker
	}{
		{"crocuslanding", pickPath(d, desk)},
		{"round robin", pickRoundRobin(d)},
		{"random hash", pickRandom(d)},
	} {
		imbalance, answered, refused := runBalance(d, way.pick)
		fmt.Fprintf(t, "%s\t%.2f\t%d\t%d\n", way.name, imbalance, answered, refused)
	}
	return t.Flush()
}

func pickPath(d *deployment.Deployment, s deployment.Service) picker {
	client := d.Client(0)
	return func() (*http.Client, string) { return client, s.Address() }
}

func pickRoundRobin(d *deployment.Deployment) picker {
	var next atomic.Uint64
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	nodes := d.Nodes()
	return func() (*http.Client, string) {
		i := next.Add(1) % uint64(len(nodes))
		return client, nodes[i].Upstream().Address()
	}
}

func pickRandom(d *deployment.Deployment) picker {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	nodes := d.Nodes()
	return func() (*http.Client, string) {
		return client, nodes[rand.IntN(len(nodes))].Upstream().Address()
	}
}

// runBalance sends requests at the rate of the load, first to warm up and then to measure.
func runBalance(d *deployment.Deployment, pick picker) (imbalance float64, answered, refused int) {
	sendOpenLoop(balanceWarm, pick)
	counts := sendOpenLoop(balanceTime, pick)
	highest, sum := 0.0, 0.0
	for i, n := range d.Nodes() {
		answered += counts[n.Instance()]
		used := float64(counts[n.Instance()]) * balanceTimes[i%len(balanceTimes)].Seconds()
		highest = max(highest, used)
		sum += used
	}
	return highest * balanceUpstreams / sum, answered, counts[""]
}

// sendOpenLoop starts requests at random moments for d, whatever the answers do, and counts
// the answers of each instance; those that were not answered count under the empty name.
func sendOpenLoop(d time.Duration, pick picker) map[string]int {
	random := rand.New(rand.NewPCG(balanceSeed, balanceSeed))
	mean := time.Duration(float64(time.Second) / (balanceLoad * capacityOf()))
	answers := make(chan string, maxOpen)
	begin := time.Now()
	sent := 0
	for due := time.Duration(0); due < d; due += time.Duration(random.ExpFloat64() * float64(mean)) {
		<-time.After(time.Until(begin.Add(due)))
		client, address := pick()
		sent++
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			instance, _ := traffic.Ping(ctx, client, address)
			answers <- instance
		}()
	}
	counts := map[string]int{}
	for range sent {
		counts[<-answers]++
	}
	return counts
}

// capacityOf returns the requests a second that all upstreams serve together.
func capacityOf() float64 {
	sum := 0.0
	for i := range balanceUpstreams {
		sum += balanceSlots / balanceTimes[i%len(balanceTimes)].Seconds()
	}
	return sum
}
