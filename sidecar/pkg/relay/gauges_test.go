package relay

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/clock"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/counter"
	"github.com/crocuslanding/crocuslanding/core/pkg/enrollment"
	"github.com/crocuslanding/crocuslanding/core/pkg/selection"
)

// metricValues returns the current values of all metrics by name.
func metricValues(counters *counter.Set) map[string]int64 {
	values := map[string]int64{}
	for _, c := range counters.Values() {
		values[c.Name()] = c.Value()
	}
	return values
}

// newGaugedForwarder returns a forwarder with open sockets that was not started, its control thread and its metrics.
func newGaugedForwarder(t *testing.T) (*Forwarder, *ControlThread, *counter.Set) {
	t.Helper()
	settings := landing.RelaySidecarSettings{}.
		WithInstance("side-1").WithService("desk").WithZone("khomas-a").
		WithFront("127.0.0.1:9000").WithUpstream("127.0.0.1:9").
		WithFleet("127.0.0.1:0").WithOutbound("127.0.0.1:0")
	c := common.New(logr.Discard(), counter.New())
	control := NewControlThread(c, settings, nil, nil)
	f, err := NewForwarder(c, settings, control)
	is.New(t).NoErr(err)
	t.Cleanup(f.Stop)
	return f, control, c.Counters()
}

// Guards against gauges that report a value before there is one, and against a gauge that takes the name of a counter:
// the next ejection then ends the process, because the metric of that name is no counter.
func TestGauges_BeforeFirstHeartbeat(t *testing.T) {
	is := is.New(t)
	f, _, counters := newGaugedForwarder(t)
	f.telemetry.Counters().Counter("ejected").Inc(1)
	values := metricValues(counters)
	for name, want := range map[string]int64{
		"instance.side-1": 1, "service.desk": 1, "zone.khomas-a": 1,
		"slots": 0, "busy": 0, "running": 0, "waiting": 0, "waiting_timely": 0, "waiting_late": 0,
		"utilization_permille": 0, "latency_us": 0, "is_ejected": 0, "ejected": 1,
		"heartbeat_age_ms": -1, "enrollment_age_ms": -1,
	} {
		got, found := values[name]
		is.True(found)       // every gauge is registered
		is.Equal(got, want)  // value before the first heartbeat
		delete(values, name) // each name once
	}
}

// Guards against gauges that do not follow the state of the control thread and of the queue.
func TestGauges_FollowLoad(t *testing.T) {
	is := is.New(t)
	f, control, counters := newGaugedForwarder(t)
	now := clock.Now()
	state := landing.UpstreamState{}.WithSlots(2).WithLastHeartbeat(now)
	snapshot := Snapshot{}.WithUpstream(state).WithConfirmation(enrollment.Confirmation{}.WithPlatformAnswer(now.Add(-3*time.Second), 0))
	control.snapshot.Store(&snapshot)
	f.table.recordAdmission(flowKey, now)
	packet := landing.QueuedPacket{}.WithLastCopyAt(now).WithWaitLimit(time.Minute)
	f.queue.restore(packet.WithKey(flowKey.WithSourcePort(10)).WithTimelyUntil(now.Add(time.Minute)))
	f.queue.restore(packet.WithKey(flowKey.WithSourcePort(11)).WithTimelyUntil(now.Add(-time.Millisecond)))
	f.queue.restore(packet.WithKey(flowKey.WithSourcePort(12))) // of a listener without an aim
	values := metricValues(counters)
	is.Equal(values["slots"], int64(2))
	is.Equal(values["busy"], int64(1))
	is.Equal(values["waiting"], int64(3))
	is.Equal(values["waiting_timely"], int64(1))
	is.Equal(values["waiting_late"], int64(2))
	is.True(values["enrollment_age_ms"] >= 3000)
	is.True(values["enrollment_age_ms"] < 60_000)
	is.Equal(f.queue.len(), 3) // reading the gauges removes nothing
}

// Guards against a count of waiting packets that leaves out those whose last copy is older than the interval between
// copies, which the queue removes without a refusal.
func TestCountWaiting_IncludesOldPackets(t *testing.T) {
	is := is.New(t)
	var w waitQueue
	packet := landing.QueuedPacket{}.WithKey(flowKey).WithLastCopyAt(start).WithWaitLimit(800 * time.Millisecond)
	w.restore(packet)
	timely, late := w.countWaiting(start.Add(700 * time.Millisecond))
	is.Equal(timely, 0)
	is.Equal(late, 1)
}

// Guards against a utilization that counts requests older than its window.
func TestUtilization_CountsRecentStarts(t *testing.T) {
	is := is.New(t)
	var w waitQueue
	upstream := selection.Upstream{Slots: 2, RequestTime: 50 * time.Millisecond}
	for i := range 16 {
		w.recordAdmission(flowKey, true, start.Add(time.Duration(i)*10*time.Millisecond))
	}
	is.Equal(w.utilization(upstream, start.Add(200*time.Millisecond)), 0.5) // 16 requests of 50 ms in 2 slots within 0.8 s
	is.Equal(w.utilization(upstream, start.Add(3*time.Second)), 0.0)
}

// Guards against an age that the validity of the confirmation contradicts.
func TestEnrollmentAge_AgreesWithValidity(t *testing.T) {
	is := is.New(t)
	_, isConfirmed := Snapshot{}.EnrollmentAge(start)
	is.True(!isConfirmed)
	s := Snapshot{}.WithConfirmation(enrollment.Confirmation{}.WithPlatformAnswer(start, 0))
	for _, want := range []time.Duration{0, time.Millisecond, 1999 * time.Millisecond, enrollment.Validity, enrollment.Validity + time.Millisecond, time.Hour} {
		age, isConfirmed := s.EnrollmentAge(start.Add(want))
		is.True(isConfirmed)
		is.Equal(age, want)
		is.Equal(age <= enrollment.Validity, s.IsEnrolled(start.Add(want)))
	}
	age, _ := s.EnrollmentAge(start.Add(48 * time.Hour))
	is.Equal(age, 48*time.Hour)
}
