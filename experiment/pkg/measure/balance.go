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
	// maxRequestsPerRun is the capacity of the channel of results. It exceeds the number of requests of a run, so that
	// no sender blocks.
	maxRequestsPerRun = 1 << 14
)

var balanceServiceTimes = []time.Duration{
	40 * time.Millisecond,
	80 * time.Millisecond,
	120 * time.Millisecond,
	160 * time.Millisecond,
}

// requestPicker picks the HTTP client and the address for the next request.
type requestPicker func() (*http.Client, string)

// Balance measures how evenly load is distributed over upstreams whose speeds differ by up to a factor of 4, at 70% of
// their total capacity. It compares the balancers with round robin and random choice, both without balancers in between.
// The column REFUSED counts all requests that failed.
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

// pickThroughBalancers returns a picker for requests to the service through the fabric, balancers and sidecars.
func pickThroughBalancers(d *deployment.Deployment, s deployment.Service) requestPicker {
	client := d.NewClient(0)
	return func() (*http.Client, string) { return client, s.Address() }
}

// pickRoundRobin returns a picker for requests directly to the upstreams, in turn.
func pickRoundRobin(d *deployment.Deployment) requestPicker {
	var next atomic.Uint64
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	nodes := d.Nodes()
	return func() (*http.Client, string) {
		i := next.Add(1) % uint64(len(nodes))
		return client, nodes[i].Upstream().Address()
	}
}

// pickRandom returns a picker for requests directly to upstreams chosen at random.
func pickRandom(d *deployment.Deployment) requestPicker {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	nodes := d.Nodes()
	return func() (*http.Client, string) {
		return client, nodes[rand.IntN(len(nodes))].Upstream().Address()
	}
}

// runBalance sends requests to warm up and then to measure. It returns the ratio of the highest busy time of an upstream to
// the mean, and the numbers of answered and failed requests. The busy time of an upstream is the number of requests that
// it answered, multiplied by its service time. As all upstreams have the same number of slots, the ratio is also that of
// their utilizations.
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

// sendOpenLoop sends requests for this duration as a Poisson process whose rate is balanceUtilization of the total
// capacity. It does not wait for the response before it sends the next request. It returns the number of answered requests
// by instance name, and the number of failed requests under the empty name.
func sendOpenLoop(duration time.Duration, pick requestPicker) map[string]int {
	random := rand.New(rand.NewPCG(balanceSeed, balanceSeed))
	meanInterval := time.Duration(float64(time.Second) / (balanceUtilization * totalCapacity()))
	answers := make(chan string, maxRequestsPerRun)
	startedAt := time.Now()
	sentCount := 0
	for sendOffset := time.Duration(0); sendOffset < duration; sendOffset += time.Duration(random.ExpFloat64() * float64(meanInterval)) {
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

// totalCapacity returns the number of requests that all upstreams together can process per second.
func totalCapacity() float64 {
	requestsPerSecond := 0.0
	for i := range balanceUpstreams {
		requestsPerSecond += balanceSlots / balanceServiceTimes[i%len(balanceServiceTimes)].Seconds()
	}
	return requestsPerSecond
}
