// Package flows is the table of the flows that a sidecar holds, cut into shards.
package flows

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/chain"
	"github.com/crocuslanding/crocuslanding/core/pkg/hold"
	"github.com/crocuslanding/crocuslanding/core/pkg/netstack"
)

const (
	shardCount = 64
	// handshakeTime is longer than the stack waits for the end of a handshake.
	handshakeTime = 30 * time.Second
)

// Table holds the flows. Its methods may be called from several goroutines.
type Table struct {
	shards [shardCount]shard
	size   atomic.Int64
	ledger *ledger
	now    atomic.Pointer[time.Time]
}

type shard struct {
	mu      sync.Mutex
	entries map[landing.FlowKey]Entry
}

// New returns an empty table.
func New() *Table {
	t := &Table{ledger: newLedger()}
	t.Tick(time.Now())
	for i := range t.shards {
		t.shards[i].entries = map[landing.FlowKey]Entry{}
	}
	return t
}

// Tick sets the present time.
func (t *Table) Tick(now time.Time) {
	t.now.Store(&now)
}

// Len returns the number of flows.
func (t *Table) Len() int {
	return int(t.size.Load())
}

// FlowsOf returns the number of flows of a customer.
func (t *Table) FlowsOf(customer string) uint32 {
	return t.ledger.count(customer)
}

// Decide decides what to do with segment s and notes the change of the flow's stage.
// The customer and the refusal matter only when s opens a new flow.
func (t *Table) Decide(s landing.Segment, at landing.ChainPosition, customer string, refusal landing.Refusal) landing.SegmentAction {
	if s.IsSyn() {
		t.endOver(s.Key())
	}
	sh := t.shardOf(s.Key())
	sh.mu.Lock()
	defer sh.mu.Unlock()
	entry := t.present(sh, s.Key())
	step := hold.Decide(entry.Stage(), s, at, refusal)
	switch step.(type) {
	case landing.AdmitFlow:
		t.add(sh, s.Key(), NewEntry(s.Key(), customer, s.SequenceNumber(), *t.now.Load()))
	case landing.CompleteHandshake:
		sh.entries[s.Key()] = entry.WithStage(landing.FlowEstablished{})
	case landing.Deliver, landing.ForwardToNext, landing.DeliverAndForward, landing.ReturnToBalancer, landing.ResetFlow, landing.DropSegment, landing.AbandonHandshake, landing.DeferAdmission, landing.ReturnToDeferrer, landing.OfferToUpstream:
	}
	return step
}

// endOver forgets flow k when both ends have finished it, and ends its connection, so that its caller can use
// the port again at once. The connection is ended without the lock, since the stack may note a packet of it.
func (t *Table) endOver(k landing.FlowKey) {
	sh := t.shardOf(k)
	sh.mu.Lock()
	conn := sh.entries[k].Conn()
	isOver := conn != nil && conn.IsFinished()
	if isOver {
		t.remove(sh, k)
	}
	sh.mu.Unlock()
	if isOver {
		conn.Reset()
	}
}

// present returns the entry of flow k, heard now; one in stage Absent when the flow is not held.
func (t *Table) present(sh *shard, k landing.FlowKey) Entry {
	now := *t.now.Load()
	entry, found := sh.entries[k]
	if !found {
		return Entry{stage: landing.FlowAbsent{}}
	}
	if hasEnded(entry, now) {
		t.remove(sh, k)
		return Entry{stage: landing.FlowAbsent{}}
	}
	if entry.Heard() != now {
		entry = entry.WithHeard(now)
		sh.entries[k] = entry
	}
	return entry
}

// NoteAnswer notes the sidecar's part of the handshake, s, that the stack sends to the caller.
func (t *Table) NoteAnswer(s landing.Segment) {
	sh := t.shardOf(s.Key())
	sh.mu.Lock()
	defer sh.mu.Unlock()
	entry, found := sh.entries[s.Key()]
	if !found {
		return
	}
	taken, ok := entry.Stage().(landing.FlowAdmitted)
	if !ok {
		return
	}
	half := landing.FlowHalfOpen{}.
		WithInitialSequenceNumber(taken.InitialSequenceNumber()).
		WithExpectedAcknowledgement(s.SequenceNumber() + 1)
	sh.entries[s.Key()] = entry.WithStage(half)
}

// SetConn notes the connection of flow k. It returns false when the flow is no longer held.
func (t *Table) SetConn(k landing.FlowKey, c *netstack.Conn) bool {
	sh := t.shardOf(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	present, found := sh.entries[k]
	if !found {
		return false
	}
	sh.entries[k] = present.WithConn(c)
	return true
}

// Find returns the entry of flow k.
func (t *Table) Find(k landing.FlowKey) (Entry, bool) {
	sh := t.shardOf(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e, found := sh.entries[k]
	return e, found
}

// IsLetIn says whether flow k was let in and has no connection yet.
func (t *Table) IsLetIn(k landing.FlowKey) bool {
	e, found := t.Find(k)
	return found && e.Conn() == nil
}

// Remove forgets flow k.
func (t *Table) Remove(k landing.FlowKey) {
	sh := t.shardOf(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	t.remove(sh, k)
}

// RemoveEnded forgets the flows whose connection has ended, and those whose handshake the stack never began.
func (t *Table) RemoveEnded(now time.Time) {
	for i := range t.shards {
		t.removeEnded(&t.shards[i], now)
	}
}

// Select returns those flows with a connection that are chosen.
func (t *Table) Select(isChosen func(Entry) bool) []Entry {
	var chosen []Entry
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		for _, e := range sh.entries {
			if e.Conn() != nil && isChosen(e) {
				chosen = append(chosen, e)
			}
		}
		sh.mu.Unlock()
	}
	return chosen
}

func (t *Table) removeEnded(sh *shard, now time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for k, e := range sh.entries {
		if hasEnded(e, now) {
			t.remove(sh, k)
		}
	}
}

func hasEnded(e Entry, now time.Time) bool {
	if e.Conn() == nil {
		return now.Sub(e.Since()) > handshakeTime
	}
	return e.Conn().IsClosed()
}

func (t *Table) add(sh *shard, k landing.FlowKey, e Entry) {
	sh.entries[k] = e
	t.size.Add(1)
	t.ledger.add(e.Customer(), 1)
}

func (t *Table) remove(sh *shard, k landing.FlowKey) {
	e, found := sh.entries[k]
	if !found {
		return
	}
	delete(sh.entries, k)
	t.size.Add(-1)
	t.ledger.add(e.Customer(), -1)
}

func (t *Table) shardOf(k landing.FlowKey) *shard {
	return &t.shards[chain.HashKey(k)%shardCount]
}
