// Package counter keeps the counters of a process, one for each refusal and retry reason.
package counter

import (
	metrics "github.com/rcrowley/go-metrics"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

const (
	refusalCount  = int(landing.RefusalLeaving) + 1
	refusalPrefix = "refused."
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

// Refused counts one refusal for reason r.
func (s *Set) Refused(r landing.Refusal) {
	s.refusals[r].Inc(1)
}

// Counter returns the counter of this name, made at the first call.
func (s *Set) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, s.registry)
}

// Values returns all counters with their values.
func (s *Set) Values() []landing.Counter {
	var values []landing.Counter
	s.registry.Each(func(name string, m any) {
		if c, ok := m.(metrics.Counter); ok {
			values = append(values, landing.Counter{}.WithName(name).WithValue(c.Count()))
		}
	})
	return values
}
