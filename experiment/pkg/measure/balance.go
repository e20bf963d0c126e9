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
	balanceUpstreams   = 8
	balanceSlots       = 4
	balanceWarmUp      = 4 * time.Second
	balanceDuration    = 12 * time.Second
	balanceUtilization = 0.7
	balanceSeed        = 1
	// maxOpen is more than the requests of one run.
	maxRequestsPerRun = 1 << 14
)

var balanceServiceTimes = []time.Duration{
	40 * time.Millisecond,
	80 * time.Millisecond,
	120 * time.Millisecond,
	160 * time.Millisecond,
}

// picker returns the client and the address for one request.
type requestPicker func() (*http.Client, string)

// Balance measures how evenly upstreams whose speeds differ 1:4 are used at 70% load, side by side with
// round robin and with a random hash that go straight to the upstreams.
func Balance(w io.Writer) error {
	desk := deployment.NewService("desk", 1, balanceUpstreams, landing.KindRequests).
		WithSlots(balanceSlots).
		WithServiceTimes(balanceServiceTimes...)
	d, err := deployment.New(deployment.NewPlan(desk), io.Discard)
	if err != nil {
		return err
	}
	defer d.Stop()
	t := newTable(w, "use of upstreams whose speeds differ 1:4, at 70% load")
	fmt.Fprintln(t, "WAY\tHIGHEST OVER MEAN UTILIZATION\tANSWERED\tREFUSED")
	for _, method := range []struct {
		name string
		pick requestPicker
	}{
		{"crocuslanding", pickThroughBalancers(d, desk)},
		{"round robin", pickRoundRobin(d)},
		{"random hash", pickRandom(d)},
	} {
		imbalance, answered, refused := runBalance(d, method.pick)
		fmt.Fprintf(t, "%s\t%.2f\t%d\t%d\n", method.name, imbalance, answered, refused)
	}
	return t.Flush()
}

func pickThroughBalancers(d *deployment.Deployment, s deployment.Service) requestPicker {
	client := d.NewClient(0)
	return func() (*http.Client, string) { return client, s.Address() }
}

func pickRoundRobin(d *deployment.Deployment) requestPicker {
	var next atomic.Uint64
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	nodes := d.Nodes()
	return func() (*http.Client, string) {
		i := next.Add(1) % uint64(len(nodes))
		return client, nodes[i].Upstream().Address()
	}
}

func pickRandom(d *deployment.Deployment) requestPicker {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	nodes := d.Nodes()
	return func() (*http.Client, string) {
		return client, nodes[rand.IntN(len(nodes))].Upstream().Address()
	}
}

// runBalance sends requests at the rate of the load, first to warm up and then to measure.
func runBalance(d *deployment.Deployment, pick requestPicker) (imbalance float64, answered, refused int) {
	sendOpenLoop(balanceWarmUp, pick)
	counts := sendOpenLoop(balanceDuration, pick)
	highestBusySeconds, totalBusySeconds := 0.0, 0.0
	for i, n := range d.Nodes() {
		answered += counts[n.Instance()]
		busySeconds := float64(counts[n.Instance()]) * balanceServiceTimes[i%len(balanceServiceTimes)].Seconds()
		highestBusySeconds = max(highestBusySeconds, busySeconds)
		totalBusySeconds += busySeconds
	}
	return highestBusySeconds * balanceUpstreams / totalBusySeconds, answered, counts[""]
}

// sendOpenLoop starts requests at random moments for d, whatever the answers do, and counts
// the answers of each instance; those that were not answered count under the empty name.
func sendOpenLoop(duration time.Duration, pick requestPicker) map[string]int {
	arrivals := rand.New(rand.NewPCG(balanceSeed, balanceSeed))
	meanInterval := time.Duration(float64(time.Second) / (balanceUtilization * totalCapacity()))
	answers := make(chan string, maxRequestsPerRun)
	startedAt := time.Now()
	sentCount := 0
	for sendOffset := time.Duration(0); sendOffset < duration; sendOffset += time.Duration(arrivals.ExpFloat64() * float64(meanInterval)) {
		<-time.After(time.Until(startedAt.Add(sendOffset)))
		client, address := pick()
		sentCount++
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			instance, _ := traffic.Ping(ctx, client, address)
			answers <- instance
		}()
	}
	counts := map[string]int{}
	for range sentCount {
		counts[<-answers]++
	}
	return counts
}

// capacityOf returns the requests a second that all upstreams serve together.
func totalCapacity() float64 {
	requestsPerSecond := 0.0
	for i := range balanceUpstreams {
		requestsPerSecond += balanceSlots / balanceServiceTimes[i%len(balanceServiceTimes)].Seconds()
	}
	return requestsPerSecond
}
