// Package backlog decides which opening packets (SYNs of new flows) wait for a free slot of their
// upstream, and in which order. The slots of an upstream are the requests that it can process at
// once.
//
// It is designed for more requests than all upstreams can process: for seconds, because many callers
// come or upstreams are slow, or for a moment, when all callers come back after an outage. If every
// packet waited, every response would be late. So a packet waits if its request will probably begin
// early enough for a timely response. A packet that can only be answered late waits for slots that
// timely packets leave free. The time for which it may wait decreases as the utilization of the
// upstream increases (DecideWait). All other packets are refused at once.
//
// Timely packets are served in the order of the times until which their requests must begin. For the
// packets of one listener this is about the order of the callers' first copies. Each was let in with
// an expected wait that later packets must not lengthen. The others, and all packets of listeners
// without a response aim, are served newest first: new requests can still be answered in time, while
// older ones have become late (adaptive LIFO, as in Maurer, "Fail at Scale", 2015).
//
// Higher priorities go first. When they alone need more than the slots, each lower priority whose packets
// wait gets at least one start in ten (docs/design/priorities.md).
package backlog

import (
	"slices"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/selection"
)

const (
	// MaxWaitSinceLastCopy is the longest time for which a packet waits after its last copy
	// arrived. A caller that gets no response retransmits its opening packet 200 and 600 ms after
	// the first transmission (each transmission is a copy), and gives up 800 ms after the last one.
	MaxWaitSinceLastCopy = 800 * time.Millisecond
	// secondCopyAfter and thirdCopyAfter are the times after the first transmission at which a caller
	// sends the second and the third copy.
	secondCopyAfter = 200 * time.Millisecond
	thirdCopyAfter  = 600 * time.Millisecond
	// attemptTime is the time after the first transmission until which a SYN+ACK must be sent. It is the 1.4 s
	// after which a caller gives up an attempt to open a flow, less 50 ms for the way of the SYN+ACK.
	attemptTime = 1350 * time.Millisecond
	// minCopyInterval is the shortest time after which a caller sends the next copy of its opening
	// packet.
	minCopyInterval = secondCopyAfter
)

// Backlog is the set of waiting packets, at most one for each flow. It is immutable.
type Backlog struct {
	packets []landing.QueuedPacket
	// shares is the account of starts by which lower priorities get their minimum share.
	shares Shares
}

// Len returns the number of waiting packets.
func (b Backlog) Len() int {
	return len(b.packets)
}

// TimelyUntil returns the time until which a request must begin so that its response is timely, when
// the copy with this number of earlier copies arrives now. It is the zero time when responseAim, the
// time within which the caller should get the response, is 0 (not stated).
func TimelyUntil(earlierCopies uint32, responseAim, requestTime time.Duration, now time.Time) time.Time {
	if responseAim <= 0 {
		return time.Time{}
	}
	return now.Add(responseAim - sentAfter(earlierCopies) - requestTime)
}

// CountTimely returns the number of waiting packets whose responses are timely if their requests begin now.
func (b Backlog) CountTimely(now time.Time) int {
	count := 0
	for _, packet := range b.packets {
		if IsTimely(packet, now) {
			count++
		}
	}
	return count
}

// UsefulUntil returns the time until which a request must begin so that its caller gets a response, when
// the copy with this number of earlier copies arrives now. The SYN+ACK must be sent within attemptTime, and
// the response must arrive within requestTimeout, of the first copy. A requestTimeout of 0 is not stated.
func UsefulUntil(earlierCopies uint32, requestTimeout, requestTime time.Duration, now time.Time) time.Time {
	limit := attemptTime
	if requestTimeout > 0 {
		limit = min(limit, requestTimeout-requestTime)
	}
	return now.Add(limit - sentAfter(earlierCopies))
}

// WaitLimit returns the longest time for which a packet with this number of earlier copies waits after
// its arrival. If its request began later, the response, which takes the upstream requestTime, would
// arrive after the caller has stopped waiting: requestTimeout after the first copy (0: not stated). A
// limit of 0 means that the packet must be refused at once.
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
	serviceTime := selection.Upstream{RequestTime: requestTime}.ServiceTime()
	return max(int(time.Duration(slots)*waitLimit/serviceTime), 1)
}

