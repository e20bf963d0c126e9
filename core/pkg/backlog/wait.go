package backlog

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/selection"
)

const (
	// slackDivisor sets how long the expected wait of a timely packet may be: half of its slack, the time
	// that remains until its request must begin, less one service time. Requests differ in the work that
	// they need, so a wait can be twice as long as expected. When the wait may take all of the slack, three
	// in ten responses are late at 1.3 times the capacity.
	slackDivisor = 2
	// spareFrom is the utilization up to which late packets may wait as long as their callers do. At higher
	// utilizations that time decreases linearly, to 0 at full utilization.
	spareFrom = 0.4
	// returnTime is the time after the start of an upstream or its sidecar in which late packets may wait as
	// long as their callers do, whatever the utilization: that of two attempts, within which all callers have
	// come back after an outage. The utilization reaches 1 within a second, and refused callers use up their
	// attempts within milliseconds. In the replay of 1.6 s of such requests, 0.196 and 0.168 of them fail
	// without this time, 0.060 and 0.100 with it.
	returnTime = 2 * attemptTime
)

// DecideWait returns whether the packet waits in the backlog of an upstream with this load, and the expected
// wait. Upstream.Waiting is not used: the packets that are served before this one are counted in b.
// Utilization is the part of the upstream's slots that requests of listeners with a response aim have used
// lately (Starts.Utilization, EffectiveUtilization).
func DecideWait(b Backlog, packet landing.QueuedPacket, upstream selection.Upstream, utilization float64, now time.Time) landing.WaitDecision {
	if packet.TimelyUntil().IsZero() {
		return decideWithoutAim(b, packet, upstream, now)
	}
	upstream.Waiting = b.countBefore(packet, true, now)
	wait := upstream.ExpectedWait()
	lapsesAfter := packet.LastCopyAt().Add(packet.WaitLimit()).Sub(now)
	if slack := packet.TimelyUntil().Sub(now) - upstream.ServiceTime(); wait < lapsesAfter && slackDivisor*wait <= slack {
		return landing.WaitTimely{}.WithExpectedWait(wait)
	}
	upstream.Waiting = b.countBefore(packet, false, now)
	wait = upstream.ExpectedWait()
	usefulFor := packet.UsefulUntil().Sub(now)
	if wait < time.Duration(float64(usefulFor)*spareShare(utilization)) {
		return landing.WaitLate{}.WithExpectedWait(wait)
	}
	if usefulFor > 0 && b.Has(packet.Key()) {
		// A refusal of this copy would leave the earlier one in the backlog.
		return landing.WaitLate{}.WithExpectedWait(wait)
	}
	return landing.RefuseWait{}.WithExpectedWait(wait)
}

// decideWithoutAim decides about a packet of a listener without a response aim. It waits if its caller does.
// Prune bounds the number of such packets.
func decideWithoutAim(b Backlog, packet landing.QueuedPacket, upstream selection.Upstream, now time.Time) landing.WaitDecision {
	upstream.Waiting = b.countBefore(packet, false, now)
	if packet.WaitLimit() <= 0 {
		return landing.RefuseWait{}.WithExpectedWait(upstream.ExpectedWait())
	}
	return landing.WaitLate{}.WithExpectedWait(upstream.ExpectedWait())
}

// AsLate returns a packet that waits as late. It is not served before packets that wait as timely, although its
// response could still be timely: their expected wait does not count it.
func AsLate(packet landing.QueuedPacket, now time.Time) landing.QueuedPacket {
	if packet.TimelyUntil().IsZero() {
		return packet
	}
	return packet.WithTimelyUntil(now)
}

// EffectiveUtilization returns the utilization to pass to DecideWait for an upstream that has been serving
// since this time: 0 for returnTime, and then the measured one.
func EffectiveUtilization(utilization float64, servingSince, now time.Time) float64 {
	if now.Sub(servingSince) < returnTime {
		return 0
	}
	return utilization
}

// spareShare returns the part of the time for which their callers wait that late packets may wait at this
// utilization, from 0 to 1.
func spareShare(utilization float64) float64 {
	return min(max((1-utilization)/(1-spareFrom), 0), 1)
}

// countBefore returns the number of packets that are served before this one, which has just arrived, if no
// other arrives. It simulates the order between priorities with their shares. Of the packet's own priority
// all other packets count, or only the timely ones.
func (b Backlog) countBefore(packet landing.QueuedPacket, onlyTimely bool, now time.Time) int {
	b.shares = b.recorded(now).shares.WithWaiting(packet.Priority(), now)
	own := b.shares.find(packet.Priority())
	var counts [maxLevels]int
	hasOtherLevel := false
	for _, other := range b.packets {
		if other.Key() == packet.Key() {
			continue
		}
		i := b.shares.find(other.Priority())
		hasOtherLevel = hasOtherLevel || i != own
		isAfter := other.Priority() > packet.Priority() || other.Priority() == packet.Priority() && onlyTimely && !IsTimely(other, now)
		if i != own || !isAfter {
			counts[i]++
		}
	}
	if !hasOtherLevel {
		return counts[own]
	}
	counts[own]++
	ahead := 0
	b.simulate(counts, now, func(i int) bool {
		if i == own {
			counts[own]--
			if counts[own] == 0 {
				return false
			}
		}
		ahead++
		return true
	})
	return ahead
}
