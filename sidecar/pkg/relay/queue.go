package relay

import (
	"math"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
	"github.com/crocuslanding/crocuslanding/core/pkg/backlog"
	"github.com/crocuslanding/crocuslanding/core/pkg/clock"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
)

// headroomDivisor sets how many flows are admitted beyond the number of slots: slots/headroomDivisor, but at
// least 1. Without them a slot would be idle between a response and the next request, for a handshake and two
// network transits.
const headroomDivisor = 4

// isUpstreamFull reports whether the slots of the upstream and the headroom are in use. It returns false if
// the upstream has not reported any slots.
func (f *Forwarder) isUpstreamFull(s Snapshot, now time.Time) bool {
	slots := int(s.upstream.Slots())
	if slots == 0 {
		return false
	}
	return f.table.busySlots(now) >= slots+max(slots/headroomDivisor, 1)
}

// enqueue lets a SYN wait for a free slot or refuses it, as backlog.DecideWait decides, and refuses the SYNs that no
// longer fit into the queue. A SYN that was taken from the queue, and whose slot another one has used meanwhile, is put
// back without a decision; waitingSince is the time since which it has waited, and the zero time for a new SYN.
func (f *Forwarder) enqueue(s Snapshot, forwarded landing.ForwardedPacket, segment landing.Segment, waitingSince, now time.Time) {
	listener, _ := s.policy.Rules().FindListener(segment.Key())
	f.table.withdrawAdmission(segment.Key())
	l, arrivedAt := f.table.load(now), now
	if !waitingSince.IsZero() {
		arrivedAt = waitingSince
	}
	packet := landing.QueuedPacket{}.
		WithForwardedPacket(forwarded).
		WithKey(segment.Key()).
		WithPriority(listener.Priority()).
		WithLastCopyAt(arrivedAt).
		WithWaitLimit(backlog.WaitLimit(segment.EarlierCopies(), listener.RequestTimeout(), l.averageLatency)).
		WithUsefulUntil(backlog.UsefulUntil(segment.EarlierCopies(), listener.RequestTimeout(), l.averageLatency, arrivedAt)).
		WithTimelyUntil(backlog.TimelyUntil(segment.EarlierCopies(), listener.ResponseAim(), l.averageLatency, arrivedAt))
	if !waitingSince.IsZero() {
		f.queue.restore(packet)
		common.Notify(f.queueBlocked)
		return
	}
	limit := math.MaxInt // with a response aim, the decision to wait bounds the queue
	if packet.TimelyUntil().IsZero() {
		limit = backlog.Limit(s.upstream.Slots(), l.averageLatency, packet.WaitLimit())
	}
	decision, refused := f.queue.offer(packet, f.offeredUpstream(s, l, segment.Key(), now), limit, f.servingSince(s), now)
	switch decision := decision.(type) {
	case landing.RefuseWait:
		f.refuseWaiting(packet, l, decision.ExpectedWait())
		return
	case landing.WaitTimely:
		f.telemetry.Counters().Counter("waited_timely").Inc(1)
		f.logWait(packet, l, "timely", decision.ExpectedWait())
	case landing.WaitLate:
		f.telemetry.Counters().Counter("waited_late").Inc(1)
		f.logWait(packet, l, "late", decision.ExpectedWait())
	}
	f.telemetry.Counters().Counter("waited").Inc(1)
	for _, r := range refused {
		f.refuseWaiting(r, l, 0)
	}
	if f.queue.has(segment.Key()) {
		// The balancer sends the caller's next copy to the sidecar that has claimed the flow. Without a claim the copy
		// would go to the first sidecar of the chain, which could admit the flow as well.
		f.claimFromLaterHop(forwarded, segment.Key())
	}
	common.Notify(f.queueBlocked)
}

