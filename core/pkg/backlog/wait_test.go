package backlog

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/selection"
)

// busyUpstream has two slots of 25 ms, both in use.
var busyUpstream = selection.Upstream{Slots: 2, BusySlots: 2, RequestTime: 25 * time.Millisecond}

// timelyPacket returns a packet that arrived at the start and whose response must come within 250 ms.
func timelyPacket(port, priority uint32) landing.QueuedPacket {
	return queuedPacket(port, priority, 0).WithTimelyUntil(TimelyUntil(0, 250*time.Millisecond, 25*time.Millisecond, start))
}

func ExampleDecideWait() {
	b := Backlog{}
	for port := range uint32(3) {
		b = b.With(timelyPacket(port, 2))
	}
	fmt.Println(DecideWait(b, timelyPacket(9, 2), busyUpstream, 0.4, start).(landing.WaitTimely).ExpectedWait())
	// Output:
	// 50ms
}

// Guards against requests that wait until their responses are late: an upstream whose backlog is longer
// than half of the slack lets no further packet wait as timely, and a saturated one refuses it.
func TestDecideWait_BacklogOfTimelyPacketsIsBounded(t *testing.T) {
	is := is.New(t)
	b := Backlog{}
	for port := range uint32(100) {
		packet := timelyPacket(port, 2)
		if _, isTimely := DecideWait(b, packet, busyUpstream, 1, start).(landing.WaitTimely); !isTimely {
			break
		}
		b = b.With(packet)
	}
	is.Equal(b.Len(), 8) // 100 ms, half of 250 ms less two requests, at 12.5 ms for each packet
	_, isRefused := DecideWait(b, timelyPacket(200, 2), busyUpstream, 1, start).(landing.RefuseWait)
	is.True(isRefused)
	_, isLate := DecideWait(b, timelyPacket(200, 2), busyUpstream, 0.4, start).(landing.WaitLate)
	is.True(isLate)
}

// Guards against urgent requests that are refused because others wait.
func TestDecideWait_HigherPriorityDoesNotWaitBehindLower(t *testing.T) {
	is := is.New(t)
	b := Backlog{}
	for port := range uint32(50) {
		b = b.With(timelyPacket(port, 2))
	}
	_, isTimely := DecideWait(b, timelyPacket(100, 1), busyUpstream, 1, start).(landing.WaitTimely)
	is.True(isTimely)
	packet, _, _ := b.With(timelyPacket(100, 1)).Pop(start)
	is.Equal(packet.Key().SourcePort(), uint32(100))
}

// Guards against a queue that is cut to the few packets that a caller with little time left could wait
// for: a third copy whose caller gives up soon made the sidecar refuse 39 others while no request ran
// (deployment dpt-varna-grown, day trouble-1, after a loss of power).
func TestDecideWait_CallerWithLittleTimeRemovesNoOther(t *testing.T) {
	is := is.New(t)
	b := Backlog{}
	for port := range uint32(8) {
		b = b.With(timelyPacket(port, 2))
	}
	last := queuedPacket(100, 2, 0).WithUsefulUntil(start.Add(30 * time.Millisecond)).
		WithTimelyUntil(TimelyUntil(2, 250*time.Millisecond, 25*time.Millisecond, start))
	_, isRefused := DecideWait(b, last, busyUpstream, 0, start).(landing.RefuseWait)
	is.True(isRefused)
	kept, refused := b.Prune(b.Len(), start)
	is.Equal(kept.Len(), 8)
	is.Equal(len(refused), 0)
}

// Guards against a packet that is said to be timely, waits longer than its caller and is then dropped without an
// answer: an aim above the timeout, a wait above the 800 ms for which a caller waits after a copy, or one above the
// 1.4 s of an attempt.
func TestDecideWait_TimelyOnlyWithinWaitLimit(t *testing.T) {
	is := is.New(t)
	aim := 5 * time.Second
	packet := queuedPacket(1, 2, 0).WithTimelyUntil(TimelyUntil(0, aim, 25*time.Millisecond, start))
	timeout, requestTime := 600*time.Millisecond, 25*time.Millisecond
	last := packet.WithWaitLimit(WaitLimit(2, timeout, requestTime)).WithUsefulUntil(UsefulUntil(2, timeout, requestTime, start))
	_, isRefused := DecideWait(Backlog{}, last, busyUpstream, 0, start).(landing.RefuseWait)
	is.True(isRefused)
	b := Backlog{}
	for port := range uint32(120) {
		if port == 70 {
			_, isTimely := DecideWait(b, packet, busyUpstream, 0, start).(landing.WaitTimely) // 71 packets at 12.5 ms
			is.True(!isTimely)
		}
		b = b.With(queuedPacket(100+port, 2, 0).WithTimelyUntil(packet.TimelyUntil()))
	}
	_, isRefused = DecideWait(b, packet, busyUpstream, 0, start).(landing.RefuseWait) // 1.5 s, more than an attempt takes
	is.True(isRefused)
}

