package flows

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/netstack"
)

// Entry describes one flow that a sidecar holds. It is immutable.
type Entry struct {
	key           landing.FlowKey
	state         landing.FlowState
	customer      string
	conn          *netstack.Conn
	admittedAt    time.Time
	lastSegmentAt time.Time
}

// NewEntry returns the entry of a flow of this customer that is admitted at the time now.
// initialSequence is the sequence number of the caller's SYN.
func NewEntry(k landing.FlowKey, customer string, initialSequence uint32, now time.Time) Entry {
	return Entry{key: k, state: landing.FlowAdmitted{}.WithInitialSequenceNumber(initialSequence), customer: customer, admittedAt: now, lastSegmentAt: now}
}

// Key returns the key of the flow.
func (e Entry) Key() landing.FlowKey {
	return e.key
}

// AdmittedAt returns the time at which the flow was admitted.
func (e Entry) AdmittedAt() time.Time {
	return e.admittedAt
}

// State returns the state of the flow.
func (e Entry) State() landing.FlowState {
	return e.state
}

// WithState returns a copy with the given state.
func (e Entry) WithState(s landing.FlowState) Entry {
	e.state = s
	return e
}

// Customer returns the name of the customer.
func (e Entry) Customer() string {
	return e.customer
}

// LastSegmentAt returns the time of the last segment from the caller. This is the time that Table.SetTime
// was last called with before the segment arrived.
func (e Entry) LastSegmentAt() time.Time {
	return e.lastSegmentAt
}

// WithLastSegmentAt returns a copy with the given time of the last segment from the caller.
func (e Entry) WithLastSegmentAt(t time.Time) Entry {
	e.lastSegmentAt = t
	return e
}

// Conn returns the connection of the flow; nil before the handshake is complete.
func (e Entry) Conn() *netstack.Conn {
	return e.conn
}

// WithConn returns a copy with this connection.
func (e Entry) WithConn(c *netstack.Conn) Entry {
	e.conn = c
	return e
}
