// Package backlog orders the opening packets (SYNs of new flows) that wait for a free slot of their
// upstream. The slots of an upstream are the requests that it can process at once.
//
// After an outage all callers come back within a second. Most of their requests can no longer be
// served in time (late requests), while fresh requests, which still can, keep arriving. Served in
// order of arrival, every fresh request would wait behind late ones and become late as well. So
// within a priority the newest packet is served first (adaptive LIFO, as in Maurer, "Fail at
// Scale", 2015), and older packets get the remaining capacity until their caller gives up. Packets
// that cannot be served by then are refused at once.
package backlog

import (
	"slices"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

const (
	// MaxWaitSinceLastCopy is the longest time for which a packet waits after its last copy
	// arrived. A caller that gets no response retransmits its opening packet 200 and 600 ms after
	// the first transmission (each transmission is a copy), and gives up 800 ms after the last one.
	MaxWaitSinceLastCopy = 800 * time.Millisecond
	// secondCopyAfter and thirdCopyAfter are the times after the first transmission at which a caller
	// sends the copies.
	secondCopyAfter = 200 * time.Millisecond
	thirdCopyAfter  = 600 * time.Millisecond
	// minCopyInterval is the shortest time after which a caller sends the next copy of its opening
	// packet.
	minCopyInterval = secondCopyAfter
	// assumedRequestTime is the processing time that is assumed for a request until one has been
	// measured.
	assumedRequestTime = 50 * time.Millisecond
)

// Backlog is the set of waiting packets, at most one for each flow. It is immutable.
type Backlog struct {
	packets []landing.QueuedPacket
}

// Len returns the number of waiting packets.
func (b Backlog) Len() int {
	return len(b.packets)
}

// WaitLimit returns the longest time for which a packet with this number of earlier copies waits. A
// request that begins later takes longer than its caller waits for the response: requestTimeout after
// the first copy, or not stated if that is 0. RequestTime is the time that the upstream takes for a
// request. At 0 the packet must be refused at once.
func WaitLimit(earlierCopies uint32, requestTimeout, requestTime time.Duration) time.Duration {
	if requestTimeout <= 0 {
		return MaxWaitSinceLastCopy
	}
	return min(max(requestTimeout-sentAfter(earlierCopies)-requestTime, 0), MaxWaitSinceLastCopy)
}

// sentAfter returns the time from the first transmission of an opening packet to the copy before
// which this number of copies was sent.
func sentAfter(earlierCopies uint32) time.Duration {
	switch earlierCopies {
	case 0:
		return 0
	case 1:
		return secondCopyAfter
	default:
		return thirdCopyAfter
	}
}

// Limit returns the number of packets that an upstream can serve within waitLimit, at least 1. The
// upstream processes as many requests at once as it has slots, and each takes requestTime. A
// requestTime of 0 means that it has not been measured yet.
func Limit(slots uint32, requestTime, waitLimit time.Duration) int {
	if requestTime <= 0 {
		requestTime = assumedRequestTime
	}
	return max(int(time.Duration(slots)*waitLimit/requestTime), 1)
}

// With returns the backlog with one more packet. A copy replaces the earlier packet of the same
// flow.
func (b Backlog) With(packet landing.QueuedPacket) Backlog {
	return Backlog{packets: append(b.without(packet.Key()), packet)}
}

// Pop returns the packet to serve next and the backlog without it. It returns false when the
// backlog is empty.
func (b Backlog) Pop() (landing.QueuedPacket, Backlog, bool) {
	if len(b.packets) == 0 {
		return landing.QueuedPacket{}, b, false
	}
	best := b.packets[0]
	for _, packet := range b.packets[1:] {
		if isServedBefore(packet, best) {
			best = packet
		}
	}
	return best, Backlog{packets: b.without(best.Key())}, true
}

// Prune returns the backlog without the packets whose callers have given up, and with at most limit
// packets. Beyond the limit it removes packets of the lowest priority first, and of these the
// oldest.
//
// It also returns the packets that it removed because of the limit and that must be refused.
// Packets whose caller may already have sent the next copy are removed without being returned,
// since that copy may have opened the flow at another sidecar.
func (b Backlog) Prune(limit int, now time.Time) (Backlog, []landing.QueuedPacket) {
	kept := slices.DeleteFunc(slices.Clone(b.packets), func(packet landing.QueuedPacket) bool {
		return now.Sub(packet.LastCopyAt()) > packet.WaitLimit()
	})
	if len(kept) <= limit {
		return Backlog{packets: kept}, nil
	}
	slices.SortFunc(kept, func(a, b landing.QueuedPacket) int {
		if isServedBefore(a, b) {
			return -1
		}
		return 1
	})
	refused := slices.DeleteFunc(slices.Clone(kept[limit:]), func(packet landing.QueuedPacket) bool {
		return now.Sub(packet.LastCopyAt()) >= minCopyInterval
	})
	return Backlog{packets: kept[:limit:limit]}, refused
}

// isServedBefore reports whether a is served before b: the higher priority (lower number) first,
// then the newer packet.
func isServedBefore(a, b landing.QueuedPacket) bool {
	if a.Priority() != b.Priority() {
		return a.Priority() < b.Priority()
	}
	return a.LastCopyAt().After(b.LastCopyAt())
}

func (b Backlog) without(key landing.FlowKey) []landing.QueuedPacket {
	return slices.DeleteFunc(slices.Clone(b.packets), func(packet landing.QueuedPacket) bool { return packet.Key() == key })
}
