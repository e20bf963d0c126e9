// Package counter contains the metrics of a process: counters, gauges, and histograms of durations. There is one
// counter for each refusal reason.
package counter

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

const (
	// refusalReasonCount is the number of refusal reasons, of which RefusalLeaving is the last.
	refusalReasonCount = int(landing.RefusalLeaving) + 1
	refusalPrefix      = "refused."
	// sampleSize is the largest number of durations that a histogram keeps, chosen at random from all recorded ones. It
	// limits the memory of a histogram to 8 bytes for each of them.
	sampleSize = 256
)

// Set is the set of metrics of one process. Metrics are identified by name.
type Set struct {
	registry metrics.Registry
	refusals [refusalReasonCount]metrics.Counter
}

// New returns a set that contains a counter at zero for each refusal reason.
func New() *Set {
	s := &Set{registry: metrics.NewRegistry()}
	for i := range s.refusals {
		name := refusalPrefix + landing.Refusal(i).String()
		s.refusals[i] = metrics.GetOrRegisterCounter(name, s.registry)
	}
	return s
}

// CountRefusal increments the counter of refusals with reason r.
func (s *Set) CountRefusal(r landing.Refusal) {
	s.refusals[r].Inc(1)
}

// Counter returns the counter with this name, and creates it when there is none.
func (s *Set) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, s.registry)
}

// DurationHistogram returns the histogram of durations with this name, and creates it when there is none.
// Durations are recorded in nanoseconds.
func (s *Set) DurationHistogram(name string) metrics.Histogram {
	sample := func() metrics.Histogram { return metrics.NewHistogram(metrics.NewUniformSample(sampleSize)) }
	return s.registry.GetOrRegister(name, sample).(metrics.Histogram)
}

// RegisterGauge registers a gauge whose value is read by each call of Values. It replaces a metric of the same name.
func (s *Set) RegisterGauge(name string, value func() int64) {
	s.registry.Unregister(name)
	// Register fails only for a name that is in use, and the name was unregistered above.
	_ = s.registry.Register(name, metrics.NewFunctionalGauge(value))
}

// Values returns the current values of all metrics, in no particular order. A histogram yields its count and its
// quantiles.
func (s *Set) Values() []landing.Counter {
	var values []landing.Counter
	s.registry.Each(func(name string, m any) {
		switch m := m.(type) {
		case metrics.Counter:
			values = append(values, landing.Counter{}.WithName(name).WithValue(m.Count()))
		case metrics.Gauge:
			values = append(values, landing.Counter{}.WithName(name).WithValue(m.Value()))
		case metrics.Histogram:
			values = append(values, histogramValues(name, m.Snapshot())...)
		}
	})
	return values
}

// histogramValues returns the number of durations that a histogram recorded and their quantiles in microseconds.
func histogramValues(name string, h metrics.Histogram) []landing.Counter {
	values := []landing.Counter{landing.Counter{}.WithName(name + "_count").WithValue(h.Count())}
	for i, q := range h.Percentiles(exportedQuantiles) {
		microseconds := int64(q) / int64(time.Microsecond)
		values = append(values, landing.Counter{}.WithName(name+"_us."+quantileNames[i]).WithValue(microseconds))
	}
	return values
}

var (
	exportedQuantiles = []float64{0.5, 0.9, 0.99}
	quantileNames     = []string{"p50", "p90", "p99"}
)
