package command

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/enrollment"
)

// maxExactMetric is the largest whole number up to which a metric is exact, since metrics are parsed as float64.
const maxExactMetric = 1 << 53

// loadRefusals are the reasons of refusals because an upstream cannot take more load. Only they count for the order of
// sidecars and services: others, such as those of late packets of ended flows, say nothing of the load.
var loadRefusals = []string{
	landing.RefusalQueue.String(), landing.RefusalRoom.String(), landing.RefusalCold.String(),
}

// readLoad reads the processes at these addresses twice, or once when the interval is 0. An address that is given more
// than once is read like any other, so that sums contain each process once. readLoad returns an error when ctx ends
// between the reads.
func readLoad(ctx context.Context, addresses []string, interval time.Duration) (landing.FleetLoad, error) {
	var distinct []string
	for _, address := range addresses {
		if !slices.Contains(distinct, address) {
			distinct = append(distinct, address)
		}
	}
	first := make([]processMetrics, len(distinct))
	if interval > 0 {
		first = scrapeAll(ctx, distinct)
		select {
		case <-ctx.Done():
			return landing.FleetLoad{}, trace.Wrap(ctx.Err())
		case <-time.After(interval):
		}
	}
	second := scrapeAll(ctx, distinct)
	fleetLoad := landing.FleetLoad{}.WithIntervalMillis(interval.Milliseconds())
	for i, process := range second {
		fleetLoad = withProcess(fleetLoad, first[i], process)
	}
	fleetLoad = fleetLoad.WithSidecars(slices.SortedFunc(slices.Values(fleetLoad.Sidecars()), compareSidecars)...)
	return fleetLoad.WithServices(sumServices(fleetLoad.Sidecars())...), nil
}

// processMetrics are the metrics of one process, or the error that occurred when they were read.
type processMetrics struct {
	address string
	values  map[metricID]float64
	err     error
}

// scrapeAll reads the metrics of all processes at the same time, and returns them in the order of the addresses.
func scrapeAll(ctx context.Context, addresses []string) []processMetrics {
	processes := make([]processMetrics, len(addresses))
	var readers sync.WaitGroup
	for i, address := range addresses {
		readers.Go(func() {
			values, err := scrapeMetrics(ctx, address)
			processes[i] = processMetrics{address: address, values: values, err: err}
		})
	}
	readers.Wait()
	return processes
}

// withProcess returns the load with one more process, which had the metrics first and then second. A process that could
// not be read both times, or that lacks a metric, is added to those that were not read.
func withProcess(fleetLoad landing.FleetLoad, first, second processMetrics) landing.FleetLoad {
	r := metricReader{address: second.address, first: first.values, second: second.values, err: second.err}
	if r.err == nil {
		r.err = first.err
	}
	switch {
	case r.err != nil:
	case r.has("sidecars"):
		if b := r.balancer(); r.err == nil {
			return fleetLoad.WithBalancers(append(fleetLoad.Balancers(), b)...)
		}
	case r.has("heartbeat_age_ms"):
		if s := r.sidecar(); r.err == nil {
			return fleetLoad.WithSidecars(append(fleetLoad.Sidecars(), s)...)
		}
	default:
		r.err = trace.BadParameter("not a process of the relay path")
	}
	return fleetLoad.WithUnread(append(fleetLoad.Unread(), landing.UnreadProcess{}.WithAddress(r.address).WithError(r.err.Error()))...)
}

// metricReader reads values from two reads of the metrics of one process. It keeps the first error, after which its
// values mean nothing.
type metricReader struct {
	address       string
	first, second map[metricID]float64
	err           error
}

// has reports whether the process has a gauge of this name.
func (r *metricReader) has(name string) bool {
	_, found := r.second[metricID{name: metricPrefix + name}]
	return found
}

// gauge returns the value of a gauge that the process must have.
func (r *metricReader) gauge(name string) int64 {
	value, found := r.second[metricID{name: metricPrefix + name}]
	if !found {
		r.fail(trace.BadParameter("metric %s is missing; the process may be of a previous version", name))
	}
	return r.whole(name, value)
}

// label returns the value of the label of a gauge that the process must have.
func (r *metricReader) label(name string) string {
	for id := range r.second {
		if id.name == metricPrefix+name {
			return id.reason
		}
	}
	r.fail(trace.BadParameter("metric %s is missing; the process may be of a previous version", name))
	return ""
}

// increase returns the increase of a counter between the reads. A counter that no event has created yet is 0, and one
// that is lower than before belongs to a process that was restarted.
func (r *metricReader) increase(id metricID) int64 {
	before, after := r.whole(id.name, r.first[id]), r.whole(id.name, r.second[id])
	if after < before {
		return after
	}
	return after - before
}

// refusals returns the increases of the counters of refusals that are not 0, in the order of the reasons.
func (r *metricReader) refusals() []landing.RefusalCount {
	var counts []landing.RefusalCount
	for id := range r.second {
		if id.name != metricPrefix+"refused" {
			continue
		}
		if n := r.increase(id); n > 0 {
			counts = append(counts, landing.RefusalCount{}.WithReason(id.reason).WithCount(n))
		}
	}
	slices.SortFunc(counts, func(a, b landing.RefusalCount) int { return cmp.Compare(a.Reason(), b.Reason()) })
	return counts
}

// whole returns the value of a metric, all of which are whole numbers.
func (r *metricReader) whole(name string, value float64) int64 {
	if value != math.Trunc(value) || math.Abs(value) > maxExactMetric {
		r.fail(trace.BadParameter("metric %s is not a whole number: %v", name, value))
		return 0
	}
	return int64(value)
}

