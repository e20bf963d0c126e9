package relay

import (
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/hold"
	"github.com/crocuslanding/crocuslanding/platform"
)

// probeTimeout bounds the question whether the upstream's port is open, which is asked on the same instance.
const probeTimeout = 300 * time.Millisecond

// deliver hands a packet to the upstream. Its chain is remembered for the case that it comes back.
func (t *Forwarder) deliver(p landing.ForwardedPacket, packet platform.Packet) {
	packet.SetEcho(t.ring.put(p))
	_, err := t.upstream.Write(packet.Bytes())
	if err == nil || errors.Is(err, net.ErrClosed) {
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		t.keeper.Post(landing.UpstreamEventObserved{}.WithEvent(landing.UpstreamSocketClosed{}.WithDetectedAt(time.Now())))
	}
	t.common.Counters().Counter("write_failed").Inc(1)
}

// leave takes a packet of the upstream.
func (t *Forwarder) leave(b []byte, _ netip.AddrPort) {
	packet, err := platform.ParsePacket(b)
	if err != nil {
		t.common.Counters().CountRefusal(landing.RefusalMalformed)
		return
	}
	if packet.IsReturned() {
		t.takeBack(packet)
		return
	}
	segment := packet.UpstreamSegment()
	took := t.table.noteUpstream(segment, time.Now())
	t.toCaller(segment.Key(), packet)
	if took > 0 {
		t.answers.Update(int64(took))
		t.admit()
	}
}

func (t *Forwarder) toCaller(k landing.FlowKey, packet platform.Packet) {
	t.link.SendBytes(packet.Bytes(), platform.CallerAddress(k, t.callers))
}

// takeBack takes a packet that the upstream returned: it does not hold the flow or cannot take it.
func (t *Forwarder) takeBack(packet platform.Packet) {
	p, found := t.ring.take(packet.Echo())
	packet.RestoreOriginal()
	segment := packet.CallerSegment()
	t.table.forget(segment.Key())
	if !found {
		t.common.Counters().CountRefusal(landing.RefusalUnknown)
		return
	}
	refusal := landing.RefusalUnspecified
	if segment.IsSyn() {
		refusal = landing.RefusalRoom
	}
	s := t.keeper.Snapshot()
	step := hold.Decide(landing.FlowAbsent{}, segment, t.position(s, p), refusal)
	t.logStep(segment, p, step, refusal)
	t.carryOut(step, p.WithPacket(packet.Bytes()), packet, segment, refusal)
}

// hasEnded says whether the upstream's process has ended: its port is closed. That it says it leaves is no proof, since
// it still serves what it holds.
func (t *Forwarder) hasEnded() bool {
	conn, err := net.DialTimeout("tcp4", t.settings.Upstream(), probeTimeout)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
