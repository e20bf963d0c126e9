package relay

import (
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/entry"
	"github.com/crocuslanding/crocuslanding/core/pkg/hold"
	"github.com/crocuslanding/crocuslanding/core/pkg/link"
	"github.com/crocuslanding/crocuslanding/core/pkg/plan"
	"github.com/crocuslanding/crocuslanding/core/pkg/presence"
	"github.com/crocuslanding/crocuslanding/core/pkg/rules"
	"github.com/crocuslanding/crocuslanding/core/pkg/socket"
	"github.com/crocuslanding/crocuslanding/platform"
)

// probeTimeout bounds the question whether the upstream's port is open, which is asked on the same instance.
const probeTimeout = 300 * time.Millisecond

// Traffic relays packets between the fleet, the upstream and the callers.
type Traffic struct {
	common    common.Common
	settings  landing.RelaySidecarSettings
	keeper    *Keeper
	link      *link.Link
	outbound  *net.UDPConn
	upstream  *net.UDPConn
	callers   uint16
	service   uint32
	table     *table
	ring      *ring
	waiting   waiting
	done      *common.Done
	startedAt time.Time
	sequence  atomic.Uint64
	answers   metrics.Histogram
	waits     metrics.Histogram
}

// NewTraffic returns traffic whose sockets are open. It returns an error when an address cannot be used.
func NewTraffic(c common.Common, s landing.RelaySidecarSettings, k *Keeper) (*Traffic, error) {
	front, err := netip.ParseAddrPort(s.Front())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	app, err := netip.ParseAddrPort(s.Upstream())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	l, err := link.New(s.Fleet(), c.Counters())
	if err != nil {
		return nil, err
	}
	outbound, err := socket.Listen(s.Outbound())
	if err != nil {
		l.Close()
		return nil, err
	}
	// A connected socket learns when the upstream's socket is closed.
	upstream, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(app))
	if err != nil {
		l.Close()
		_ = outbound.Close()
		return nil, trace.Wrap(err)
	}
	t := &Traffic{
		common:    c,
		settings:  s,
		keeper:    k,
		link:      l,
		outbound:  outbound,
		upstream:  upstream,
		callers:   front.Port(),
		service:   plan.ServiceTag(s.Service()),
		table:     newTable(time.Now()),
		ring:      newRing(),
		done:      common.NewDone(),
		startedAt: time.Now(),
		answers:   c.Counters().Timer("answer"),
		waits:     c.Counters().Timer("wait"),
	}
	t.registerGauges()
	return t, nil
}

// registerGauges lets the metrics show the present work and what the sidecar believes.
func (t *Traffic) registerGauges() {
	c := t.common.Counters()
	c.Gauge("flows", func() int64 { return int64(t.table.load().flows) })
	c.Gauge("running", func() int64 { return int64(t.table.load().running) })
	c.Gauge("waiting", func() int64 { return int64(t.waiting.len()) })
	c.Gauge("revision.rules", func() int64 { return int64(t.keeper.Snapshot().rules.Rules().Revision()) })
	c.Gauge("revision.exclusions", func() int64 { return int64(t.keeper.Snapshot().exclusions.Changed()) })
	c.Gauge("heartbeat_age_ms", func() int64 {
		heard := t.keeper.Snapshot().presence.Heard()
		if heard.IsZero() {
			return -1
		}
		return time.Since(heard).Milliseconds()
	})
}

// Start starts to read packets.
func (t *Traffic) Start() {
	t.done.Go(func() { t.link.Receive(t.receive) })
	t.done.Go(func() { link.ReadAll(t.outbound, t.common.Counters(), t.leave) })
	t.done.Go(t.report)
}

// Stop closes the sockets and waits for the readers.
func (t *Traffic) Stop() {
	t.done.Close()
	t.link.Close()
	_ = t.outbound.Close()
	_ = t.upstream.Close()
	t.done.Wait()
}

// receive takes a datagram from another process of the fleet.
func (t *Traffic) receive(d landing.Datagram, _ uint64) {
	switch d := d.(type) {
	case landing.Parcel:
		t.arrive(d)
	case landing.Greeting:
		t.keeper.Post(landing.GreetingChange{}.WithGreeting(d).WithNow(time.Now()))
	case landing.Inquiry:
		t.answer(d)
	case landing.Vouch:
		t.link.Send(d, d.Home())
	case landing.Refund, landing.Status, landing.Claim:
		t.common.Counters().Refused(landing.RefusalMalformed)
	}
}

