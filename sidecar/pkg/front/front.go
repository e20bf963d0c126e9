// Package front receives datagrams from balancers and other sidecars. It delivers packets of the flows
// that the sidecar holds to a TCP stack, and forwards the others along their chains. A chain lists the
// sidecars (hops) that get a packet one after another until one of them holds or admits its flow. Packets
// for callers go to the fabric, the network between callers and balancers.
package front

import (
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/envelope"
	"github.com/crocuslanding/crocuslanding/core/pkg/netstack"
	"github.com/crocuslanding/crocuslanding/core/pkg/packet"
	"github.com/crocuslanding/crocuslanding/core/pkg/probe"
	"github.com/crocuslanding/crocuslanding/core/pkg/socket"
	"github.com/crocuslanding/crocuslanding/sidecar/pkg/flows"
	"github.com/crocuslanding/crocuslanding/sidecar/pkg/keeper"
)

const (
	// datagramBytes is the length of the receive buffer. It is one byte more than the longest valid
	// datagram, so that a longer one is recognized.
	datagramBytes = envelope.MaxHeaderBytes + packet.MaxBytes + 1
	// maxHandshakes is the limit of handshakes that are in progress at the same time.
	maxHandshakes = 4096
)

// SnapshotSource returns the latest control state.
type SnapshotSource func() keeper.Snapshot

// BusyFunc reports whether the upstream is busy, so that other sidecars are preferred for a new flow.
type BusyFunc func() bool

// ExcludedFunc is called when the upstream or its zone is excluded. It resets the admission of requests, so
// that the upstream counts as cold, able to process only little, when it is put back into service.
type ExcludedFunc func()

// Forwarder receives and sends the packets of a sidecar.
type Forwarder struct {
	telemetry common.Telemetry
	conn      *net.UDPConn
	// fabric is the address to which packets for callers are sent.
	fabric   netip.AddrPort
	maxFlows int
	// silenceTimeout is the time without a segment from the caller after which a flow is reset.
	silenceTimeout time.Duration
	source         SnapshotSource
	isBusy         BusyFunc
	onExcluded     ExcludedFunc
	table          *flows.Table
	stack          *netstack.Stack
	misses         *misses
	// newestRosterSerial is the highest roster serial number seen in a datagram. Datagrams contain the low
	// 32 bits of the serial number.
	newestRosterSerial atomic.Uint32
	stopper            *common.Stopper
}

// New returns a forwarder that listens on the UDP address s.Front(). It returns an error when an
// address in the settings cannot be used.
func New(c common.Telemetry, s landing.SidecarSettings, source SnapshotSource, isBusy BusyFunc, onExcluded ExcludedFunc) (*Forwarder, error) {
	fabric, err := netip.ParseAddrPort(s.Fabric())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	conn, err := socket.Listen(s.Front())
	if err != nil {
		return nil, err
	}
	f := &Forwarder{
		telemetry:      c,
		conn:           conn,
		fabric:         fabric,
		maxFlows:       int(s.Connections()),
		silenceTimeout: probe.Timeout(s.Keepalive()),
		source:         source,
		isBusy:         isBusy,
		onExcluded:     onExcluded,
		table:          flows.New(),
		misses:         newMisses(),
		stopper:        common.NewStopper(),
	}
	f.stack, err = netstack.New(f.sendToCaller)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return f, nil
}

// Table returns the flows that the sidecar holds.
func (f *Forwarder) Table() *flows.Table {
	return f.table
}

// Start starts this number of workers. handler is called for each new flow, on a goroutine of its own.
func (f *Forwarder) Start(workerCount int, handler func(*tcp.ForwarderRequest)) {
	f.stack.SetFlowHandler(maxHandshakes, handler)
	for range workerCount {
		f.stopper.Go(f.receive)
	}
	f.stopper.Go(f.reap)
}

// Stop resets all flows, closes the socket and waits for the workers.
func (f *Forwarder) Stop() {
	f.stopper.Close()
	f.resetWhere(func(flows.Entry) bool { return true })
	_ = f.conn.Close()
	f.stopper.Wait()
	f.stack.Close()
}

func (f *Forwarder) receive() {
	b := make([]byte, datagramBytes)
	for {
		n, _, err := f.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			f.telemetry.Counters().Counter("read_failed").Inc(1)
			continue
		}
		f.handleDatagram(b[:n])
	}
}

// sendToCaller sends a packet of the TCP stack to the fabric, which delivers it to the caller.
func (f *Forwarder) sendToCaller(b []byte) {
	reply, err := packet.ParseReply(b)
	switch {
	case err != nil:
	case reply.IsSyn():
		f.table.RecordSynAck(reply)
	case f.isStackRefusal(reply):
		f.telemetry.Counters().Counter("refused_by_stack").Inc(1)
		return
	}
	f.send(b, f.fabric)
}

// isStackRefusal reports whether s is the reset with which the stack answers a SYN that arrived for a
// connection about to end. Such a reset has sequence number 0. The caller must not get it, since the new
// flow was admitted and opens when the caller sends its SYN again. When the sidecar itself refuses a flow,
// isStackRefusal returns false for the reset, since the flow was removed from the table first.
func (f *Forwarder) isStackRefusal(s landing.Segment) bool {
	if !s.IsReset() || s.SequenceNumber() != 0 {
		return false
	}
	_, isHeld := f.table.Find(s.Key())
	return isHeld
}

func (f *Forwarder) send(b []byte, to netip.AddrPort) {
	if _, err := f.conn.WriteToUDPAddrPort(b, to); err != nil {
		f.telemetry.Counters().Counter("write_failed").Inc(1)
	}
}
