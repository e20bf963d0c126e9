// Package counter keeps the counters of a process, one for each refusal and retry reason.
package counter

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

const (
	refusalCount  = int(landing.RefusalLeaving) + 1
	refusalPrefix = "refused."
	// sampleSize bounds the memory of a histogram: 8 bytes for each of the sampled durations.
	sampleSize = 256
)

// Set is the set of counters of one process.
type Set struct {
	registry metrics.Registry
	refusals [refusalCount]metrics.Counter
}

// New returns a set in which every refusal reason has a counter at zero.
func New() *Set {
	s := &Set{registry: metrics.NewRegistry()}
	for i := range s.refusals {
		name := refusalPrefix + landing.Refusal(i).String()
		s.refusals[i] = metrics.GetOrRegisterCounter(name, s.registry)
	}
	return s
}

// CountRefusal counts one refusal for reason r.
func (s *Set) CountRefusal(r landing.Refusal) {
	s.refusals[r].Inc(1)
}

// Counter returns the counter of this name, made at the first call.
func (s *Set) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, s.registry)
}

// DurationHistogram returns the histogram of durations of this name, made at the first call.
func (s *Set) DurationHistogram(name string) metrics.Histogram {
	sample := func() metrics.Histogram { return metrics.NewHistogram(metrics.NewUniformSample(sampleSize)) }
	return s.registry.GetOrRegister(name, sample).(metrics.Histogram)
}

// RegisterGauge registers a value that is read when the counters are.
func (s *Set) RegisterGauge(name string, read func() int64) {
	s.registry.Unregister(name)
	// A name that has just been taken off is free.
	_ = s.registry.Register(name, metrics.NewFunctionalGauge(read))
}

// Values returns all counters with their values.
func (s *Set) Values() []landing.Counter {
	var values []landing.Counter
	s.registry.Each(func(name string, m any) {
		switch m := m.(type) {
		case metrics.Counter:
			values = append(values, landing.Counter{}.WithName(name).WithValue(m.Count()))
		case metrics.Gauge:
			values = append(values, landing.Counter{}.WithName(name).WithValue(m.Value()))
		case metrics.Histogram:
			values = append(values, quantiles(name, m.Snapshot())...)
		}
	})
	return values
}

// quantiles returns the values of a histogram of durations, in microseconds.
func quantiles(name string, h metrics.Histogram) []landing.Counter {
	values := []landing.Counter{landing.Counter{}.WithName(name + "_count").WithValue(h.Count())}
	for i, q := range h.Percentiles(shown) {
		micros := int64(q) / int64(time.Microsecond)
		values = append(values, landing.Counter{}.WithName(name+"_us."+shownNames[i]).WithValue(micros))
	}
	return values
}

var (
	shown      = []float64{0.5, 0.9, 0.99}
	shownNames = []string{"p50", "p90", "p99"}
)
