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

// Traffic sends callers' packets along chains of sidecars.
type Traffic struct {
	common   common.Common
	keeper   *Keeper
	link     *link.Link
	front    *net.UDPConn
	callers  uint16
	zone     string
	cache    *cache
	inbox    inbox
	nobodies chan<- nobody
	done     *common.Done
}

// NewTraffic returns traffic whose sockets are open. Flows that nobody holds are sent to nobodies.
// It returns an error when an address cannot be used.
func NewTraffic(c common.Common, s landing.RelayBalancerSettings, k *Keeper, nobodies chan<- nobody) (*Traffic, error) {
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
	t := &Traffic{
		common:   c,
		keeper:   k,
		link:     l,
		front:    conn,
		callers:  front.Port(),
		zone:     s.Zone(),
		cache:    newCache(),
		nobodies: nobodies,
		done:     common.NewDone(),
	}
	t.registerGauges()
	return t, nil
}

// registerGauges lets the metrics show what the balancer believes.
func (t *Traffic) registerGauges() {
	c := t.common.Counters()
	c.Gauge("cached", func() int64 { return int64(t.cache.len()) })
	c.Gauge("sidecars", func() int64 { return int64(len(t.keeper.Snapshot().directory.Neighbors())) })
	c.Gauge("balancers", func() int64 { return int64(t.keeper.Snapshot().Balancers()) })
	c.Gauge("revision.rules", func() int64 { return int64(t.keeper.Policy().Shown().Rules()) })
	c.Gauge("revision.exclusions", func() int64 { return int64(t.keeper.Policy().Shown().Exclusions()) })
	c.Gauge("revision.roll", func() int64 { return int64(t.keeper.Snapshot().directory.Roll().Revision()) })
}

// Start starts to read packets.
func (t *Traffic) Start() {
	t.done.Go(func() { link.ReadAll(t.front, t.common.Counters(), t.arrive) })
	t.done.Go(func() { t.link.Receive(t.receive) })
	t.done.Go(t.deliverStatuses)
}

// Stop closes the sockets and waits for the readers.
func (t *Traffic) Stop() {
	t.done.Close()
	t.link.Close()
	_ = t.front.Close()
	t.done.Wait()
}

// arrive takes a packet of a caller.
func (t *Traffic) arrive(b []byte, _ netip.AddrPort) {
	packet, err := platform.OpenPacket(b)
	if err != nil {
		t.common.Counters().Refused(landing.RefusalMalformed)
		return
	}
	s := t.keeper.Snapshot()
	segment := packet.FromCaller()
	if !s.IsKnown() {
		t.common.Counters().Refused(landing.RefusalUnready)
		return
	}
	listener, found := s.policy.Rules().Find(segment.Key())
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
func (t *Traffic) parcel(s Snapshot, packet platform.Packet) landing.ForwardedPacket {
	shown := s.policy.Shown()
	return landing.ForwardedPacket{}.
		WithBalancerAddress(t.link.Home()).
		WithRulesRevision(shown.Rules()).
		WithExclusionsChangedRevision(shown.Exclusions()).
		WithEnrollmentsChangedRevision(s.directory.Changed()).
		WithPacket(packet.Bytes())
}

func (t *Traffic) send(p landing.ForwardedPacket) {
	t.link.Send(p, p.HopAddressesAt(int(p.HopIndex())))
}

// receive takes a datagram from a sidecar.
func (t *Traffic) receive(d landing.Datagram, from uint64) {
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
		t.common.Counters().Refused(landing.RefusalMalformed)
	}
}

// takeBack takes a packet that no sidecar of its chain has taken.
func (t *Traffic) takeBack(r landing.ReturnedPacket) {
	p := r.ForwardedPacket()
	packet, err := platform.OpenPacket(p.Packet())
	if err != nil || int(p.HopIndex()) >= p.HopAddressesLen() {
		t.common.Counters().Refused(landing.RefusalMalformed)
		return
	}
	s := t.keeper.Snapshot()
	if shown := policy.ShownBy(p.RulesRevision(), p.ExclusionsChangedRevision()); s.policy.Lacks(shown) {
		t.keeper.Post(landing.RevisionsSeen{}.WithRevisions(shown))
	}
	segment := packet.FromCaller()
	listener, found := s.policy.Rules().Find(segment.Key())
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
