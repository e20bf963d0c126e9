package relay

import (
	"net"
	"net/netip"
	"slices"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/clock"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/link"
	"github.com/crocuslanding/crocuslanding/core/pkg/policy"
	"github.com/crocuslanding/crocuslanding/core/pkg/socket"
	"github.com/crocuslanding/crocuslanding/platform"
)

// Forwarder forwards packets from callers along chains of sidecars, and handles the datagrams that sidecars send to the
// balancer.
type Forwarder struct {
	telemetry  common.Telemetry
	control    *ControlThread
	link       *link.Link
	callerConn *net.UDPConn
	// callerPort is the UDP port at the callers to which resets are sent.
	callerPort uint16
	// zone is the availability zone of the balancer.
	zone     string
	flows    *flowCache
	searches *searchTable
	// searchBegun receives a value when a search has begun.
	searchBegun      chan struct{}
	statuses         statusInbox
	orphanCandidates chan<- orphanCandidate
	stopper          *common.Stopper
}

// NewForwarder returns a forwarder whose sockets are open. The forwarder reports each flow that no known sidecar holds on
// the channel orphanCandidates, or not at all while that channel is full. NewForwarder returns an error when an address
// cannot be used.
func NewForwarder(telemetry common.Telemetry, s landing.RelayBalancerSettings, control *ControlThread, orphanCandidates chan<- orphanCandidate) (*Forwarder, error) {
	frontAddress, err := netip.ParseAddrPort(s.Front())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	fleetLink, err := link.New(s.Fleet(), telemetry.Counters())
	if err != nil {
		return nil, err
	}
	conn, err := socket.Listen(s.Front())
	if err != nil {
		fleetLink.Close()
		return nil, err
	}
	f := &Forwarder{
		telemetry:        telemetry,
		control:          control,
		link:             fleetLink,
		callerConn:       conn,
		callerPort:       frontAddress.Port(),
		zone:             s.Zone(),
		flows:            newFlowCache(),
		searches:         newSearchTable(),
		searchBegun:      make(chan struct{}, 1),
		orphanCandidates: orphanCandidates,
		stopper:          common.NewStopper(),
	}
	f.registerGauges()
	return f, nil
}

// registerGauges adds the size of the flow cache, and the sizes and revisions of the control state, to the metrics.
func (f *Forwarder) registerGauges() {
	c := f.telemetry.Counters()
	c.RegisterGauge("cached", func() int64 { return int64(f.flows.len()) })
	c.RegisterGauge("sidecars", func() int64 { return int64(len(f.control.Snapshot().directory.Sidecars())) })
	c.RegisterGauge("balancers", func() int64 { return int64(f.control.Snapshot().BalancerCount()) })
	c.RegisterGauge("revision.version", func() int64 { return int64(f.control.Policy().AdvertisedRevisions().RulesVersion()) })
	c.RegisterGauge("revision.rules", func() int64 { return int64(f.control.Policy().AdvertisedRevisions().Rules()) })
	c.RegisterGauge("revision.exclusions", func() int64 { return int64(f.control.Policy().AdvertisedRevisions().Exclusions()) })
	c.RegisterGauge("revision.era", func() int64 { return int64(f.control.Snapshot().StoreEra()) })
	c.RegisterGauge("revision.roll", func() int64 { return int64(f.control.Snapshot().directory.EnrollmentList().Revision()) })
}

// Start starts the goroutines that read the sockets.
func (f *Forwarder) Start() {
	f.stopper.Go(func() { link.ReadDatagrams(f.callerConn, f.telemetry.Counters(), f.handleCallerPacket) })
	f.stopper.Go(func() { f.link.Receive(f.handleDatagram) })
	f.stopper.Go(f.postStatuses)
	f.stopper.Go(f.continueSearches)
}

// Stop closes the sockets and waits until the goroutines have ended.
func (f *Forwarder) Stop() {
	f.stopper.Close()
	f.link.Close()
	_ = f.callerConn.Close()
	f.stopper.Wait()
}

