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
		WithLastCopyAt(start.Add(lastCopyAfter)).
		WithWaitLimit(MaxWaitSinceLastCopy).
		WithUsefulUntil(UsefulUntil(0, 2500*time.Millisecond, 25*time.Millisecond, start.Add(lastCopyAfter)))
}

func ExampleBacklog() {
	b := Backlog{}.With(queuedPacket(1, 2, 0)).With(queuedPacket(2, 2, time.Millisecond)).With(queuedPacket(3, 1, 0))
	for b.Len() > 0 {
		var packet landing.QueuedPacket
		packet, b, _ = b.Pop(start)
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
func freshShareInTime(pop func(Backlog, time.Time) (landing.QueuedPacket, Backlog, bool)) float64 {
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
		b, _ = b.Prune(Limit(slots, requestTime, MaxWaitSinceLastCopy), start.Add(now))
		for len(busyUntil) > 0 && busyUntil[0] <= now {
			busyUntil = busyUntil[1:]
		}
		for len(busyUntil) < slots && b.Len() > 0 {
			var packet landing.QueuedPacket
			packet, b, _ = pop(b, start.Add(now))
			busyUntil = append(busyUntil, now+requestTime)
			if packet.Key().SourcePort() < 10000 && start.Add(now).Sub(packet.LastCopyAt()) <= maxTimelyWait {
				servedInTime++
			}
		}
	}
	return float64(servedInTime) / float64(fresh)
}

// popOldest serves packets in order of arrival, for comparison.
func popOldest(b Backlog, _ time.Time) (landing.QueuedPacket, Backlog, bool) {
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

// servedInVain simulates an upstream with 3 slots of 25 ms whose 300 callers come back within 200 ms, and
// send copies after 200 and 600 ms. They wait for 800 ms for a response. For 2 s a fresh caller arrives
// every 12 ms. It returns how many callers were served after they had given up, and how many in time.
func servedInVain(waitLimit func(earlierCopies uint32) time.Duration) (int, int) {
	const (
		slots          = 3
		requestTime    = 25 * time.Millisecond
		requestTimeout = 800 * time.Millisecond
		callers        = 300
	)
	firstCopies := map[time.Duration][]uint32{}
	for i := range uint32(callers) {
		at := time.Duration(i) * 200 * time.Millisecond / callers
		firstCopies[at.Truncate(time.Millisecond)] = append(firstCopies[at.Truncate(time.Millisecond)], i)
	}
	for i := range uint32(160) {
		at := time.Duration(i) * 12 * time.Millisecond
		firstCopies[at] = append(firstCopies[at], callers+i)
	}
	var b Backlog
	var busyUntil []time.Duration
	isServed := map[uint32]bool{}
	inVain, inTime := 0, 0
	for now := time.Duration(0); now < 4*time.Second; now += time.Millisecond {
		for copies := range uint32(3) {
			for _, caller := range firstCopies[now-sentAfter(copies)] {
				if !isServed[caller] {
					b = b.With(queuedPacket(caller, 2, now).WithWaitLimit(waitLimit(copies)))
				}
			}
		}
		b, _ = b.Prune(Limit(slots, requestTime, MaxWaitSinceLastCopy), start.Add(now))
		for len(busyUntil) > 0 && busyUntil[0] <= now {
			busyUntil = busyUntil[1:]
		}
		for len(busyUntil) < slots && b.Len() > 0 {
			var packet landing.QueuedPacket
			packet, b, _ = b.Pop(start.Add(now))
			busyUntil = append(busyUntil, now+requestTime)
			caller := packet.Key().SourcePort()
			isServed[caller] = true
			firstCopyAt := time.Duration(caller) * 200 * time.Millisecond / callers
			if caller >= callers {
				firstCopyAt = time.Duration(caller-callers) * 12 * time.Millisecond
			}
			if now+requestTime > firstCopyAt.Truncate(time.Millisecond)+requestTimeout {
				inVain++
			} else {
				inTime++
			}
		}
	}
	return inVain, inTime
}

// Callers of one deployment give up after 800 ms, which is 200 ms after their last copy. An upstream whose
// queue kept that copy for 800 ms served callers that had gone (deployment ringwright-lb).
func TestWaitLimit_FollowsTimeoutOfCallers(t *testing.T) {
	is := is.New(t)
	inVainBefore, inTimeBefore := servedInVain(func(uint32) time.Duration { return MaxWaitSinceLastCopy })
	inVain, inTime := servedInVain(func(copies uint32) time.Duration {
		return WaitLimit(copies, 800*time.Millisecond, 25*time.Millisecond)
	})
	t.Logf("served in vain %d, in time %d; with the same limit for all %d, %d", inVain, inTime, inVainBefore, inTimeBefore)
	is.True(inVainBefore > 0)
	is.Equal(inVain, 0)
	is.True(inTime >= inTimeBefore)
}

func TestWaitLimit_WithoutTimeout(t *testing.T) {
	is := is.New(t)
	is.Equal(WaitLimit(2, 0, time.Second), MaxWaitSinceLastCopy)
	is.Equal(WaitLimit(2, 500*time.Millisecond, 0), time.Duration(0))
}