// Guards against a refusal of a copy whose earlier copy waits and will be admitted.
func TestDecideWait_CopyOfWaitingPacketKeepsWaiting(t *testing.T) {
	is := is.New(t)
	b := Backlog{}
	for port := range uint32(9) {
		b = b.With(timelyPacket(port, 2))
	}
	now := start.Add(200 * time.Millisecond)
	copied := queuedPacket(8, 2, 200*time.Millisecond).WithTimelyUntil(TimelyUntil(1, 250*time.Millisecond, 25*time.Millisecond, now))
	_, isLate := DecideWait(b, copied, busyUpstream, 1, now).(landing.WaitLate)
	is.True(isLate)
	_, isRefused := DecideWait(b, copied.WithWaitLimit(0).WithUsefulUntil(now), busyUpstream, 1, now).(landing.RefuseWait)
	is.True(isRefused)
	is.True(b.Has(copied.Key()))
	is.True(!b.Has(timelyPacket(10, 2).Key()))
}

// Guards against a promise that is not kept: late packets of a higher priority are served before timely ones of a
// lower priority, so they count in the wait.
func TestDecideWait_CountsLatePacketsOfHigherPriority(t *testing.T) {
	is := is.New(t)
	b := Backlog{}
	for port := range uint32(40) {
		b = b.With(queuedPacket(port, 1, 0))
	}
	_, isTimely := DecideWait(b, timelyPacket(100, 2), busyUpstream, 0, start).(landing.WaitTimely)
	is.True(!isTimely)
	_, isTimely = DecideWait(b, timelyPacket(100, 1), busyUpstream, 0, start).(landing.WaitTimely)
	is.True(isTimely) // within a priority timely packets are served first
}

// Guards against timely packets that are refused because of a packet of a listener without a response aim: the
// limit of such a packet, whose caller gives up soon, cut the whole backlog.
func TestPrune_LimitOfPacketWithoutAimRemovesNoOther(t *testing.T) {
	is := is.New(t)
	b := Backlog{}
	for port := range uint32(8) {
		b = b.With(timelyPacket(port, 2))
	}
	b = b.With(queuedPacket(100, 2, 0).WithWaitLimit(30 * time.Millisecond))
	kept, refused := b.Prune(2, start)
	is.Equal(kept.Len(), 8)
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Key().SourcePort(), uint32(100))
}

// Guards against a reset of a flow that a later copy has opened at another sidecar, because the earlier copy is
// refused after it has waited.
func TestMayReturn_OnlyBeforeNextCopy(t *testing.T) {
	is := is.New(t)
	is.True(MayReturn(start, start.Add(199*time.Millisecond)))
	is.True(!MayReturn(start, start.Add(200*time.Millisecond)))
}

// Timely packets are served in order of arrival, the others after them and newest first.
func TestPop_TimelyPacketsFirst(t *testing.T) {
	is := is.New(t)
	b := Backlog{}.
		With(queuedPacket(1, 2, 0)).
		With(timelyPacket(2, 2)).
		With(queuedPacket(3, 2, time.Millisecond)).
		With(timelyPacket(4, 2).WithTimelyUntil(start.Add(time.Second)))
	var order []uint32
	for b.Len() > 0 {
		var packet landing.QueuedPacket
		packet, b, _ = b.Pop(start)
		order = append(order, packet.Key().SourcePort())
	}
	is.Equal(order, []uint32{2, 4, 3, 1})
}

// Whatever waits: a packet that is said to be timely has at most half of its slack of others before it,
// and more utilization never lets a packet wait that waits with less.
func TestDecideWait_Bounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		upstream := selection.Upstream{
			Slots:       rapid.IntRange(1, 16).Draw(t, "slots"),
			BusySlots:   rapid.IntRange(0, 20).Draw(t, "busy"),
			RequestTime: time.Duration(rapid.IntRange(0, 2000).Draw(t, "millis")) * time.Millisecond,
		}
		b := Backlog{}
		for port := range uint32(rapid.IntRange(0, 40).Draw(t, "waiting")) {
			b = b.With(timelyPacket(port, uint32(rapid.IntRange(0, 3).Draw(t, "priority"))))
		}
		aim := time.Duration(rapid.IntRange(1, 2000).Draw(t, "aim")) * time.Millisecond
		packet := queuedPacket(1000, 2, 0).WithTimelyUntil(TimelyUntil(0, aim, upstream.RequestTime, start))
		utilization := rapid.Float64Range(0, 2).Draw(t, "utilization")
		switch decision := DecideWait(b, packet, upstream, utilization, start).(type) {
		case landing.WaitTimely:
			if 2*decision.ExpectedWait()+upstream.RequestTime+upstream.ServiceTime() > aim {
				t.Fatalf("timely after %s with an aim of %s", decision.ExpectedWait(), aim)
			}
		case landing.WaitLate:
			if start.Add(decision.ExpectedWait()).After(packet.UsefulUntil()) {
				t.Fatalf("waits %s", decision.ExpectedWait())
			}
		case landing.RefuseWait:
			if _, isRefused := DecideWait(b, packet, upstream, utilization+0.5, start).(landing.RefuseWait); !isRefused {
				t.Fatal("waits at a higher utilization")
			}
		}
	})
}