// servingSince returns the later of two times: the start of this process and the first heartbeat of the upstream's
// current process.
func (f *Forwarder) servingSince(s Snapshot) time.Time {
	if s.upstream.FirstHeartbeat().After(f.startedAt) {
		return s.upstream.FirstHeartbeat()
	}
	return f.startedAt
}

// logWait logs a SYN that waits. The outlook for its response is "timely" or "late".
func (f *Forwarder) logWait(packet landing.QueuedPacket, l upstreamLoad, outlook string, expectedWait time.Duration) {
	f.telemetry.Log().Info("flow waits", "flow", address.FormatFlow(packet.Key()), "priority", packet.Priority(), "outlook", outlook,
		"expected", expectedWait.String(), "running", l.runningRequests, "busy", l.busySlots, "waiting", f.queue.len(), "usual", l.averageLatency.String())
}

// refuseWaiting refuses a SYN because of its expected wait, or one that has waited and no longer fits into the queue, for
// which expectedWait is 0.
func (f *Forwarder) refuseWaiting(packet landing.QueuedPacket, l upstreamLoad, expectedWait time.Duration) {
	f.telemetry.Counters().CountRefusal(landing.RefusalQueue)
	f.telemetry.Log().Info("flow refused", "flow", address.FormatFlow(packet.Key()), "reason", landing.RefusalQueue.String(),
		"priority", packet.Priority(), "expected", expectedWait.String(), "running", l.runningRequests, "busy", l.busySlots,
		"waiting", f.queue.len(), "usual", l.averageLatency.String())
	f.returnToBalancer(packet.ForwardedPacket(), landing.RefusalQueue)
}

// refuse returns a packet to its balancer, which may reset the flow. A SYN that has waited since waitingSince is dropped and
// counted instead if its caller may have sent the next copy, which may have opened the flow elsewhere.
func (f *Forwarder) refuse(forwarded landing.ForwardedPacket, reason landing.Refusal, waitingSince time.Time) {
	if !waitingSince.IsZero() && !backlog.MayReturn(waitingSince, clock.Now()) {
		f.telemetry.Counters().Counter("wait_lapsed").Inc(1)
		return
	}
	f.returnToBalancer(forwarded, reason)
}

// admitOnLapse admits waiting SYNs when a slot becomes free although no packet arrives, because a request or the
// reservation for the first request of an admitted flow has lapsed. It runs until the Forwarder stops.
func (f *Forwarder) admitOnLapse() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-f.stopper.C():
			return
		case <-timer.C:
			f.admitWaiting()
		case <-f.queueBlocked:
			// A slot may have become free after the decision to wait and before the packet was in the queue.
			if !f.isUpstreamFull(f.controlThread.Snapshot(), clock.Now()) {
				f.admitWaiting()
			}
		}
		now := clock.Now()
		if next, found := f.table.nextLapse(now); found && f.queue.len() > 0 {
			timer.Reset(next.Sub(now))
		}
	}
}

// admitWaiting admits waiting SYNs while the upstream has free slots.
func (f *Forwarder) admitWaiting() {
	for f.queue.len() > 0 {
		now := clock.Now()
		if f.isUpstreamFull(f.controlThread.Snapshot(), now) {
			common.Notify(f.queueBlocked)
			return
		}
		packet, byShare, found := f.queue.next(now)
		f.telemetry.Counters().Counter("wait_lapsed").Inc(f.queue.takeLapsed())
		if !found {
			return
		}
		if byShare {
			f.telemetry.Counters().Counter("served_by_share").Inc(1)
			f.telemetry.Log().Info("flow served by share", "flow", address.FormatFlow(packet.Key()), "priority", packet.Priority(),
				"waited", now.Sub(packet.LastCopyAt()).String(), "waiting", f.queue.len())
		}
		f.waitTimes.Update(int64(now.Sub(packet.LastCopyAt())))
		f.handlePacket(packet.ForwardedPacket().WithReturnedToDeferrer(true), packet.LastCopyAt())
	}
}
