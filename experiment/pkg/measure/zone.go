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
	// zonePause is the pause between two requests of a caller.
	zonePause = 20 * time.Millisecond
	// zoneExcludedAt, zoneReadmittedAt and zoneLoadDuration are times since the start of the load.
	zoneExcludedAt           = 5 * time.Second
	zoneReadmittedAt         = 10 * time.Second
	zoneLoadDuration         = 16 * time.Second
	maxLatencyMicros         = 60_000_000
	latencySignificantDigits = 3
)

// secondStats summarizes the requests that began in one second. refused is the number of failed requests by reason.
type secondStats struct {
	answered  int
	refused   map[string]int
	latencies *hdr.Histogram
}

// Zone measures answered requests and latency per second while an availability zone is excluded and readmitted. The
// upstreams of the zone begin a cold start just before the zone is readmitted.
func Zone(w io.Writer, folder string) error {
	desk := deployment.NewService("desk", 1, zoneUpstreams, landing.KindRequests).
		WithServiceTimes(10*time.Millisecond, 20*time.Millisecond).
		WithColdStart(8, 3*time.Second)
	d, err := deployment.New(deployment.NewPlan(desk), io.Discard)
	if err != nil {
		return err
	}
	defer d.Stop()
	load := traffic.StartLoad(desk.Address(), zoneCallers, zonePause, func(i int) *http.Client { return d.NewClient(i % 2) })
	startedAt := time.Now()
	<-time.After(zoneExcludedAt)
	if err := setZoneExcluded(d, "khomas-b", true); err != nil {
		return err
	}
	<-time.After(time.Until(startedAt.Add(zoneReadmittedAt)))
	for _, n := range d.Nodes() {
		if n.Zone() == "khomas-b" {
			n.Upstream().RestartColdStart(1) // starts with one request at a time
		}
	}
	if err := setZoneExcluded(d, "khomas-b", false); err != nil {
		return err
	}
	<-time.After(time.Until(startedAt.Add(zoneLoadDuration)))
	seconds := bySecond(load.Stop())
	printZone(w, d, seconds)
	return plotZone(folder, seconds)
}

// setZoneExcluded excludes or readmits a zone. It writes the exclusion marks, the records of what is excluded, to the
// platform, from which the balancers read them.
func setZoneExcluded(d *deployment.Deployment, zone string, isExcluded bool) error {
	client := d.NewPlatformClient()
	currentMarks := d.Balancers()[0].Snapshot().View().Marks()
	_, err := platform.MergeMarks(context.Background(), client, mark.SetZone(currentMarks, zone, isExcluded, "experiment"))
	return err
}

// bySecond groups the samples by the second in which the request began. Requests that began after zoneLoadDuration are
// counted in the last second.
func bySecond(samples []traffic.Sample) []secondStats {
	seconds := make([]secondStats, int(zoneLoadDuration/time.Second))
	for i := range seconds {
		seconds[i] = secondStats{refused: map[string]int{}, latencies: hdr.New(1, maxLatencyMicros, latencySignificantDigits)}
	}
	for _, s := range samples {
		i := min(int(s.StartOffset()/time.Second), len(seconds)-1)
		if s.FailureReason() != "" {
			seconds[i].refused[s.FailureReason()]++
			continue
		}
		seconds[i].answered++
		_ = seconds[i].latencies.RecordValue(s.Latency().Microseconds())
	}
	return seconds
}

// printZone prints a line for each second and, for each upstream of the readmitted zone, the overshoot: the largest number
// of requests that it got at once above the number that it could process.
func printZone(w io.Writer, d *deployment.Deployment, seconds []secondStats) {
	t := newTable(w, fmt.Sprintf("service while a zone of three leaves at %s and returns cold at %s", zoneExcludedAt, zoneReadmittedAt))
	fmt.Fprintln(t, "SECOND\tANSWERED\tSHARE\tP50 ms\tP99 ms\tMAX ms\tREFUSED")
	for i, s := range seconds {
		refused := 0
		for _, n := range s.refused {
			refused += n
		}
		answeredShare := float64(s.answered) / float64(max(s.answered+refused, 1))
		fmt.Fprintf(t, "%d\t%d\t%.4f\t%.1f\t%.1f\t%.1f\t%v\n", i, s.answered, answeredShare,
			millisFromMicros(s.latencies.ValueAtQuantile(50)), millisFromMicros(s.latencies.ValueAtQuantile(99)), millisFromMicros(s.latencies.Max()), s.refused)
	}
	for _, n := range d.Nodes() {
		if n.Zone() == "khomas-b" {
			fmt.Fprintf(t, "overshoot at %s: %d\n", n.Instance(), n.Upstream().MaxExcessRequests())
		}
	}
	_ = t.Flush()
}

// plotZone plots the number of answered requests and the 99th percentile of the latency by second.
func plotZone(folder string, seconds []secondStats) error {
	var answered, latencyP99 plotter.XYs
	for i, s := range seconds {
		answered = append(answered, plotter.XY{X: float64(i), Y: float64(s.answered)})
		latencyP99 = append(latencyP99, plotter.XY{X: float64(i), Y: millisFromMicros(s.latencies.ValueAtQuantile(99))})
	}
	return writePlot(folder, "zone.svg", "Service while an availability zone leaves and returns", "second", "", []series{
		{"answered a second", answered},
		{"99th percentile, ms", latencyP99},
	})
}

// millisFromMicros converts microseconds to milliseconds.
func millisFromMicros(micros int64) float64 {
	return float64(micros) / 1000
}
