package relay

import (
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
	"github.com/crocuslanding/crocuslanding/core/pkg/clock"
	"github.com/crocuslanding/crocuslanding/core/pkg/hold"
	"github.com/crocuslanding/crocuslanding/platform"
)

// probeTimeout is the timeout of the check whether the upstream's port is open. The upstream runs on the
// same instance.
const probeTimeout = 300 * time.Millisecond

// deliver sends a packet to the upstream. It stores the packet's chain in case the upstream returns the
// packet.
func (f *Forwarder) deliver(forwarded landing.ForwardedPacket, packet platform.Packet) {
	packet.SetEcho(f.delivered.put(forwarded))
	_, err := f.upstreamConn.Write(packet.Bytes())
	if errors.Is(err, syscall.ECONNREFUSED) {
		// The socket reports that an earlier packet was refused, and has not sent this one. The upstream may have
		// started again since.
		if f.hasUpstreamEnded() {
			f.controlThread.Post(landing.UpstreamEventObserved{}.WithEvent(landing.UpstreamSocketClosed{}.WithDetectedAt(clock.Now())))
		} else {
			_, err = f.upstreamConn.Write(packet.Bytes())
		}
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		f.telemetry.Counters().Counter("write_failed").Inc(1)
	}
}

// handleUpstreamPacket handles a packet from the upstream, which is for a caller or was returned.
func (f *Forwarder) handleUpstreamPacket(b []byte, _ netip.AddrPort) {
	packet, err := platform.ParsePacket(b)
	if err != nil {
		f.telemetry.Counters().CountRefusal(landing.RefusalMalformed)
		return
	}
	if packet.IsReturned() {
		f.handleReturnedPacket(packet)
		return
	}
	segment := packet.UpstreamSegment()
	now := clock.Now()
	f.table.recordAlive(now)
	latency := f.table.recordUpstreamSegment(segment, now)
	f.sendToCaller(segment.Key(), packet)
	if balancerAddress, isOffered := f.table.takeOffer(segment.Key()); isOffered && !segment.IsReset() {
		f.claimFlow(balancerAddress, segment.Key())
	}
	if latency > 0 {
		f.responseTimes.Update(int64(latency))
	}
	f.admitWaiting()
}

// sendToCaller sends a packet to the caller of flow k.
func (f *Forwarder) sendToCaller(k landing.FlowKey, packet platform.Packet) {
	f.link.SendBytes(packet.Bytes(), platform.CallerAddress(k, f.callerPort))
}

// handleReturnedPacket handles a caller's packet that the upstream returned because it does not hold the
// flow or cannot accept it.
func (f *Forwarder) handleReturnedPacket(packet platform.Packet) {
	forwarded, found := f.delivered.take(packet.Echo())
	packet.RestoreOriginal()
	segment := packet.CallerSegment()
	if f.table.recordReturn(segment) {
		f.telemetry.Log().Info("flow not held by upstream", "flow", address.FormatFlow(segment.Key()), "upstream", f.controlThread.Snapshot().upstream.Incarnation())
	}
	if !found {
		f.telemetry.Counters().CountRefusal(landing.RefusalUnknown)
		return
	}
	refusal := landing.RefusalUnspecified
	if segment.IsSyn() {
		refusal = landing.RefusalRoom
	}
	s := f.controlThread.Snapshot()
	action := hold.Decide(landing.FlowAbsent{}, segment, f.position(s, forwarded, segment, clock.Now()), refusal)
	f.logAction(segment, forwarded, action, refusal)
	f.execute(action, forwarded.WithPacket(packet.Bytes()), packet, segment, refusal, time.Time{})
	f.admitWaiting()
}

// hasUpstreamEnded reports whether the upstream's process has ended, so that its port is closed. It does not
// rely on an announcement of the shutdown, since after that the upstream still serves the flows it holds.
func (f *Forwarder) hasUpstreamEnded() bool {
	conn, err := net.DialTimeout("tcp4", f.settings.Upstream(), probeTimeout)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
