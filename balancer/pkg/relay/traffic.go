package relay

import (
	"net"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/link"
	"github.com/crocuslanding/crocuslanding/core/pkg/policy"
	"github.com/crocuslanding/crocuslanding/core/pkg/socket"
	"github.com/crocuslanding/crocuslanding/platform"
)

// Forwarder sends callers' packets along chains of sidecars.
type Forwarder struct {
	common   common.Telemetry
	keeper   *ControlThread
	link     *link.Link
	front    *net.UDPConn
	callers  uint16
	zone     string
	cache    *cache
	inbox    inbox
	nobodies chan<- nobody
	done     *common.Stopper
}

// NewForwarder returns traffic whose sockets are open. Flows that nobody holds are sent to nobodies.
// It returns an error when an address cannot be used.
func NewForwarder(c common.Telemetry, s landing.RelayBalancerSettings, k *ControlThread, nobodies chan<- nobody) (*Forwarder, error) {
	front, err := netip.ParseAddrPort(s.Front())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	l, err := link.New(s.Fleet(), c.Counters())
	if err != nil {
		return nil, err
	}
	conn, err := socket.Listen(s.Front())
	if err != nil {
		l.Close()
		return nil, err
	}
	t := &Forwarder{
		common:   c,
		keeper:   k,
		link:     l,
		front:    conn,
		callers:  front.Port(),
		zone:     s.Zone(),
		cache:    newCache(),
		nobodies: nobodies,
		done:     common.NewStopper(),
	}
	t.registerGauges()
	return t, nil
}

// registerGauges lets the metrics show what the balancer believes.
func (t *Forwarder) registerGauges() {
	c := t.common.Counters()
	c.RegisterGauge("cached", func() int64 { return int64(t.cache.len()) })
	c.RegisterGauge("sidecars", func() int64 { return int64(len(t.keeper.Snapshot().directory.Sidecars())) })
	c.RegisterGauge("balancers", func() int64 { return int64(t.keeper.Snapshot().BalancerCount()) })
	c.RegisterGauge("revision.rules", func() int64 { return int64(t.keeper.Policy().AdvertisedRevisions().Rules()) })
	c.RegisterGauge("revision.exclusions", func() int64 { return int64(t.keeper.Policy().AdvertisedRevisions().Exclusions()) })
	c.RegisterGauge("revision.roll", func() int64 { return int64(t.keeper.Snapshot().directory.EnrollmentList().Revision()) })
}

// Start starts to read packets.
func (t *Forwarder) Start() {
	t.done.Go(func() { link.ReadDatagrams(t.front, t.common.Counters(), t.arrive) })
	t.done.Go(func() { t.link.Receive(t.receive) })
	t.done.Go(t.deliverStatuses)
}

// Stop closes the sockets and waits for the readers.
func (t *Forwarder) Stop() {
	t.done.Close()
	t.link.Close()
	_ = t.front.Close()
	t.done.Wait()
}

// arrive takes a packet of a caller.
func (t *Forwarder) arrive(b []byte, _ netip.AddrPort) {
	packet, err := platform.ParsePacket(b)
	if err != nil {
		t.common.Counters().CountRefusal(landing.RefusalMalformed)
		return
	}
	s := t.keeper.Snapshot()
	segment := packet.CallerSegment()
	if !s.HasInitialState() {
		t.common.Counters().CountRefusal(landing.RefusalUnready)
		return
	}
	listener, found := s.policy.Rules().FindListener(segment.Key())
	switch {
	case !found:
		t.refuseUnlisted(segment)
	case segment.IsSyn():
		t.open(s, listener, segment, packet)
	default:
		t.forward(s, listener, segment, packet)
	}
}

// parcel returns a parcel around the packet that says what this balancer knows.
func (t *Forwarder) parcel(s Snapshot, packet platform.Packet) landing.ForwardedPacket {
	shown := s.policy.AdvertisedRevisions()
	return landing.ForwardedPacket{}.
		WithBalancerAddress(t.link.LocalAddress()).
		WithRulesRevision(shown.Rules()).
		WithExclusionsChangedRevision(shown.Exclusions()).
		WithEnrollmentsChangedRevision(s.directory.ChangedRevision()).
		WithPacket(packet.Bytes())
}

func (t *Forwarder) send(p landing.ForwardedPacket) {
	t.link.Send(p, p.HopAddressesAt(int(p.HopIndex())))
}

// receive takes a datagram from a sidecar.
func (t *Forwarder) receive(d landing.Datagram, from uint64) {
	switch d := d.(type) {
	case landing.ReturnedPacket:
		t.takeBack(d)
	case landing.SidecarStatus:
		t.inbox.add(landing.ReceivedStatus{}.WithStatus(d).WithSourceAddress(from).WithReceivedAt(time.Now()))
	case landing.FlowClaim:
		t.cache.claim(d.Key(), from, d.UpstreamStartMillis(), time.Now())
	case landing.IndirectProbeAck:
		t.keeper.Post(landing.ProbeAckReceived{}.WithSubjectAddress(d.SubjectAddress()).WithProxyAddress(from).WithReceivedAt(time.Now()))
	case landing.ForwardedPacket, landing.StatusSubscription, landing.IndirectProbe:
		t.common.Counters().CountRefusal(landing.RefusalMalformed)
	}
}

// takeBack takes a packet that no sidecar of its chain has taken.
func (t *Forwarder) takeBack(r landing.ReturnedPacket) {
	p := r.ForwardedPacket()
	packet, err := platform.ParsePacket(p.Packet())
	if err != nil || int(p.HopIndex()) >= p.HopAddressesLen() {
		t.common.Counters().CountRefusal(landing.RefusalMalformed)
		return
	}
	s := t.keeper.Snapshot()
	if shown := policy.NewRevisions(p.RulesRevision(), p.ExclusionsChangedRevision()); s.policy.IsOlderThan(shown) {
		t.keeper.Post(landing.RevisionsSeen{}.WithRevisions(shown))
	}
	segment := packet.CallerSegment()
	listener, found := s.policy.Rules().FindListener(segment.Key())
	if !found {
		t.refuseUnlisted(segment)
		return
	}
	if segment.IsSyn() {
		t.openAgain(s, listener, segment, p, r.Reason(), packet)
		return
	}
	if p.ChainPart() == 0 {
		t.cache.forget(segment.Key(), p.HopAddressesAt(p.HopAddressesLen()-1))
	}
	t.search(s, listener, segment, withAsked(s, listener, p))
}
