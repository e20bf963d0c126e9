package relay

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/backlog"
	"github.com/crocuslanding/crocuslanding/core/pkg/selection"
)

// fullUpstream has two slots of 25 ms, both in use.
var fullUpstream = selection.Upstream{Slots: 2, BusySlots: 2, RequestTime: 25 * time.Millisecond}

// waitingPacket returns a packet that arrived at the start, with an aim of 250 ms.
func waitingPacket(port uint32) landing.QueuedPacket {
	return landing.QueuedPacket{}.
		WithKey(landing.FlowKey{}.WithSourcePort(port)).
		WithLastCopyAt(start).
		WithWaitLimit(backlog.MaxWaitSinceLastCopy).
		WithTimelyUntil(backlog.TimelyUntil(0, 250*time.Millisecond, fullUpstream.RequestTime, start))
}

// Guards against a packet that waits anew from the moment at which another one took its slot, beyond the time at which
// its caller gives up.
func TestWaitQueue_RestoredPacketKeepsItsTime(t *testing.T) {
	is := is.New(t)
	var w waitQueue
	w.offer(waitingPacket(1), fullUpstream, math.MaxInt, start.Add(-time.Minute), start)
	later := start.Add(700 * time.Millisecond)
	packet, _, found := w.next(later)
	is.True(found)
	w.restore(packet)
	is.Equal(w.len(), 1)
	_, _, found = w.next(start.Add(backlog.MaxWaitSinceLastCopy + time.Millisecond))
	is.True(!found)
}

// Guards against packets that vanish from the queue and from all counters.
func TestWaitQueue_CountsLapsedPackets(t *testing.T) {
	is := is.New(t)
	var w waitQueue
	for port := range uint32(3) {
		w.offer(waitingPacket(port), fullUpstream, math.MaxInt, start.Add(-time.Minute), start)
	}
	_, _, found := w.next(start.Add(time.Second))
	is.True(!found)
	is.Equal(w.takeLapsed(), int64(3))
	is.Equal(w.takeLapsed(), int64(0))
}

// Guards against a flow that is admitted by its second copy and again when the first one leaves the queue.
func TestWaitQueue_AdmissionEndsTheWait(t *testing.T) {
	is := is.New(t)
	var w waitQueue
	w.offer(waitingPacket(1), fullUpstream, math.MaxInt, start.Add(-time.Minute), start)
	is.True(w.has(waitingPacket(1).Key()))
	w.recordAdmission(waitingPacket(1).Key(), true, start)
	is.Equal(w.len(), 0)
}
