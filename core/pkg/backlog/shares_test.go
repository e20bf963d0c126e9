package backlog

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

func ExampleBacklog_Next() {
	b := Backlog{}.With(timelyPacket(100, 2)).WithRefused(2, start)
	for port := range uint32(12) {
		b = b.With(timelyPacket(port, 1))
	}
	for b.Len() > 0 {
		packet, byShare, _ := b.Next(start)
		b = b.WithStart(packet, byShare, start)
		fmt.Print(packet.Priority(), " ")
	}
	// Output:
	// 1 1 1 1 1 1 1 1 1 2 1 1 1
}

// Whichever balancer forwarded a packet: the order and the expected wait are the same.
func TestNext_DoesNotDependOnBalancer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b, other Backlog
		for port := range uint32(rapid.IntRange(0, 40).Draw(t, "waiting")) {
			packet := drawPacket(t, port)
			balancer := rapid.Uint64Range(1, 4).Draw(t, "balancer")
			b = b.With(packet)
			other = other.With(packet.WithForwardedPacket(landing.ForwardedPacket{}.WithBalancerAddress(balancer)))
		}
		arriving := drawPacket(t, 1000)
		from := arriving.WithForwardedPacket(landing.ForwardedPacket{}.WithBalancerAddress(9))
		if DecideWait(b, arriving, busyUpstream, 0.7, start) != DecideWait(other, from, busyUpstream, 0.7, start) {
			t.Fatal("the decision depends on the balancer")
		}
		for b.Len() > 0 {
			var packet, otherPacket landing.QueuedPacket
			packet, b, _ = b.Pop(start)
			otherPacket, other, _ = other.Pop(start)
			if packet.Key() != otherPacket.Key() {
				t.Fatal("the order depends on the balancer")
			}
		}
	})
}

func drawPacket(t *rapid.T, port uint32) landing.QueuedPacket {
	packet := queuedPacket(port, rapid.Uint32Range(0, 3).Draw(t, "priority"), time.Duration(port)*time.Millisecond)
	if rapid.Bool().Draw(t, "has aim") {
		packet = packet.WithTimelyUntil(start.Add(time.Duration(port+100) * time.Millisecond))
	}
	return packet
}

// Guards against levels without their tenth, whatever priorities are stated: while packets of all levels wait and
// all contend, each has a tenth of the starts, evenly in time. Of more than ten levels, those from the tenth on
// share one.
func TestNext_EachLevelHasItsTenth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		priorities := rapid.SliceOfNDistinct(rapid.Uint32(), 1, 14, rapid.ID[uint32]).Draw(t, "priorities")
		var b Backlog
		for i, priority := range priorities {
			b = b.With(queuedPacket(uint32(i), priority, 0)).WithRefused(priority, start)
		}
		const starts = 200
		startsAt := map[uint32][]int{}
		for n := range starts {
			packet, byShare, _ := b.Next(start)
			b = b.WithStart(packet, byShare, start).With(packet)
			startsAt[packet.Priority()] = append(startsAt[packet.Priority()], n)
		}
		slices.Sort(priorities)
		for i, priority := range priorities {
			if len(priorities) > maxLevels && i >= maxLevels-1 {
				break
			}
			if len(startsAt[priority]) < starts/shareDivisor-2 {
				t.Fatalf("priority %d has %d starts", priority, len(startsAt[priority]))
			}
			for j, n := range startsAt[priority][1:] {
				if n-startsAt[priority][j] > 2*shareDivisor {
					t.Fatalf("priority %d has starts %v", priority, startsAt[priority])
				}
			}
		}
	})
}

// Guards against a level that is dropped from the account, or stays without an entry of its own, although its
// packets wait for longer than the account remembers levels.
func TestNext_ServesLevelsNotSeenLately(t *testing.T) {
	is := is.New(t)
	b := Backlog{}
	for priority := range uint32(maxLevels + 4) {
		b = b.With(queuedPacket(priority, 10+priority, 0))
	}
	b = b.With(queuedPacket(100, 50, 2*contentionWindow))
	for count := b.Len(); count > 0; count-- {
		var found bool
		_, b, found = b.Pop(start.Add(3 * contentionWindow))
		is.True(found)
	}
	is.Equal(b.Len(), 0)
}

// Guards against a crash of the sidecar: a packet that was withdrawn took the account of all priorities with it, and
// the next packet had no entry (two processes on luchtmeet-lb-grown, day trouble-1).
func TestBacklog_AnyOrderOfChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Backlog
		now := start
		for range rapid.IntRange(1, 80).Draw(t, "changes") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			port := rapid.Uint32Range(0, 9).Draw(t, "port")
			before := b.Len()
			switch rapid.IntRange(0, 5).Draw(t, "change") {
			case 0, 1:
				b = b.With(drawPacket(t, port).WithLastCopyAt(now.Add(-time.Duration(rapid.IntRange(0, 900).Draw(t, "age")) * time.Millisecond)))
			case 2:
				b = b.Without(drawPacket(t, port).Key())
			case 3:
				b, _ = b.Prune(rapid.IntRange(0, 10).Draw(t, "limit"), now)
			case 4:
				b = b.WithRefused(rapid.Uint32Range(0, 3).Draw(t, "priority"), now)
			case 5:
				_, after, found := b.Pop(now)
				if found != (before > 0) || found && after.Len() != before-1 {
					t.Fatalf("%d packets before, %d after", before, after.Len())
				}
				b = after
			}
			DecideWait(b, drawPacket(t, 100), busyUpstream, 0.5, now)
		}
	})
}
