// Package flows contains the table of the flows that a sidecar holds: those of which it terminates the TCP
// connection. The table is divided into shards with a lock each.
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
	// handshakeTimeout is the time after which a flow that has no connection yet is removed. It is
	// longer than the TCP stack waits for the end of a handshake.
	handshakeTimeout = 30 * time.Second
)

// Table holds the flows of a sidecar. Its methods may be called from several goroutines.
type Table struct {
	shards      [shardCount]shard
	flowCount   atomic.Int64
	customers   *customerCounter
	currentTime atomic.Pointer[time.Time]
}

type shard struct {
	mu      sync.Mutex
	entries map[landing.FlowKey]Entry
}

// New returns an empty table.
func New() *Table {
	t := &Table{customers: newCustomerCounter()}
	t.SetTime(time.Now())
	for i := range t.shards {
		t.shards[i].entries = map[landing.FlowKey]Entry{}
	}
	return t
}

// SetTime sets the current time, which the table uses for admissions, segments and timeouts.
func (t *Table) SetTime(now time.Time) {
	t.currentTime.Store(&now)
}

// Len returns the number of flows.
func (t *Table) Len() int {
	return int(t.flowCount.Load())
}

// CustomerFlowCount returns the number of flows of this customer.
func (t *Table) CustomerFlowCount(customer string) uint32 {
	return t.customers.count(customer)
}

// Decide returns the action for segment s and records the new state of the flow. The customer and the
// refusal are used only when s opens a new flow; a refusal other than RefusalUnspecified is the reason
// why this sidecar may not admit the flow.
func (t *Table) Decide(s landing.Segment, position landing.ChainPosition, customer string, refusal landing.Refusal) landing.SegmentAction {
	if s.IsSyn() {
		t.closeFinished(s.Key())
	}
	sh := t.shardOf(s.Key())
	sh.mu.Lock()
	defer sh.mu.Unlock()
	entry := t.touch(sh, s.Key())
	action := hold.Decide(entry.State(), s, position, refusal)
	switch action.(type) {
	case landing.AdmitFlow:
		t.add(sh, s.Key(), NewEntry(s.Key(), customer, s.SequenceNumber(), *t.currentTime.Load()))
	case landing.CompleteHandshake:
		sh.entries[s.Key()] = entry.WithState(landing.FlowEstablished{})
	case landing.Deliver, landing.ForwardToNext, landing.DeliverAndForward, landing.ReturnToBalancer, landing.ResetFlow, landing.DropSegment, landing.AbandonHandshake, landing.DeferAdmission, landing.ReturnToDeferrer, landing.OfferToUpstream:
	}
	return action
}

// closeFinished removes flow k if both ends have finished it, and resets its connection, so that the
// caller can use the port again at once. The connection is reset after the lock is released, since the
// stack may send a packet of the flow, which is then looked up in the table.
func (t *Table) closeFinished(k landing.FlowKey) {
	sh := t.shardOf(k)
	sh.mu.Lock()
	conn := sh.entries[k].Conn()
	isFinished := conn != nil && conn.IsFinished()
	if isFinished {
		t.remove(sh, k)
	}
	sh.mu.Unlock()
	if isFinished {
		conn.Reset()
	}
}

// touch sets the time of the last segment of flow k to the current time and returns the entry. When
// the flow is not held or has ended, it returns an entry in state FlowAbsent. sh must be locked.
func (t *Table) touch(sh *shard, k landing.FlowKey) Entry {
	now := *t.currentTime.Load()
	entry, found := sh.entries[k]
	if !found {
		return Entry{state: landing.FlowAbsent{}}
	}
	if hasEnded(entry, now) {
		t.remove(sh, k)
		return Entry{state: landing.FlowAbsent{}}
	}
	if entry.LastSegmentAt() != now {
		entry = entry.WithLastSegmentAt(now)
		sh.entries[k] = entry
	}
	return entry
}

// RecordSynAck records that the stack sends synAck to the caller, which makes an admitted flow half
// open. A flow in another state is not changed.
func (t *Table) RecordSynAck(synAck landing.Segment) {
	sh := t.shardOf(synAck.Key())
	sh.mu.Lock()
	defer sh.mu.Unlock()
	entry, found := sh.entries[synAck.Key()]
	if !found {
		return
	}
	admitted, ok := entry.State().(landing.FlowAdmitted)
	if !ok {
		return
	}
	halfOpen := landing.FlowHalfOpen{}.
		WithInitialSequenceNumber(admitted.InitialSequenceNumber()).
		WithExpectedAcknowledgement(synAck.SequenceNumber() + 1)
	sh.entries[synAck.Key()] = entry.WithState(halfOpen)
}

// SetConn sets the connection of flow k. It returns false when the flow is no longer held.
func (t *Table) SetConn(k landing.FlowKey, c *netstack.Conn) bool {
	sh := t.shardOf(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	entry, found := sh.entries[k]
	if !found {
		return false
	}
	sh.entries[k] = entry.WithConn(c)
	return true
}

// Find returns the entry of flow k. It returns false when the flow is not held.
func (t *Table) Find(k landing.FlowKey) (Entry, bool) {
	sh := t.shardOf(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e, found := sh.entries[k]
	return e, found
}

// AwaitsConnection reports whether flow k was admitted and has no connection yet.
func (t *Table) AwaitsConnection(k landing.FlowKey) bool {
	e, found := t.Find(k)
	return found && e.Conn() == nil
}

// Remove removes flow k, if it is held.
func (t *Table) Remove(k landing.FlowKey) {
	sh := t.shardOf(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	t.remove(sh, k)
}

// RemoveEnded removes the flows whose connection is closed. It also removes those that still have no
// connection after handshakeTimeout, because the stack never began the handshake.
func (t *Table) RemoveEnded(now time.Time) {
	for i := range t.shards {
		t.removeEnded(&t.shards[i], now)
	}
}

// Select returns the flows with a connection for which matches returns true.
func (t *Table) Select(matches func(Entry) bool) []Entry {
	var selected []Entry
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		for _, e := range sh.entries {
			if e.Conn() != nil && matches(e) {
				selected = append(selected, e)
			}
		}
		sh.mu.Unlock()
	}
	return selected
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
		return now.Sub(e.AdmittedAt()) > handshakeTimeout
	}
	return e.Conn().IsClosed()
}

func (t *Table) add(sh *shard, k landing.FlowKey, e Entry) {
	sh.entries[k] = e
	t.flowCount.Add(1)
	t.customers.add(e.Customer(), 1)
}

func (t *Table) remove(sh *shard, k landing.FlowKey) {
	e, found := sh.entries[k]
	if !found {
		return
	}
	delete(sh.entries, k)
	t.flowCount.Add(-1)
	t.customers.add(e.Customer(), -1)
}

func (t *Table) shardOf(k landing.FlowKey) *shard {
	return &t.shards[chain.HashKey(k)%shardCount]
}
