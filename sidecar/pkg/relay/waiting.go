package relay

import (
	"sync"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
	"github.com/crocuslanding/crocuslanding/core/pkg/backlog"
)

// waiting holds the opening packets that wait for a free slot.
type waiting struct {
	mu      sync.Mutex
	backlog backlog.Backlog
}

// add takes a packet and returns those that must be refused.
func (w *waiting) add(wait landing.QueuedPacket, limit int) []landing.QueuedPacket {
	w.mu.Lock()
	defer w.mu.Unlock()
	var refused []landing.QueuedPacket
	w.backlog, refused = w.backlog.With(wait).Prune(limit, wait.LastCopyAt())
	return refused
}

// next returns the packet that is served next.
func (w *waiting) next(now time.Time) (landing.QueuedPacket, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.backlog, _ = w.backlog.Prune(w.backlog.Len(), now)
	var wait landing.QueuedPacket
	var found bool
	wait, w.backlog, found = w.backlog.Pop()
	return wait, found
}

func (w *waiting) len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.backlog.Len()
}

// headroom is the part of the slots, one in so many, that is let in beyond them: between an answer and the next
// request lie the handshake and two crossings of the network, in which a slot would be idle.
const headroom = 4

// isFull says whether the upstream has as much work as it can do at once.
func (t *Forwarder) isFull(s Snapshot, now time.Time) bool {
	slots := int(s.presence.Slots())
	if slots == 0 {
		return false
	}
	return t.table.work(now) >= slots+max(slots/headroom, 1)
}

// park lets an opening packet wait for a slot.
func (t *Forwarder) park(s Snapshot, p landing.ForwardedPacket, segment landing.Segment, now time.Time) {
	listener, _ := s.policy.Rules().FindListener(segment.Key())
	t.table.forget(segment.Key())
	wait := landing.QueuedPacket{}.
		WithForwardedPacket(p).
		WithKey(segment.Key()).
		WithPriority(listener.Priority()).
		WithLastCopyAt(now)
	t.common.Counters().Counter("waited").Inc(1)
	l := t.table.load()
	t.common.Log().Info("flow waits", "flow", address.FormatFlow(segment.Key()), "copies", segment.EarlierCopies(),
		"priority", listener.Priority(), "running", l.running, "waiting", t.waiting.len())
	for _, refused := range t.waiting.add(wait, backlog.Limit(s.presence.Slots(), l.usual)) {
		t.common.Counters().CountRefusal(landing.RefusalQueue)
		t.common.Log().Info("flow refused", "flow", address.FormatFlow(refused.Key()), "reason", landing.RefusalQueue.String(),
			"priority", refused.Priority(), "running", l.running, "usual", l.usual.String())
		t.refund(refused.ForwardedPacket(), landing.RefusalQueue)
	}
}

// admit lets waiting packets in while the upstream has free slots.
func (t *Forwarder) admit() {
	for t.waiting.len() > 0 {
		now := time.Now()
		if t.isFull(t.keeper.Snapshot(), now) {
			return
		}
		wait, found := t.waiting.next(now)
		if !found {
			return
		}
		t.waits.Update(int64(now.Sub(wait.LastCopyAt())))
		t.arrive(wait.ForwardedPacket().WithReturnedToDeferrer(true))
	}
}