// answer passes an inquiry on to the sidecar that it asks for, or vouches when that is this one.
func (t *Traffic) answer(q landing.Inquiry) {
	if q.Subject() == t.link.Home() {
		t.link.Send(landing.Vouch{}.WithSubject(q.Subject()).WithHome(q.Home()), q.Proxy())
		return
	}
	if q.Proxy() == 0 {
		t.link.Send(q.WithProxy(t.link.Home()), q.Subject())
	}
}

// arrive takes a packet of a caller that came along its chain.
func (t *Traffic) arrive(p landing.Parcel) {
	packet, err := platform.OpenPacket(p.Packet())
	if err != nil || int(p.Position()) >= p.HopsLen() {
		t.common.Counters().Refused(landing.RefusalMalformed)
		return
	}
	s := t.keeper.Snapshot()
	if p.Rules() > s.rules.Rules().Revision() || p.Exclusions() > s.exclusions.Revision() {
		t.keeper.Post(landing.RevisionChange{}.WithRules(p.Rules()).WithExclusions(p.Exclusions()))
	}
	now := time.Now()
	segment := packet.FromCaller()
	refusal := landing.RefusalUnspecified
	refuse := func(l load) landing.Refusal {
		refusal = t.refuse(s, p, segment, l, now)
		return refusal
	}
	at := t.position(s, p)
	step := t.table.decide(segment, at, s.Unknown(), refuse, now)
	t.logStep(segment, p, step, refusal)
	t.logRequest(segment, p, packet, step)
	t.carryOut(step, p, packet, segment, refusal)
}

func (t *Traffic) position(s Snapshot, p landing.Parcel) landing.Position {
	l := t.table.load()
	return landing.Position{}.
		WithNext(int(p.Position())+1 < p.HopsLen()).
		WithMore(true).
		WithBusy(s.presence.Slots() > 0 && l.running >= int(s.presence.Slots())).
		WithDeferred(p.Deferred() > 0).
		WithRecalled(p.Recalled())
}

// refuse is the last gate for a new flow.
func (t *Traffic) refuse(s Snapshot, p landing.Parcel, segment landing.Segment, l load, now time.Time) landing.Refusal {
	listener, found := s.rules.Find(segment.Key())
	// A balancer with newer rules knows better than this sidecar.
	isAllowed := p.Rules() > s.rules.Rules().Revision() || found && rules.Allows(listener, t.settings.Service())
	return entry.Refuse(entry.Door{
		IsForeign:  p.Service() != t.service,
		IsEnrolled: s.IsEnrolled(now),
		IsAllowed:  s.rules != nil && isAllowed,
		IsExcluded: s.IsExcluded(t.settings.Zone()),
		Phase:      s.Phase(now, t.settings.Heartbeat()),
		IsCold:     presence.IsCold(s.presence, now),
		Room:       t.room(s, l, now),
	})
}

// room returns the number of new flows that the upstream takes now.
func (t *Traffic) room(s Snapshot, l load, now time.Time) int {
	pool := s.rules.Pool(t.settings.Service())
	room := int(pool.Connections()) - l.flows
	if presence.IsCold(s.presence, now) {
		return min(room, l.window.Room(pool.Rate(), now))
	}
	return room
}

// carryOut does what was decided about a caller's packet.
func (t *Traffic) carryOut(step landing.Step, p landing.Parcel, packet platform.Packet, segment landing.Segment, refusal landing.Refusal) {
	switch step := step.(type) {
	case landing.Complete:
		t.deliver(p, packet)
		t.claim(p, segment.Key())
	case landing.Deliver:
		t.deliver(p, packet)
		if p.Part() > 0 || p.Position() > 0 {
			t.claim(p, segment.Key())
		}
	case landing.Take:
		now := time.Now()
		if s := t.keeper.Snapshot(); t.isFull(s, now) {
			t.park(s, p, segment, now)
			return
		}
		t.table.noteEntry(segment.Key(), now)
		t.deliver(p, packet)
		if p.Part() > 0 || p.Position() > 0 {
			t.claim(p, segment.Key())
		}
	case landing.Ask:
		t.deliver(p, packet)
	case landing.Both:
		t.deliver(p, packet)
		t.pass(p)
	case landing.Pass:
		t.pass(p)
	case landing.Defer:
		if p.Deferred() == 0 {
			p = p.WithDeferred(p.Position() + 1)
		}
		t.pass(p)
	case landing.Recall:
		t.send(p.WithPosition(p.Deferred() - 1).WithRecalled(true))
	case landing.Return:
		t.refund(p, refusal)
	case landing.Reset:
		t.refund(p, step.Reason())
	case landing.Replace:
		t.table.forget(segment.Key())
	case landing.Drop:
		t.common.Counters().Refused(step.Reason())
	}
}