// Whatever waits: the expected wait is that of the packets which are served before.
func TestDecideWait_AgreesWithOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Backlog
		for port := range uint32(rapid.IntRange(0, 60).Draw(t, "waiting")) {
			b = b.With(drawPacket(t, port))
			if rapid.Bool().Draw(t, "refused") {
				b = b.WithRefused(rapid.Uint32Range(0, 3).Draw(t, "priority"), start)
			}
		}
		for range rapid.IntRange(0, 20).Draw(t, "starts") {
			_, b, _ = b.Pop(start)
		}
		arriving := drawPacket(t, 1000).WithTimelyUntil(start.Add(time.Hour))
		decision, isTimely := DecideWait(b, arriving, busyUpstream, 1, start).(landing.WaitTimely)
		if !isTimely {
			t.Fatal("an hour is not enough")
		}
		before := 0
		for b = b.With(arriving); ; before++ {
			var packet landing.QueuedPacket
			packet, b, _ = b.Pop(start)
			if packet.Key() == arriving.Key() {
				break
			}
		}
		upstream := busyUpstream
		upstream.Waiting = before
		if decision.ExpectedWait() != upstream.ExpectedWait() {
			t.Fatalf("expects %s, but %d are served before", decision.ExpectedWait(), before)
		}
	})
}

// Guards against a flow that is refused although a sidecar of its chain had a free slot with which the response would
// have been timely: that sidecar left the flow to one that stated an earlier response, where the wait took more than
// half of the slack.
func TestIsBusy_FreeSlotIsLeftOnlyForWaitThatIsAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		millis := func(label string) time.Duration {
			return time.Duration(rapid.IntRange(5, 400).Draw(t, label)) * time.Millisecond
		}
		aim := millis("aim")
		free := selection.Upstream{Slots: 2, RequestTime: millis("slow")}
		deferrer := selection.Upstream{Slots: 2, BusySlots: 2, RequestTime: millis("fast")}
		b := Backlog{}
		for port := range uint32(rapid.IntRange(0, 30).Draw(t, "waiting")) {
			b = b.With(queuedPacket(port, 2, 0).WithTimelyUntil(start.Add(time.Hour)))
		}
		deferrer.Waiting = b.Len()
		if free.ExpectedResponse() > aim || !selection.IsBusy(free, deferrer.ExpectedResponse()) {
			return
		}
		packet := queuedPacket(100, 2, 0).WithTimelyUntil(TimelyUntil(0, aim, deferrer.RequestTime, start))
		if _, isTimely := DecideWait(b, packet, deferrer, 1, start).(landing.WaitTimely); !isTimely {
			t.Fatalf("refused after %s, with an aim of %s and a free slot", deferrer.ExpectedWait(), aim)
		}
	})
}

func TestStarts_CountTheLastRequests(t *testing.T) {
	is := is.New(t)
	var s Starts
	for i := range 32 {
		s = s.With(start.Add(time.Duration(i) * 25 * time.Millisecond))
	}
	utilization := s.Utilization(2, 25*time.Millisecond, start.Add(startsWindow-time.Millisecond))
	is.Equal(utilization, 0.5)
	is.True(s.Utilization(2, 25*time.Millisecond, start.Add(startsWindow*3/2)) < 0.35)
	is.Equal(s.Utilization(2, 25*time.Millisecond, start.Add(time.Hour)), 0.0)
	is.Equal(s.With(start).Utilization(0, time.Second, start), 0.0)
}

// BenchmarkDecideWait decides about a packet at an upstream at which 100 others wait.
func BenchmarkDecideWait(b *testing.B) {
	waiting := Backlog{}
	for port := range uint32(100) {
		waiting = waiting.With(timelyPacket(port, 1+port%2))
	}
	packet := timelyPacket(1000, 2)
	b.ReportAllocs()
	for b.Loop() {
		DecideWait(waiting, packet, busyUpstream, 0.7, start)
	}
}
