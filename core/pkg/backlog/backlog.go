// Package backlog orders opening packets that wait for a free slot of their upstream.
//
// It answers the load after an outage: all callers come back within a second, most of them with requests that are
// late whatever happens, while fresh ones arrive that can still be served in time. Served in order of arrival,
// every fresh request waits behind late ones and is late as well. So within a priority the newest is served first
// (adaptive LIFO, as in Maurer, "Fail at Scale", 2015), and the old ones take what is left until their caller's
// attempt ends. What cannot be served by then is refused at once.
package backlog

import (
	"slices"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

const (
	// MaxWaitSinceLastCopy is the longest time for which an opening packet waits after its last copy: a caller sends copies
	// 200 and 600 ms after the first and gives up 800 ms after the last.
	MaxWaitSinceLastCopy = 800 * time.Millisecond
	// copyAfter is the time after which a caller sends the next copy of its opening packet.
	copyAfter = 200 * time.Millisecond
	// guess is the time that an upstream is taken to need for a request before any was measured.
	guess = 50 * time.Millisecond
)

// Backlog is the set of opening packets that wait. It is immutable.
type Backlog struct {
	waits []landing.QueuedPacket
}

// Len returns the number of packets that wait.
func (b Backlog) Len() int {
	return len(b.waits)
}

// Limit returns the number of packets that an upstream with these slots, each of which needs this time for a request,
// can serve before their callers give up.
func Limit(slots uint32, usual time.Duration) int {
	if usual <= 0 {
		usual = guess
	}
	return max(int(time.Duration(slots)*MaxWaitSinceLastCopy/usual), 1)
}

// With returns the backlog with one more packet. A copy takes the place of the packet that it repeats.
func (b Backlog) With(w landing.QueuedPacket) Backlog {
	return Backlog{waits: append(b.without(w.Key()), w)}
}

// Pop returns the packet that is served next, and the backlog without it.
func (b Backlog) Pop() (landing.QueuedPacket, Backlog, bool) {
	if len(b.waits) == 0 {
		return landing.QueuedPacket{}, b, false
	}
	best := b.waits[0]
	for _, w := range b.waits[1:] {
		if isBefore(w, best) {
			best = w
		}
	}
	return best, Backlog{waits: b.without(best.Key())}, true
}

// Prune returns the backlog without those whose callers have given up, and with at most limit packets. Those beyond it
// go: of the lowest priority first, and of these the oldest. They are returned to be refused, but for those of which a
// copy may already have opened the flow elsewhere.
func (b Backlog) Prune(limit int, now time.Time) (Backlog, []landing.QueuedPacket) {
	kept := slices.DeleteFunc(slices.Clone(b.waits), func(w landing.QueuedPacket) bool {
		return now.Sub(w.LastCopyAt()) > MaxWaitSinceLastCopy
	})
	if len(kept) <= limit {
		return Backlog{waits: kept}, nil
	}
	slices.SortFunc(kept, func(a, b landing.QueuedPacket) int {
		if isBefore(a, b) {
			return -1
		}
		return 1
	})
	refused := slices.DeleteFunc(slices.Clone(kept[limit:]), func(w landing.QueuedPacket) bool {
		return now.Sub(w.LastCopyAt()) >= copyAfter
	})
	return Backlog{waits: kept[:limit:limit]}, refused
}

// isBefore says whether a is served before b.
func isBefore(a, b landing.QueuedPacket) bool {
	if a.Priority() != b.Priority() {
		return a.Priority() < b.Priority()
	}
	return a.LastCopyAt().After(b.LastCopyAt())
}

func (b Backlog) without(k landing.FlowKey) []landing.QueuedPacket {
	return slices.DeleteFunc(slices.Clone(b.waits), func(w landing.QueuedPacket) bool { return w.Key() == k })
}
