package relay

import (
	"sync"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
	"github.com/crocuslanding/crocuslanding/core/pkg/backlog"
	"github.com/crocuslanding/crocuslanding/core/pkg/clock"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/selection"
)

// waitQueue holds the SYNs that wait for a free slot of the upstream. Its methods may be called from
// several goroutines.
type waitQueue struct {
	mu      sync.Mutex
	backlog backlog.Backlog
	// timelyStarts counts the requests that were admitted in time for a timely response.
	timelyStarts backlog.Starts
}

// decide returns whether a packet waits, when the upstream has this load.
func (w *waitQueue) decide(packet landing.QueuedPacket, upstream selection.Upstream, now time.Time) landing.WaitDecision {
	w.mu.Lock()
	defer w.mu.Unlock()
	utilization := w.timelyStarts.Utilization(uint32(upstream.Slots), upstream.ServiceTime(), now)
	decision := backlog.DecideWait(w.backlog, packet, upstream, utilization, now)
	if _, isRefused := decision.(landing.RefuseWait); isRefused {
		w.backlog = w.backlog.WithRefused(packet.Priority(), now)
	}
	return decision
}

// recordTimelyStart records that a request was admitted in time for a timely response.
func (w *waitQueue) recordTimelyStart(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timelyStarts = w.timelyStarts.With(now)
}

// add adds a packet and returns the packets that must be refused, because more than limit packets wait.
// Packets whose callers have given up are removed but not returned.
func (w *waitQueue) add(packet landing.QueuedPacket, limit int) []landing.QueuedPacket {
	w.mu.Lock()
	defer w.mu.Unlock()
	var refused []landing.QueuedPacket
	w.backlog, refused = w.backlog.With(packet).Prune(limit, packet.LastCopyAt())
	return refused
}

// next removes and returns the packet that is served next, and whether it goes before packets of a higher
// priority by the share of its own; false when none waits. Packets whose callers have given up by now are
// removed as well.
func (w *waitQueue) next(now time.Time) (packet landing.QueuedPacket, byShare, found bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.backlog, _ = w.backlog.Prune(w.backlog.Len(), now)
	packet, byShare, found = w.backlog.Next(now)
	if found {
		w.backlog = w.backlog.WithStart(packet, byShare, now)
	}
	return packet, byShare, found
}

func (w *waitQueue) len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.backlog.Len()
}

// countWaiting returns the number of waiting packets whose requests would be timely if they began now, and the number
// of the others. Packets of listeners without a response aim are among the others.
func (w *waitQueue) countWaiting(now time.Time) (timely, late int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	timely = w.backlog.CountTimely(now)
	return timely, w.backlog.Len() - timely
}

// utilization returns the part of the upstream's slots that timely requests have used lately, as decide
// takes it into account.
func (w *waitQueue) utilization(upstream selection.Upstream, now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.timelyStarts.Utilization(uint32(upstream.Slots), upstream.ServiceTime(), now)
}

// headroomDivisor sets how many flows are admitted beyond the number of slots: slots/headroomDivisor, but at
// least 1. Between a response and the next request there are a handshake and two network transits, during
// which a slot would be idle.
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

// enqueue lets a SYN wait for a free slot, or refuses it when it would wait in vain. It refuses the SYNs that no
// longer fit into the queue.
func (f *Forwarder) enqueue(s Snapshot, forwarded landing.ForwardedPacket, segment landing.Segment, now time.Time) {
	listener, _ := s.policy.Rules().FindListener(segment.Key())
	f.table.withdrawAdmission(segment.Key())
	l := f.table.load(now)
	packet := landing.QueuedPacket{}.
		WithForwardedPacket(forwarded).
		WithKey(segment.Key()).
		WithPriority(listener.Priority()).
		WithLastCopyAt(now).
		WithWaitLimit(backlog.WaitLimit(segment.EarlierCopies(), listener.RequestTimeout(), l.averageLatency)).
		WithUsefulUntil(backlog.UsefulUntil(segment.EarlierCopies(), listener.RequestTimeout(), l.averageLatency, now)).
		WithTimelyUntil(backlog.TimelyUntil(segment.EarlierCopies(), listener.ResponseAim(), l.averageLatency, now))
	switch decision := f.queue.decide(packet, f.offeredUpstream(s, l), now).(type) {
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
	limit := backlog.Limit(s.upstream.Slots(), l.averageLatency, packet.WaitLimit())
	if !packet.TimelyUntil().IsZero() {
		limit = f.queue.len() + 1 // the decision to wait bounds the queue
	}
	for _, refused := range f.queue.add(packet, limit) {
		f.refuseWaiting(refused, l, 0)
	}
	if forwarded.ChainPart() > 0 || forwarded.HopIndex() > 0 {
		// The caller's next copy then comes to this sidecar, and is not offered to others as well.
		f.claimFlow(forwarded.BalancerAddress(), segment.Key())
	}
	common.Notify(f.queueBlocked)
}

// logWait logs a SYN that waits. The outlook for its response is "timely" or "late".
func (f *Forwarder) logWait(packet landing.QueuedPacket, l upstreamLoad, outlook string, expectedWait time.Duration) {
	f.telemetry.Log().Info("flow waits", "flow", address.FormatFlow(packet.Key()), "priority", packet.Priority(), "outlook", outlook,
		"expected", expectedWait.String(), "running", l.runningRequests, "busy", l.busySlots, "waiting", f.queue.len(), "usual", l.averageLatency.String())
}

// refuseWaiting refuses a SYN that would wait for this time, too long for its caller; 0 if it has been waiting.
func (f *Forwarder) refuseWaiting(packet landing.QueuedPacket, l upstreamLoad, expectedWait time.Duration) {
	f.telemetry.Counters().CountRefusal(landing.RefusalQueue)
	f.telemetry.Log().Info("flow refused", "flow", address.FormatFlow(packet.Key()), "reason", landing.RefusalQueue.String(),
		"priority", packet.Priority(), "expected", expectedWait.String(), "running", l.runningRequests, "busy", l.busySlots,
		"waiting", f.queue.len(), "usual", l.averageLatency.String())
	f.returnToBalancer(packet.ForwardedPacket(), landing.RefusalQueue)
}

// admitOnLapse admits waiting SYNs when a slot becomes free without a packet, because a request or the
// reservation of an admitted flow has lapsed.
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
		if !found {
			return
		}
		if byShare {
			f.telemetry.Counters().Counter("served_by_share").Inc(1)
			f.telemetry.Log().Info("flow served by share", "flow", address.FormatFlow(packet.Key()), "priority", packet.Priority(),
				"waited", now.Sub(packet.LastCopyAt()).String(), "waiting", f.queue.len())
		}
		f.waitTimes.Update(int64(now.Sub(packet.LastCopyAt())))
		f.handlePacket(packet.ForwardedPacket().WithReturnedToDeferrer(true))
	}
}
