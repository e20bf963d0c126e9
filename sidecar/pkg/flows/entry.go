package flows

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/netstack"
)

// Entry is what a sidecar knows of one flow that it holds. It is immutable.
type Entry struct {
	key      landing.FlowKey
	stage    landing.FlowState
	customer string
	conn     *netstack.Conn
	since    time.Time
	heard    time.Time
}

// NewEntry returns the entry of flow k of this customer, opened by a segment with this sequence number.
func NewEntry(k landing.FlowKey, customer string, initial uint32, now time.Time) Entry {
	return Entry{key: k, stage: landing.FlowAdmitted{}.WithInitialSequenceNumber(initial), customer: customer, since: now, heard: now}
}

// Key returns the key of the flow.
func (e Entry) Key() landing.FlowKey {
	return e.key
}

// Since returns the time at which the flow was taken.
func (e Entry) Since() time.Time {
	return e.since
}

// Stage returns the stage of the flow.
func (e Entry) Stage() landing.FlowState {
	return e.stage
}

// WithStage returns a copy with another stage.
func (e Entry) WithStage(s landing.FlowState) Entry {
	e.stage = s
	return e
}

// Customer returns the name of the customer.
func (e Entry) Customer() string {
	return e.customer
}

// Heard returns the time of the last segment from the caller, to the accuracy of Table.Tick.
func (e Entry) Heard() time.Time {
	return e.heard
}

// WithHeard returns a copy with another time of the last segment.
func (e Entry) WithHeard(t time.Time) Entry {
	e.heard = t
	return e
}

// Conn returns the connection; nil before the handshake is complete.
func (e Entry) Conn() *netstack.Conn {
	return e.conn
}

// WithConn returns a copy with the connection.
func (e Entry) WithConn(c *netstack.Conn) Entry {
	e.conn = c
	return e
}
