package backlog

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

var start = time.Unix(1000, 0)

func wait(port uint32, priority uint32, at time.Duration) landing.QueuedPacket {
	return landing.QueuedPacket{}.
		WithKey(landing.FlowKey{}.WithSourcePort(port)).
		WithPriority(priority).
		WithLastCopyAt(start.Add(at))
}

func ExampleBacklog() {
	b := Backlog{}.With(wait(1, 2, 0)).With(wait(2, 2, time.Millisecond)).With(wait(3, 1, 0))
	for b.Len() > 0 {
		var w landing.QueuedPacket
		w, b, _ = b.Pop()
		fmt.Println(w.Key().SourcePort())
	}
	// Output:
	// 3
	// 2
	// 1
}

func TestCopyTakesThePlaceOfItsPacket(t *testing.T) {
	is := is.New(t)
	b := Backlog{}.With(wait(1, 2, 0)).With(wait(1, 2, 200*time.Millisecond))
	is.Equal(b.Len(), 1)
	kept, refused := b.Prune(10, start.Add(900*time.Millisecond))
	is.Equal(kept.Len(), 1)
	is.Equal(len(refused), 0)
}

func TestCallersThatHaveGivenUpAreForgottenAndNotRefused(t *testing.T) {
	is := is.New(t)
	kept, refused := Backlog{}.With(wait(1, 2, 0)).Prune(10, start.Add(MaxWaitSinceLastCopy+time.Millisecond))
	is.Equal(kept.Len(), 0)
	is.Equal(len(refused), 0)
}

func TestFeedsAreRefusedBeforeConfirmations(t *testing.T) {
	is := is.New(t)
	b := Backlog{}
	for i := range uint32(10) {
		b = b.With(wait(i, 1+i%2, time.Duration(i)*time.Millisecond))
	}
	_, refused := b.Prune(5, start.Add(10*time.Millisecond))
	is.Equal(len(refused), 5)
	for _, w := range refused {
		is.Equal(w.Priority(), uint32(2))
	}
}

// replay plays the return after an outage at one upstream with 8 slots of 90 ms: 120 late callers within 400 ms, and
// a fresh one every 14 ms for 2 s. It returns the share of the fresh ones that wait less than 150 ms.
func replay(next func(Backlog) (landing.QueuedPacket, Backlog, bool)) float64 {
	const (
		slots   = 8
		service = 90 * time.Millisecond
		inTime  = 150 * time.Millisecond
	)
	var b Backlog
	busy := []time.Duration{}
	fresh, served, late := 0, 0, 0
	for now := time.Duration(0); now < 3*time.Second; now += time.Millisecond {
		if late < 120 && now%(400*time.Millisecond/120) < time.Millisecond {
			late++
			b = b.With(wait(uint32(10000+late), 2, now))
		}
		if now < 2*time.Second && now%(14*time.Millisecond) == 0 {
			fresh++
			b = b.With(wait(uint32(fresh), 2, now))
		}
		b, _ = b.Prune(Limit(slots, service), start.Add(now))
		for len(busy) > 0 && busy[0] <= now {
			busy = busy[1:]
		}
		for len(busy) < slots && b.Len() > 0 {
			var w landing.QueuedPacket
			w, b, _ = next(b)
			busy = append(busy, now+service)
			if w.Key().SourcePort() < 10000 && start.Add(now).Sub(w.LastCopyAt()) <= inTime {
				served++
			}
		}
	}
	return float64(served) / float64(fresh)
}

func oldestFirst(b Backlog) (landing.QueuedPacket, Backlog, bool) {
	w := b.waits[0]
	return w, Backlog{waits: b.waits[1:]}, true
}

func TestFreshCallersAreServedInTimeWhileLateOnesComeBack(t *testing.T) {
	is := is.New(t)
	is.True(replay(oldestFirst) < 0.5)
	is.True(replay(Backlog.Pop) > 0.8)
}

// The copy of a packet that has waited for 200 ms may have opened the flow at another sidecar by now.
func TestPacketWhoseCopyMayHaveOpenedTheFlowIsNotRefused(t *testing.T) {
	is := is.New(t)
	kept, refused := Backlog{}.With(wait(1, 2, 0)).With(wait(2, 2, 0)).Prune(1, start.Add(copyAfter))
	is.Equal(kept.Len(), 1)
	is.Equal(len(refused), 0)
}