// deliver hands a packet to the upstream. Its chain is remembered for the case that it comes back.
func (t *Traffic) deliver(p landing.Parcel, packet platform.Packet) {
	packet.Mark(t.ring.put(p))
	_, err := t.upstream.Write(packet.Bytes())
	if err == nil || errors.Is(err, net.ErrClosed) {
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		t.keeper.Post(landing.SightChange{}.WithSight(landing.Vanished{}))
	}
	t.common.Counters().Counter("write_failed").Inc(1)
}

func (t *Traffic) pass(p landing.Parcel) {
	t.send(p.WithPosition(p.Position() + 1))
}

func (t *Traffic) send(p landing.Parcel) {
	t.link.Send(p, p.HopsAt(int(p.Position())))
}

func (t *Traffic) refund(p landing.Parcel, reason landing.Refusal) {
	s := t.keeper.Snapshot()
	newest := max(p.Rules(), s.rules.Rules().Revision())
	changed := max(p.Exclusions(), s.exclusions.Changed())
	t.link.Send(landing.Refund{}.WithParcel(p.WithRules(newest).WithExclusions(changed)).WithReason(reason), p.Home())
}

func (t *Traffic) claim(p landing.Parcel, k landing.Key) {
	t.link.Send(landing.Claim{}.WithKey(k).WithBorn(t.born(k)), p.Home())
}

// born returns the start of the upstream's incarnation if it is known to hold the flow, else 0.
func (t *Traffic) born(k landing.Key) uint64 {
	if !t.table.isOpen(k) {
		return 0
	}
	return bornMillis(t.keeper.Snapshot().presence)
}

func bornMillis(p landing.Presence) uint64 {
	return uint64(max(p.Born().UnixMilli(), 0))
}

// leave takes a packet of the upstream.
func (t *Traffic) leave(b []byte, _ netip.AddrPort) {
	packet, err := platform.OpenPacket(b)
	if err != nil {
		t.common.Counters().Refused(landing.RefusalMalformed)
		return
	}
	if packet.IsReturned() {
		t.takeBack(packet)
		return
	}
	segment := packet.FromUpstream()
	took := t.table.noteUpstream(segment, time.Now())
	t.toCaller(segment.Key(), packet)
	if took > 0 {
		t.answers.Update(int64(took))
		t.admit()
	}
}

func (t *Traffic) toCaller(k landing.Key, packet platform.Packet) {
	t.link.SendBytes(packet.Bytes(), platform.Caller(k, t.callers))
}

// takeBack takes a packet that the upstream returned: it does not hold the flow or cannot take it.
func (t *Traffic) takeBack(packet platform.Packet) {
	p, found := t.ring.take(packet.Note())
	packet.Restore()
	segment := packet.FromCaller()
	t.table.forget(segment.Key())
	if !found {
		t.common.Counters().Refused(landing.RefusalUnknown)
		return
	}
	refusal := landing.RefusalUnspecified
	if segment.Opening() {
		refusal = landing.RefusalRoom
	}
	s := t.keeper.Snapshot()
	step := hold.Decide(landing.Absent{}, segment, t.position(s, p), refusal)
	t.logStep(segment, p, step, refusal)
	t.carryOut(step, p.WithPacket(packet.Bytes()), packet, segment, refusal)
}

// hasEnded says whether the upstream's process has ended: its port is closed. That it says it leaves is no proof, since
// it still serves what it holds.
func (t *Traffic) hasEnded() bool {
	conn, err := net.DialTimeout("tcp4", t.settings.Upstream(), probeTimeout)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// resetLost resets the flows of an upstream whose process has ended, so that their callers try again at once.
func (t *Traffic) resetLost() {
	t.resetAll(t.table.clear(), "upstream ended")
}

// resetRecorded resets the flows that an earlier incarnation of the upstream held. One that is in the table was opened
// since.
func (t *Traffic) resetRecorded(r landing.Holdings) {
	var list []landing.Held
	for _, h := range r.Flows() {
		if !t.table.has(h.Key()) {
			list = append(list, h)
		}
	}
	t.resetAll(list, "upstream ended before the start")
}

func (t *Traffic) resetAll(list []landing.Held, reason string) {
	if len(list) == 0 {
		return
	}
	t.common.Log().Info("flows reset", "reason", reason, "flows", len(list))
	for _, h := range list {
		t.common.Counters().Counter("reset.ended").Inc(1)
		t.toCaller(h.Key(), platform.NewReset(h.Key(), h.Acknowledged()))
	}
}
