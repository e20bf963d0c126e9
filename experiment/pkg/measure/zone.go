package measure

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot/plotter"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/mark"
	"github.com/crocuslanding/crocuslanding/core/pkg/platform"
	"github.com/crocuslanding/crocuslanding/experiment/pkg/deployment"
	"github.com/crocuslanding/crocuslanding/experiment/pkg/traffic"
)

const (
	zoneUpstreams = 6
	zoneCallers   = 24
	zonePause     = 20 * time.Millisecond
	zoneLeaves    = 5 * time.Second
	zoneReturns   = 10 * time.Second
	zoneEnd       = 16 * time.Second
	maxLatencyUS  = 60_000_000
	latencyDigits = 3
)

// second is what happened to the requests that began in one second.
type second struct {
	answered  int
	refused   map[string]int
	latencies *hdr.Histogram
}

// Zone measures the service, second by second, while an availability zone is taken out and put back
// and its upstreams go through a cold start at their return.
func Zone(w io.Writer, folder string) error {
	desk := deployment.NewService("desk", 1, zoneUpstreams, landing.KindRequests).
		WithTimes(10*time.Millisecond, 20*time.Millisecond).
		WithCold(8, 3*time.Second)
	d, err := deployment.New(deployment.NewPlan(desk), io.Discard)
	if err != nil {
		return err
	}
	defer d.Stop()
	load := traffic.StartLoad(desk.Address(), zoneCallers, zonePause, func(i int) *http.Client { return d.Client(i % 2) })
	begin := time.Now()
	<-time.After(zoneLeaves)
	if err := spread(d, "khomas-b", true); err != nil {
		return err
	}
	<-time.After(time.Until(begin.Add(zoneReturns)))
	for _, n := range d.Nodes() {
		if n.Zone() == "khomas-b" {
			n.Upstream().RestartColdStart(1)
		}
	}
	if err := spread(d, "khomas-b", false); err != nil {
		return err
	}
	<-time.After(time.Until(begin.Add(zoneEnd)))
	seconds := bySecond(load.Stop())
	printZone(w, d, seconds)
	return plotZone(folder, seconds)
}

// spread writes the mark to the platform, from where the balancers take it.
func spread(d *deployment.Deployment, zone string, out bool) error {
	client := d.NewPlatformClient()
	defer client.Close()
	present := d.Balancers()[0].Snapshot().View().Marks()
	_, err := platform.MergeMarks(context.Background(), client, mark.SetZone(present, zone, out, "experiment"))
	return err
}

func bySecond(samples []traffic.Sample) []second {
	seconds := make([]second, int(zoneEnd/time.Second))
	for i := range seconds {
		seconds[i] = second{refused: map[string]int{}, latencies: hdr.New(1, maxLatencyUS, latencyDigits)}
	}
	for _, s := range samples {
		i := min(int(s.At()/time.Second), len(seconds)-1)
		if s.Reason() != "" {
			seconds[i].refused[s.Reason()]++
			continue
		}
		seconds[i].answered++
		_ = seconds[i].latencies.RecordValue(s.Took().Microseconds())
	}
	return seconds
}

func printZone(w io.Writer, d *deployment.Deployment, seconds []second) {
	t := newTable(w, fmt.Sprintf("service while a zone of three leaves at %s and returns cold at %s", zoneLeaves, zoneReturns))
	fmt.Fprintln(t, "SECOND\tANSWERED\tSHARE\tP50 ms\tP99 ms\tMAX ms\tREFUSED")
	for i, s := range seconds {
		refused := 0
		for _, n := range s.refused {
			refused += n
		}
		share := float64(s.answered) / float64(max(s.answered+refused, 1))
		fmt.Fprintf(t, "%d\t%d\t%.4f\t%.1f\t%.1f\t%.1f\t%v\n", i, s.answered, share,
			milliseconds(s.latencies.ValueAtQuantile(50)), milliseconds(s.latencies.ValueAtQuantile(99)), milliseconds(s.latencies.Max()), s.refused)
	}
	for _, n := range d.Nodes() {
		if n.Zone() == "khomas-b" {
			fmt.Fprintf(t, "overshoot at %s: %d\n", n.Instance(), n.Upstream().MaxExcessRequests())
		}
	}
	_ = t.Flush()
}

func plotZone(folder string, seconds []second) error {
	var answered, tail plotter.XYs
	for i, s := range seconds {
		answered = append(answered, plotter.XY{X: float64(i), Y: float64(s.answered)})
		tail = append(tail, plotter.XY{X: float64(i), Y: milliseconds(s.latencies.ValueAtQuantile(99))})
	}
	return writePlot(folder, "zone.svg", "Service while an availability zone leaves and returns", "second", "", []series{
		{"answered a second", answered},
		{"99th percentile, ms", tail},
	})
}

func milliseconds(us int64) float64 {
	return float64(us) / 1000
}