// handleCallerPacket forwards or refuses a packet from a caller.
func (f *Forwarder) handleCallerPacket(datagram []byte, _ netip.AddrPort) {
	packet, err := platform.ParsePacket(datagram)
	if err != nil {
		f.telemetry.Counters().CountRefusal(landing.RefusalMalformed)
		return
	}
	s := f.control.Snapshot()
	segment := packet.CallerSegment()
	if !s.HasInitialState() {
		f.telemetry.Counters().CountRefusal(landing.RefusalUnready)
		return
	}
	listener, found := s.policy.Rules().FindListener(segment.Key())
	switch {
	case !found:
		f.refuseUnknownService(s, segment)
	case segment.IsSyn():
		f.openFlow(s, listener, segment, packet)
	default:
		f.forwardOpenFlow(s, listener, segment, packet)
	}
}

// newForwardedPacket wraps a packet for its way along a chain, together with the revisions that this balancer has in
// force. The hops are still to be set by the caller of this function.
func (f *Forwarder) newForwardedPacket(s Snapshot, packet platform.Packet) landing.ForwardedPacket {
	p := landing.ForwardedPacket{}.WithBalancerAddress(f.link.LocalAddress()).WithPacket(packet.Bytes())
	return policy.PacketWithRevisions(p, s.policy.AdvertisedRevisions())
}

// send sends the packet to its current hop.
func (f *Forwarder) send(p landing.ForwardedPacket) {
	f.link.Send(p, p.HopAddressesAt(int(p.HopIndex())))
}

// handleDatagram handles a datagram from the sidecar at the address sender.
func (f *Forwarder) handleDatagram(datagram landing.Datagram, sender uint64) {
	switch datagram := datagram.(type) {
	case landing.ReturnedPacket:
		f.handleReturnedPacket(datagram)
	case landing.SidecarStatus:
		f.statuses.add(landing.ReceivedStatus{}.WithStatus(datagram).WithSourceAddress(sender).WithReceivedAt(clock.Now()))
	case landing.FlowClaim:
		f.flows.putClaim(datagram.Key(), sender, datagram.UpstreamStartMillis(), clock.Now())
		f.handleFound(datagram.Key(), sender)
	case landing.IndirectProbeAck:
		f.control.Post(landing.ProbeAckReceived{}.WithSubjectAddress(datagram.SubjectAddress()).WithProxyAddress(sender).WithReceivedAt(clock.Now()))
	case landing.ForwardedPacket, landing.StatusSubscription, landing.IndirectProbe:
		f.telemetry.Counters().CountRefusal(landing.RefusalMalformed)
	}
}

// handleReturnedPacket handles a packet that no sidecar of its chain accepted. It offers a new flow to further sidecars,
// refuses it or leaves it to the caller's next copy. For a packet of an open flow it begins or continues a search.
func (f *Forwarder) handleReturnedPacket(returned landing.ReturnedPacket) {
	p := returned.ForwardedPacket()
	packet, err := platform.ParsePacket(p.Packet())
	if err != nil || int(p.HopIndex()) >= p.HopAddressesLen() {
		f.telemetry.Counters().CountRefusal(landing.RefusalMalformed)
		return
	}
	s := f.control.Snapshot()
	if advertised := policy.RevisionsOfPacket(p); s.policy.IsOlderThan(advertised) {
		f.control.Post(landing.RevisionsSeen{}.WithRevisions(advertised))
	}
	segment := packet.CallerSegment()
	listener, found := s.policy.Rules().FindListener(segment.Key())
	if !found {
		f.refuseUnknownService(s, segment)
		return
	}
	if segment.IsSyn() {
		f.retryOpening(s, listener, segment, p, returned.Reason(), packet)
		return
	}
	if p.ChainPart() == 0 {
		f.flows.remove(segment.Key(), p.HopAddressesAt(p.HopAddressesLen()-1))
		f.findHolder(s, listener, segment, f.newForwardedPacket(s, packet))
		return
	}
	f.continueSearch(s, listener, segment, p.SearchNumber(), slices.Clone(p.HopAddresses()))
}
