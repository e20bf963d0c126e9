package relay

import (
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/link"
	"github.com/crocuslanding/crocuslanding/core/pkg/plan"
	"github.com/crocuslanding/crocuslanding/core/pkg/policy"
	"github.com/crocuslanding/crocuslanding/core/pkg/socket"
	"github.com/crocuslanding/crocuslanding/platform"
)

// Forwarder relays packets between the fleet, the upstream and the callers.
type Forwarder struct {
	common    common.Telemetry
	settings  landing.RelaySidecarSettings
	keeper    *ControlThread
	link      *link.Link
	outbound  *net.UDPConn
	upstream  *net.UDPConn
	callers   uint16
	service   uint32
	table     *table
	ring      *ring
	waiting   waiting
	done      *common.Stopper
	startedAt time.Time
	sequence  atomic.Uint64
	answers   metrics.Histogram
	waits     metrics.Histogram
}

// NewForwarder returns traffic whose sockets are open. It returns an error when an address cannot be used.
func NewForwarder(c common.Telemetry, s landing.RelaySidecarSettings, k *ControlThread) (*Forwarder, error) {
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
	t := &Forwarder{
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
		done:      common.NewStopper(),
		startedAt: time.Now(),
		answers:   c.Counters().DurationHistogram("answer"),
		waits:     c.Counters().DurationHistogram("wait"),
	}
	t.registerGauges()
	return t, nil
}

// registerGauges lets the metrics show the present work and what the sidecar believes.
func (t *Forwarder) registerGauges() {
	c := t.common.Counters()
	c.RegisterGauge("flows", func() int64 { return int64(t.table.load().flows) })
	c.RegisterGauge("running", func() int64 { return int64(t.table.load().running) })
	c.RegisterGauge("waiting", func() int64 { return int64(t.waiting.len()) })
	c.RegisterGauge("revision.rules", func() int64 { return int64(t.keeper.Policy().AdvertisedRevisions().Rules()) })
	c.RegisterGauge("revision.exclusions", func() int64 { return int64(t.keeper.Policy().AdvertisedRevisions().Exclusions()) })
	c.RegisterGauge("heartbeat_age_ms", func() int64 {
		heard := t.keeper.Snapshot().presence.LastHeartbeat()
		if heard.IsZero() {
			return -1
		}
		return time.Since(heard).Milliseconds()
	})
}

// Start starts to read packets.
func (t *Forwarder) Start() {
	t.done.Go(func() { t.link.Receive(t.receive) })
	t.done.Go(func() { link.ReadDatagrams(t.outbound, t.common.Counters(), t.leave) })
	t.done.Go(t.report)
}

// Stop closes the sockets and waits for the readers.
func (t *Forwarder) Stop() {
	t.done.Close()
	t.link.Close()
	_ = t.outbound.Close()
	_ = t.upstream.Close()
	t.done.Wait()
}

// receive takes a datagram from another process of the fleet.
func (t *Forwarder) receive(d landing.Datagram, _ uint64) {
	switch d := d.(type) {
	case landing.ForwardedPacket:
		t.arrive(d)
	case landing.StatusSubscription:
		t.keeper.Post(landing.SubscriptionReceived{}.WithSubscription(d).WithReceivedAt(time.Now()))
	case landing.IndirectProbe:
		t.answer(d)
	case landing.IndirectProbeAck:
		t.link.Send(d, d.BalancerAddress())
	case landing.ReturnedPacket, landing.SidecarStatus, landing.FlowClaim:
		t.common.Counters().CountRefusal(landing.RefusalMalformed)
	}
}

// answer passes an inquiry on to the sidecar that it asks for, or vouches when that is this one.
func (t *Forwarder) answer(q landing.IndirectProbe) {
	if q.SubjectAddress() == t.link.LocalAddress() {
		t.link.Send(landing.IndirectProbeAck{}.WithSubjectAddress(q.SubjectAddress()).WithBalancerAddress(q.BalancerAddress()), q.ProxyAddress())
		return
	}
	if q.ProxyAddress() == 0 {
		t.link.Send(q.WithProxyAddress(t.link.LocalAddress()), q.SubjectAddress())
	}
}

// arrive takes a packet of a caller that came along its chain.
func (t *Forwarder) arrive(p landing.ForwardedPacket) {
	packet, err := platform.ParsePacket(p.Packet())
	if err != nil || int(p.HopIndex()) >= p.HopAddressesLen() {
		t.common.Counters().CountRefusal(landing.RefusalMalformed)
		return
	}
	s := t.keeper.Snapshot()
	if shown := policy.NewRevisions(p.RulesRevision(), p.ExclusionsChangedRevision()); s.policy.IsOlderThan(shown) {
		t.keeper.Post(landing.RevisionsSeen{}.WithRevisions(shown))
	}
	now := time.Now()
	segment := packet.CallerSegment()
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