// Has reports whether a packet of the flow waits.
func (b Backlog) Has(key landing.FlowKey) bool {
	return slices.ContainsFunc(b.packets, func(packet landing.QueuedPacket) bool { return packet.Key() == key })
}

// With returns the backlog with one more packet. A copy replaces the earlier packet of the same
// flow.
func (b Backlog) With(packet landing.QueuedPacket) Backlog {
	return Backlog{packets: append(b.without(packet.Key()), packet), shares: b.shares}.recorded(packet.LastCopyAt())
}

// WithRefused returns the backlog after a packet of this priority was refused. Its level then contends for
// its share of the starts.
func (b Backlog) WithRefused(priority uint32, now time.Time) Backlog {
	b = b.recorded(now)
	b.shares = b.shares.WithRefused(priority, now)
	return b
}

// recorded returns the backlog whose account has an entry for each waiting packet, seen now. An entry that
// has not been seen for contentionWindow can be dropped from the account.
func (b Backlog) recorded(now time.Time) Backlog {
	for _, packet := range b.packets {
		if !b.shares.isRecorded(packet.Priority(), now) {
			b.shares = b.shares.WithWaiting(packet.Priority(), now)
		}
	}
	return b
}

// Next returns the packet to serve now, and whether it goes before packets of a higher priority because
// the share of its own is due. It returns false when the backlog is empty.
func (b Backlog) Next(now time.Time) (packet landing.QueuedPacket, byShare, found bool) {
	if len(b.packets) == 0 {
		return landing.QueuedPacket{}, false, false
	}
	var best [maxLevels]landing.QueuedPacket
	var isWaiting [maxLevels]bool
	for _, packet := range b.packets {
		i := b.shares.find(packet.Priority())
		if !isWaiting[i] || isServedBefore(packet, best[i], now) {
			best[i], isWaiting[i] = packet, true
		}
	}
	i := b.shares.next(&isWaiting, now)
	return best[i], slices.Index(isWaiting[:], true) < i, true
}

// WithStart returns the backlog after the request of this packet, which Next returned together with byShare,
// has begun.
func (b Backlog) WithStart(packet landing.QueuedPacket, byShare bool, now time.Time) Backlog {
	b.shares = b.recorded(now).shares.WithWaiting(packet.Priority(), now)
	var isWaiting [maxLevels]bool
	for _, waiting := range b.packets {
		isWaiting[b.shares.find(waiting.Priority())] = true
	}
	return Backlog{packets: b.without(packet.Key()), shares: b.shares.WithStart(packet.Priority(), byShare, &isWaiting, now)}
}

// Pop returns the packet to serve now and the backlog without it. It returns false when the backlog
// is empty.
func (b Backlog) Pop(now time.Time) (landing.QueuedPacket, Backlog, bool) {
	packet, byShare, found := b.Next(now)
	if !found {
		return packet, b, false
	}
	return packet, b.WithStart(packet, byShare, now), true
}

// Prune returns the backlog without the packets that have waited for longer than their limit. It also
// removes packets of listeners without a response aim that are not among the first limit packets to be
// served. Packets of listeners with an aim are not limited by number, since DecideWait has decided for each
// of them that it will probably be served.
//
// The second result holds the packets that were removed because of their number and must be refused.
// It does not contain those whose caller may already have sent the next copy (MayReturn).
func (b Backlog) Prune(limit int, now time.Time) (Backlog, []landing.QueuedPacket) {
	hasExpired := func(packet landing.QueuedPacket) bool { return now.Sub(packet.LastCopyAt()) > packet.WaitLimit() }
	if len(b.packets) <= limit && !slices.ContainsFunc(b.packets, hasExpired) {
		return b, nil
	}
	shares := b.recorded(now).shares
	for _, packet := range b.packets {
		if hasExpired(packet) {
			shares = shares.WithRefused(packet.Priority(), now)
		}
	}
	kept := slices.DeleteFunc(slices.Clone(b.packets), hasExpired)
	b = Backlog{packets: kept, shares: shares}
	if len(kept) <= limit {
		return b, nil
	}
	kept = b.inOrder(now)
	rest, refused := kept[:limit:limit], []landing.QueuedPacket(nil)
	for _, packet := range kept[limit:] {
		if !packet.TimelyUntil().IsZero() {
			rest = append(rest, packet)
			continue
		}
		shares = shares.WithRefused(packet.Priority(), now)
		if MayReturn(packet.LastCopyAt(), now) {
			refused = append(refused, packet)
		}
	}
	return Backlog{packets: rest, shares: shares}, refused
}

