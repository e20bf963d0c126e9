package relay

import (
	"sync"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/backlog"
	"github.com/crocuslanding/crocuslanding/core/pkg/selection"
)

// waitQueue holds the SYNs that wait for a free slot of the upstream. Its methods may be called from
// several goroutines.
type waitQueue struct {
	mu      sync.Mutex
	backlog backlog.Backlog
	// starts counts the requests of listeners with a response aim.
	starts backlog.Starts
	// lapsed is the number of packets that were removed without an answer.
	lapsed int64
}

// offer decides whether a packet waits at an upstream with this load that has been serving since servingSince, and
// adds the packet if so. It returns the decision and the packets that must be refused because of the limit (see
// backlog.Prune).
func (w *waitQueue) offer(packet landing.QueuedPacket, upstream selection.Upstream, limit int, servingSince, now time.Time) (landing.WaitDecision, []landing.QueuedPacket) {
	w.mu.Lock()
	defer w.mu.Unlock()
	utilization := w.starts.Utilization(uint32(upstream.Slots), upstream.ServiceTime(), now)
	utilization = backlog.EffectiveUtilization(utilization, servingSince, now)
	decision := backlog.DecideWait(w.backlog, packet, upstream, utilization, now)
	if _, isRefused := decision.(landing.RefuseWait); isRefused {
		w.backlog = w.backlog.WithRefused(packet.Priority(), now)
		return decision, nil
	}
	if _, isLate := decision.(landing.WaitLate); isLate {
		packet = backlog.AsLate(packet, now)
	}
	w.backlog = w.backlog.With(packet)
	return decision, w.prune(limit, now)
}

// restore puts back a packet that next has returned and that could not be served, without a further decision.
func (w *waitQueue) restore(packet landing.QueuedPacket) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.backlog.Has(packet.Key()) {
		w.backlog = w.backlog.With(packet)
	}
}

// recordAdmission records that a flow is admitted, and removes its packet if one waits. If the flow's listener has a
// response aim, the flow counts in the utilization.
func (w *waitQueue) recordAdmission(key landing.FlowKey, hasAim bool, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.backlog = w.backlog.Without(key)
	if hasAim {
		w.starts = w.starts.With(now)
	}
}

// next removes and returns the packet that is served next, and whether the share of its priority lets it go before
// packets of a higher one. Found is false when none waits. Packets whose callers have given up are removed first.
func (w *waitQueue) next(now time.Time) (packet landing.QueuedPacket, byShare, found bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.prune(w.backlog.Len(), now)
	packet, byShare, found = w.backlog.Next(now)
	if found {
		w.backlog = w.backlog.WithStart(packet, byShare, now)
	}
	return packet, byShare, found
}

// prune removes the packets whose callers have given up and those beyond the limit. It returns those that must be
// refused, and counts the others as lapsed. w must be locked.
func (w *waitQueue) prune(limit int, now time.Time) []landing.QueuedPacket {
	before := w.backlog.Len()
	var refused []landing.QueuedPacket
	w.backlog, refused = w.backlog.Prune(limit, now)
	w.lapsed += int64(before - w.backlog.Len() - len(refused))
	return refused
}

// takeLapsed returns the number of packets that were removed without an answer since the last call.
func (w *waitQueue) takeLapsed() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := w.lapsed
	w.lapsed = 0
	return count
}

// has reports whether a packet of the flow waits.
func (w *waitQueue) has(key landing.FlowKey) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.backlog.Has(key)
}

func (w *waitQueue) len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.backlog.Len()
}

// countWaiting returns the number of waiting packets whose responses would be timely if their requests began now, and
// the number of the others, which include all packets of listeners without a response aim.
func (w *waitQueue) countWaiting(now time.Time) (timely, late int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	timely = w.backlog.CountTimely(now)
	return timely, w.backlog.Len() - timely
}

// utilization returns the part of the upstream's slots that requests of listeners with a response aim have used lately.
// After a start, offer does not use it (see backlog.EffectiveUtilization).
func (w *waitQueue) utilization(upstream selection.Upstream, now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts.Utilization(uint32(upstream.Slots), upstream.ServiceTime(), now)
}
