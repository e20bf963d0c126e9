package backlog

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

var start = time.Unix(1000, 0)

// queuedPacket returns a packet from this source port with this priority, whose last copy arrived
// this long after the start.
func queuedPacket(port uint32, priority uint32, lastCopyAfter time.Duration) landing.QueuedPacket {
	return landing.QueuedPacket{}.
		WithKey(landing.FlowKey{}.WithSourcePort(port)).
		WithPriority(priority).
		WithLastCopyAt(start.Add(lastCopyAfter))
}

func ExampleBacklog() {
	b := Backlog{}.With(queuedPacket(1, 2, 0)).With(queuedPacket(2, 2, time.Millisecond)).With(queuedPacket(3, 1, 0))
	for b.Len() > 0 {
		var packet landing.QueuedPacket
		packet, b, _ = b.Pop()
		fmt.Println(packet.Key().SourcePort())
	}
	// Output:
	// 3
	// 2
	// 1
}

func TestWith_CopyReplacesPacket(t *testing.T) {
	is := is.New(t)
	b := Backlog{}.With(queuedPacket(1, 2, 0)).With(queuedPacket(1, 2, 200*time.Millisecond))
	is.Equal(b.Len(), 1)
	kept, refused := b.Prune(10, start.Add(900*time.Millisecond))
	is.Equal(kept.Len(), 1)
	is.Equal(len(refused), 0)
}

func TestPrune_DropsExpiredPacketsWithoutRefusal(t *testing.T) {
	is := is.New(t)
	kept, refused := Backlog{}.With(queuedPacket(1, 2, 0)).Prune(10, start.Add(MaxWaitSinceLastCopy+time.Millisecond))
	is.Equal(kept.Len(), 0)
	is.Equal(len(refused), 0)
}

func TestPrune_RefusesLowestPriorityFirst(t *testing.T) {
	is := is.New(t)
	b := Backlog{}
	for i := range uint32(10) {
		b = b.With(queuedPacket(i, 1+i%2, time.Duration(i)*time.Millisecond))
	}
	_, refused := b.Prune(5, start.Add(10*time.Millisecond))
	is.Equal(len(refused), 5)
	for _, packet := range refused {
		is.Equal(packet.Priority(), uint32(2))
	}
}

// freshShareInTime simulates the first 3 s after an outage at one upstream with 8 slots of 90 ms:
// 120 callers whose requests are late come back within 400 ms, and for 2 s a fresh caller arrives
// every 14 ms. Late callers have source ports above 10000, fresh ones below. It returns the share
// of the fresh callers that wait at most 150 ms.
func freshShareInTime(pop func(Backlog) (landing.QueuedPacket, Backlog, bool)) float64 {
	const (
		slots         = 8
		requestTime   = 90 * time.Millisecond
		maxTimelyWait = 150 * time.Millisecond
	)
	var b Backlog
	busyUntil := []time.Duration{}
	fresh, servedInTime, late := 0, 0, 0
	for now := time.Duration(0); now < 3*time.Second; now += time.Millisecond {
		if late < 120 && now%(400*time.Millisecond/120) < time.Millisecond {
			late++
			b = b.With(queuedPacket(uint32(10000+late), 2, now))
		}
		if now < 2*time.Second && now%(14*time.Millisecond) == 0 {
			fresh++
			b = b.With(queuedPacket(uint32(fresh), 2, now))
		}
		b, _ = b.Prune(Limit(slots, requestTime), start.Add(now))
		for len(busyUntil) > 0 && busyUntil[0] <= now {
			busyUntil = busyUntil[1:]
		}
		for len(busyUntil) < slots && b.Len() > 0 {
			var packet landing.QueuedPacket
			packet, b, _ = pop(b)
			busyUntil = append(busyUntil, now+requestTime)
			if packet.Key().SourcePort() < 10000 && start.Add(now).Sub(packet.LastCopyAt()) <= maxTimelyWait {
				servedInTime++
			}
		}
	}
	return float64(servedInTime) / float64(fresh)
}

// popOldest serves packets in order of arrival, for comparison.
func popOldest(b Backlog) (landing.QueuedPacket, Backlog, bool) {
	packet := b.packets[0]
	return packet, Backlog{packets: b.packets[1:]}, true
}

func TestPop_NewestFirstServesFreshCallersInTime(t *testing.T) {
	is := is.New(t)
	is.True(freshShareInTime(popOldest) < 0.5)
	is.True(freshShareInTime(Backlog.Pop) > 0.8)
}

// When a packet has waited for 200 ms, its caller has sent a copy, which may have opened the flow
// at another sidecar.
func TestPrune_DoesNotRefuseAfterCopyInterval(t *testing.T) {
	is := is.New(t)
	kept, refused := Backlog{}.With(queuedPacket(1, 2, 0)).With(queuedPacket(2, 2, 0)).Prune(1, start.Add(minCopyInterval))
	is.Equal(kept.Len(), 1)
	is.Equal(len(refused), 0)
}
