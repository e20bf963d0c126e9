// Package front is the packet side of a sidecar: it takes datagrams of balancers and other sidecars,
// delivers the packets of flows that the sidecar holds, and passes the others on.
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
	datagramBytes = envelope.MaxHeaderBytes + packet.MaxBytes + 1
	maxHandshakes = 4096
)

// Source returns the newest control state.
type SnapshotSource func() keeper.Snapshot

// Busy says whether a new flow had better go to another upstream.
type BusyFunc func() bool

// TakenOut is called when the upstream is taken out, so that it is cold when it is put back.
type ExcludedFunc func()

// Front takes and sends packets.
type Forwarder struct {
	telemetry      common.Telemetry
	conn           *net.UDPConn
	fabric         netip.AddrPort
	maxFlows       int
	silenceTimeout time.Duration
	source         SnapshotSource
	isBusy         BusyFunc
	onExcluded     ExcludedFunc
	table          *flows.Table
	stack          *netstack.Stack
	misses         *misses
	newestRoster   atomic.Uint32
	stopper        *common.Stopper
}

// New returns a front that listens on the UDP address of these settings.
// It returns an error when the address cannot be used.
func New(c common.Telemetry, s landing.SidecarSettings, snapshot SnapshotSource, isBusy BusyFunc, onExcluded ExcludedFunc) (*Forwarder, error) {
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
		source:         snapshot,
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

// Start starts this number of workers, and hands each new flow to handler on a goroutine of its own.
func (f *Forwarder) Start(workers int, handler func(*tcp.ForwarderRequest)) {
	f.stack.SetFlowHandler(maxHandshakes, handler)
	for range workers {
		f.stopper.Go(f.receive)
	}
	f.stopper.Go(f.reap)
}

// Stop closes the socket, ends all flows and waits for the workers.
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

// sendAnswer sends a packet of the stack to the fabric.
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

// isRefusalOfTheStack says whether s is the stack's answer to an opening packet that met a connection which was about
// to end: a reset numbered 0. A flow that is refused is forgotten before it is reset, and any other caller sends its
// opening packet again.
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