// inOrder returns the packets in the order in which they are served if no other arrives.
func (b Backlog) inOrder(now time.Time) []landing.QueuedPacket {
	sorted := slices.Clone(b.packets)
	slices.SortStableFunc(sorted, func(a, b landing.QueuedPacket) int {
		switch {
		case isServedBefore(a, b, now):
			return -1
		case isServedBefore(b, a, now):
			return 1
		}
		return 0
	})
	var queues [maxLevels][]landing.QueuedPacket
	for _, packet := range sorted {
		i := b.shares.find(packet.Priority())
		queues[i] = append(queues[i], packet)
	}
	var counts [maxLevels]int
	for i, queue := range queues {
		counts[i] = len(queue)
	}
	order := sorted[:0:0]
	b.simulate(counts, now, func(i int) bool {
		order = append(order, queues[i][0])
		queues[i] = queues[i][1:]
		return true
	})
	return order
}

// simulate calls visit with the entry of the account that is served, for each start until all packets have
// been served or visit returns false. Counts holds the number of waiting packets of each entry.
func (b Backlog) simulate(counts [maxLevels]int, now time.Time, visit func(entry int) bool) {
	shares := b.shares
	for {
		var isWaiting [maxLevels]bool
		for i, count := range counts {
			isWaiting[i] = count > 0
		}
		i := shares.next(&isWaiting, now)
		if i < 0 || !visit(i) {
			return
		}
		shares = shares.WithStart(shares.levels[i].priority, slices.Index(isWaiting[:], true) < i, &isWaiting, now)
		counts[i]--
	}
}

// MayReturn reports whether a packet whose last copy arrived at this time may be returned to its balancer,
// which then may reset the flow. After minCopyInterval the caller may have sent the next copy, which may
// have opened the flow at another sidecar.
func MayReturn(lastCopyAt, now time.Time) bool {
	return now.Sub(lastCopyAt) < minCopyInterval
}

// IsTimely reports whether the response to the packet's request is timely if the request begins now.
func IsTimely(packet landing.QueuedPacket, now time.Time) bool {
	return now.Before(packet.TimelyUntil())
}

// isServedBefore reports whether a is served before b if no share is due: the higher priority (lower number)
// first, then timely packets, of these the one that must begin earlier, then the newer packet.
func isServedBefore(a, b landing.QueuedPacket, now time.Time) bool {
	if a.Priority() != b.Priority() {
		return a.Priority() < b.Priority()
	}
	isTimelyA, isTimelyB := IsTimely(a, now), IsTimely(b, now)
	switch {
	case isTimelyA != isTimelyB:
		return isTimelyA
	case isTimelyA:
		return a.TimelyUntil().Before(b.TimelyUntil())
	}
	return a.LastCopyAt().After(b.LastCopyAt())
}

// Without returns the backlog without the packet of this flow, if there is one.
func (b Backlog) Without(key landing.FlowKey) Backlog {
	if !b.Has(key) {
		return b
	}
	b.packets = b.without(key)
	return b
}

func (b Backlog) without(key landing.FlowKey) []landing.QueuedPacket {
	return slices.DeleteFunc(slices.Clone(b.packets), func(packet landing.QueuedPacket) bool { return packet.Key() == key })
}
