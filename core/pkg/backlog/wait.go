package backlog

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/selection"
)

const (
	// slackDivisor is the part of the slack of a timely packet that its expected wait may take: half.
	// Requests differ in the work that they need, so a wait can be twice as long as expected. When the
	// wait may take all of the slack, three in ten responses are late at 1.3 times the capacity.
	slackDivisor = 2
	// spareFrom is the utilization up to which late packets may wait as long as their
	// callers do. From there the time falls to 0 at full utilization.
	spareFrom = 0.5
)

// DecideWait returns whether the packet waits in the backlog of an upstream with this load, whose
// waiting packets are those of the backlog. Utilization is the part of the upstream's slots that
// requests of listeners with a response aim have used lately (Starts).
func DecideWait(b Backlog, packet landing.QueuedPacket, upstream selection.Upstream, utilization float64, now time.Time) landing.WaitDecision {
	if packet.TimelyUntil().IsZero() {
		return decideWithoutAim(b, packet, upstream)
	}
	upstream.Waiting = b.countBefore(packet, true, now)
	wait := upstream.ExpectedWait()
	left := packet.LastCopyAt().Add(packet.WaitLimit()).Sub(now)
	if slack := packet.TimelyUntil().Sub(now) - upstream.ServiceTime(); wait < left && slackDivisor*wait <= slack {
		return landing.WaitTimely{}.WithExpectedWait(wait)
	}
	upstream.Waiting = b.countBefore(packet, false, now)
	wait = upstream.ExpectedWait()
	if wait < time.Duration(float64(left)*spareShare(utilization)) {
		return landing.WaitLate{}.WithExpectedWait(wait)
	}
	if left > 0 && b.Has(packet.Key()) {
		// The earlier copy would wait on after a refusal of this one.
		return landing.WaitLate{}.WithExpectedWait(wait)
	}
	return landing.RefuseWait{}.WithExpectedWait(wait)
}

// decideWithoutAim lets a packet of a listener without a response aim wait. What does not fit into the
// backlog is pruned, the oldest packet first.
func decideWithoutAim(b Backlog, packet landing.QueuedPacket, upstream selection.Upstream) landing.WaitDecision {
	upstream.Waiting = b.Len()
	if packet.WaitLimit() <= 0 {
		return landing.RefuseWait{}.WithExpectedWait(upstream.ExpectedWait())
	}
	return landing.WaitLate{}.WithExpectedWait(upstream.ExpectedWait())
}

// spareShare returns the part of their time that late packets may wait at this utilization.
func spareShare(utilization float64) float64 {
	return min(max((1-utilization)/(1-spareFrom), 0), 1)
}

// countBefore returns the number of packets that are served before this one, which has just arrived:
// those with a higher priority, and of those with its own priority all or only the timely ones.
func (b Backlog) countBefore(packet landing.QueuedPacket, onlyTimely bool, now time.Time) int {
	count := 0
	for _, other := range b.packets {
		isHigher, isEqual := other.Priority() < packet.Priority(), other.Priority() == packet.Priority()
		if other.Key() != packet.Key() && (isHigher || isEqual && (!onlyTimely || IsTimely(other, now))) {
			count++
		}
	}
	return count
}