// fail records an error, unless one has been recorded before.
func (r *metricReader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

// sidecar returns the load of a sidecar.
func (r *metricReader) sidecar() landing.SidecarLoad {
	enrollmentAge := r.gauge("enrollment_age_ms")
	return landing.SidecarLoad{}.
		WithAddress(r.address).
		WithInstance(r.label("instance")).
		WithService(r.label("service")).
		WithZone(r.label("zone")).
		WithSlots(r.gauge("slots")).
		WithBusy(r.gauge("busy")).
		WithRunning(r.gauge("running")).
		WithWaiting(r.gauge("waiting")).
		WithWaitingTimely(r.gauge("waiting_timely")).
		WithWaitedTimely(r.increase(metricID{name: metricPrefix + "waited_timely"})).
		WithWaitedLate(r.increase(metricID{name: metricPrefix + "waited_late"})).
		WithRefusals(r.refusals()...).
		WithUtilizationPermille(r.gauge("utilization_permille")).
		WithLatencyMicros(r.gauge("latency_us")).
		WithHeartbeatAgeMillis(r.gauge("heartbeat_age_ms")).
		WithEjected(r.gauge("is_ejected") != 0).
		WithEnrollmentAgeMillis(enrollmentAge).
		WithEnrolled(enrollmentAge >= 0 && enrollmentAge <= enrollment.Validity.Milliseconds())
}

// balancer returns the load of a balancer.
func (r *metricReader) balancer() landing.BalancerLoad {
	return landing.BalancerLoad{}.
		WithAddress(r.address).
		WithEnrolledSidecars(r.gauge("sidecars")).
		WithCached(r.gauge("cached")).
		WithRefusals(r.refusals()...)
}

// compareSidecars orders sidecars: first those that admit no flows, then those that refuse the most, have the most
// packets waiting, and have the largest part of their slots in use.
func compareSidecars(a, b landing.SidecarLoad) int {
	return cmp.Or(
		compareBools(a.Enrolled(), b.Enrolled()),
		-compareBools(a.Ejected(), b.Ejected()),
		-cmp.Compare(sumLoadRefusals(a.Refusals()), sumLoadRefusals(b.Refusals())),
		-cmp.Compare(a.Waiting(), b.Waiting()),
		-cmp.Compare(a.Busy()*b.Slots(), b.Busy()*a.Slots()),
		-cmp.Compare(a.UtilizationPermille(), b.UtilizationPermille()),
		cmp.Compare(a.Address(), b.Address()),
	)
}

// compareServices orders services: first those that refuse the most, then those that have the most packets waiting for
// each slot, and have the largest part of their slots in use.
func compareServices(a, b landing.ServiceLoad) int {
	return cmp.Or(
		-cmp.Compare(sumLoadRefusals(a.Refusals()), sumLoadRefusals(b.Refusals())),
		-cmp.Compare(a.Waiting()*b.Slots(), b.Waiting()*a.Slots()),
		-cmp.Compare(a.Busy()*b.Slots(), b.Busy()*a.Slots()),
		cmp.Compare(a.Service(), b.Service()),
	)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	return cmp.Compare(boolCount(a), boolCount(b))
}

// boolCount returns 1 for true and 0 for false.
func boolCount(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// sumLoadRefusals returns the number of refusals because of the load.
func sumLoadRefusals(counts []landing.RefusalCount) int64 {
	sum := int64(0)
	for _, c := range counts {
		if slices.Contains(loadRefusals, c.Reason()) {
			sum += c.Count()
		}
	}
	return sum
}

// sumServices returns the sums of each service, the most loaded one first.
func sumServices(sidecars []landing.SidecarLoad) []landing.ServiceLoad {
	var services []landing.ServiceLoad
	for _, s := range sidecars {
		i := slices.IndexFunc(services, func(sum landing.ServiceLoad) bool { return sum.Service() == s.Service() })
		if i < 0 {
			services = append(services, landing.ServiceLoad{}.WithService(s.Service()))
			i = len(services) - 1
		}
		sum := services[i]
		services[i] = sum.
			WithSidecars(sum.Sidecars() + 1).
			WithEjected(sum.Ejected() + boolCount(s.Ejected())).
			WithNotEnrolled(sum.NotEnrolled() + boolCount(!s.Enrolled())).
			WithSlots(sum.Slots() + s.Slots()).
			WithBusy(sum.Busy() + s.Busy()).
			WithRunning(sum.Running() + s.Running()).
			WithWaiting(sum.Waiting() + s.Waiting()).
			WithWaitingTimely(sum.WaitingTimely() + s.WaitingTimely()).
			WithWaitedTimely(sum.WaitedTimely() + s.WaitedTimely()).
			WithWaitedLate(sum.WaitedLate() + s.WaitedLate()).
			WithRefusals(addRefusals(sum.Refusals(), s.Refusals())...)
	}
	slices.SortFunc(services, compareServices)
	return services
}

// addRefusals returns the sums of two lists of refusals, in the order of the reasons.
func addRefusals(a, b []landing.RefusalCount) []landing.RefusalCount {
	sums := slices.Clone(a)
	for _, c := range b {
		i, found := slices.BinarySearchFunc(sums, c.Reason(), func(sum landing.RefusalCount, reason string) int { return cmp.Compare(sum.Reason(), reason) })
		if found {
			sums[i] = sums[i].WithCount(sums[i].Count() + c.Count())
		} else {
			sums = slices.Insert(sums, i, c)
		}
	}
	return sums
}
