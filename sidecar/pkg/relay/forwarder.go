package relay

import (
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/clock"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/link"
	"github.com/crocuslanding/crocuslanding/core/pkg/plan"
	"github.com/crocuslanding/crocuslanding/core/pkg/policy"
	"github.com/crocuslanding/crocuslanding/core/pkg/socket"
	"github.com/crocuslanding/crocuslanding/platform"
)

// Forwarder relays packets between other processes of the fleet, the upstream and the callers.
type Forwarder struct {
	telemetry     common.Telemetry
	settings      landing.RelaySidecarSettings
	controlThread *ControlThread
	link          *link.Link
	outboundConn  *net.UDPConn
	upstreamConn  *net.UDPConn
	// callerPort is the UDP port at which all callers receive packets.
	callerPort uint16
	serviceTag uint32
	table      *table
	// delivered holds the chains of the packets that were delivered to the upstream last.
	delivered *packetRing
	queue     waitQueue
	// queueBlocked receives a value when SYNs wait while no slot is free.
	queueBlocked chan struct{}
	stopper      *common.Stopper
	startedAt    time.Time
	// statusCount is the number of statuses sent, which is the sequence number of the last one.
	statusCount atomic.Uint64
	// sentStatuses holds the times of the last statuses, which subscriptions acknowledge.
	sentStatuses statusTimes
	// responseTimes holds the latencies of requests in nanoseconds.
	responseTimes metrics.Histogram
	// waitTimes holds the times in nanoseconds from the last copy of a SYN to the removal of that SYN from
	// the queue.
	waitTimes metrics.Histogram
}

// NewForwarder returns a forwarder whose sockets are open. Start must be called. NewForwarder returns an
// error when an address in the settings cannot be used.
func NewForwarder(c common.Telemetry, s landing.RelaySidecarSettings, controlThread *ControlThread) (*Forwarder, error) {
	frontAddress, err := netip.ParseAddrPort(s.Front())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	upstreamAddress, err := netip.ParseAddrPort(s.Upstream())
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
	// Writes to a connected socket fail with ECONNREFUSED when the upstream's socket is closed.
	upstream, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(upstreamAddress))
	if err != nil {
		l.Close()
		_ = outbound.Close()
		return nil, trace.Wrap(err)
	}
	f := &Forwarder{
		telemetry:     c,
		settings:      s,
		controlThread: controlThread,
		link:          l,
		outboundConn:  outbound,
		upstreamConn:  upstream,
		callerPort:    frontAddress.Port(),
		serviceTag:    plan.ServiceTag(s.Service()),
		delivered:     newPacketRing(),
		queueBlocked:  make(chan struct{}, 1),
		stopper:       common.NewStopper(),
		startedAt:     clock.Now(),
		responseTimes: c.Counters().DurationHistogram("answer"),
		waitTimes:     c.Counters().DurationHistogram("wait"),
	}
	f.table = newTable(clock.Now(), f.requestTimeout)
	f.registerGauges()
	return f, nil
}

// requestTimeout returns the time for which the caller of a flow waits for a response, as the rules in force
// state it; 0 when they do not.
func (f *Forwarder) requestTimeout(k landing.FlowKey) time.Duration {
	listener, _ := f.controlThread.Policy().Rules().FindListener(k)
	return listener.RequestTimeout()
}

// registerGauges registers the gauges for the identity of the sidecar, its current load, the revisions in force, and
// the ages of the upstream's last heartbeat and of the enrollment's last confirmation, which are -1 when there was none.
func (f *Forwarder) registerGauges() {
	c := f.telemetry.Counters()
	// The value of these three is the label, so that readers need no other source for the sidecar's place in the fleet.
	c.RegisterGauge("instance."+f.settings.Instance(), func() int64 { return 1 })
	c.RegisterGauge("service."+f.settings.Service(), func() int64 { return 1 })
	c.RegisterGauge("zone."+f.settings.Zone(), func() int64 { return 1 })
	f.registerLoadGauges()
	c.RegisterGauge("revision.version", func() int64 { return int64(f.controlThread.Policy().AdvertisedRevisions().RulesVersion()) })
	c.RegisterGauge("revision.rules", func() int64 { return int64(f.controlThread.Policy().AdvertisedRevisions().Rules()) })
	c.RegisterGauge("revision.exclusions", func() int64 { return int64(f.controlThread.Policy().AdvertisedRevisions().Exclusions()) })
	c.RegisterGauge("revision.era", func() int64 { return int64(f.controlThread.Policy().Exclusions().Era()) })
	c.RegisterGauge("heartbeat_age_ms", func() int64 {
		lastHeartbeat := f.controlThread.Snapshot().upstream.LastHeartbeat()
		if lastHeartbeat.IsZero() {
			return -1
		}
		return clock.Since(lastHeartbeat).Milliseconds()
	})
	c.RegisterGauge("enrollment_age_ms", func() int64 {
		age, isConfirmed := f.controlThread.Snapshot().EnrollmentAge(clock.Now())
		if !isConfirmed {
			return -1
		}
		return age.Milliseconds()
	})
}

// registerLoadGauges registers the gauges for the load of the upstream and the packets that wait.
func (f *Forwarder) registerLoadGauges() {
	c := f.telemetry.Counters()
	load := func() upstreamLoad { return f.table.load(clock.Now()) }
	c.RegisterGauge("flows", func() int64 { return int64(load().flowCount) })
	c.RegisterGauge("running", func() int64 { return int64(load().runningRequests) })
	c.RegisterGauge("busy", func() int64 { return int64(load().busySlots) })
	c.RegisterGauge("latency_us", func() int64 { return load().averageLatency.Microseconds() })
	// The name "ejected" belongs to the counter of ejections, and a metric of the same name would replace it.
	c.RegisterGauge("is_ejected", func() int64 {
		if load().history.IsHealthy(clock.Now()) {
			return 0
		}
		return 1
	})
	c.RegisterGauge("utilization_permille", func() int64 {
		now := clock.Now()
		upstream := f.offeredUpstream(f.controlThread.Snapshot(), f.table.load(now), landing.FlowKey{}, now)
		return int64(f.queue.utilization(upstream, now) * 1000)
	})
	c.RegisterGauge("slots", func() int64 { return int64(f.controlThread.Snapshot().upstream.Slots()) })
	c.RegisterGauge("waiting", func() int64 { return int64(f.queue.len()) })
	c.RegisterGauge("waiting_timely", func() int64 {
		timely, _ := f.queue.countWaiting(clock.Now())
		return int64(timely)
	})
	c.RegisterGauge("waiting_late", func() int64 {
		_, late := f.queue.countWaiting(clock.Now())
		return int64(late)
	})
}

// Start starts the workers that receive packets and the one that sends statuses.
func (f *Forwarder) Start() {
	f.stopper.Go(func() { f.link.Receive(f.handleDatagram) })
	f.stopper.Go(func() { link.ReadDatagrams(f.outboundConn, f.telemetry.Counters(), f.handleUpstreamPacket) })
	f.stopper.Go(f.reportStatus)
	f.stopper.Go(f.admitOnLapse)
}

// Stop closes the sockets and waits for the workers.
func (f *Forwarder) Stop() {
	f.stopper.Close()
	f.link.Close()
	_ = f.outboundConn.Close()
	_ = f.upstreamConn.Close()
	f.stopper.Wait()
}

// handleDatagram handles a datagram from another process of the fleet.
func (f *Forwarder) handleDatagram(d landing.Datagram, _ uint64) {
	switch d := d.(type) {
	case landing.ForwardedPacket:
		f.handlePacket(d, time.Time{})
	case landing.StatusSubscription:
		f.controlThread.Post(landing.SubscriptionReceived{}.WithSubscription(d).WithReceivedAt(clock.Now()).WithAcknowledgedAt(f.acknowledgedAt(d)))
	case landing.IndirectProbe:
		f.answerProbe(d)
	case landing.IndirectProbeAck:
		f.link.Send(d, d.BalancerAddress())
	case landing.ReturnedPacket, landing.SidecarStatus, landing.FlowClaim:
		f.telemetry.Counters().CountRefusal(landing.RefusalMalformed)
	}
}

// answerProbe acknowledges an indirect probe whose subject is this sidecar. It passes a probe of another
// sidecar on to that sidecar, unless the probe was already passed on once.
func (f *Forwarder) answerProbe(probe landing.IndirectProbe) {
	if probe.SubjectAddress() == f.link.LocalAddress() {
		f.link.Send(landing.IndirectProbeAck{}.WithSubjectAddress(probe.SubjectAddress()).WithBalancerAddress(probe.BalancerAddress()), probe.ProxyAddress())
		return
	}
	if probe.ProxyAddress() == 0 {
		f.link.Send(probe.WithProxyAddress(f.link.LocalAddress()), probe.SubjectAddress())
	}
}

// handlePacket decides about a caller's packet that arrived along its chain, and carries out the action. A SYN
// from the queue has waited since waitingSince, which is the zero time for a packet that has just arrived.
func (f *Forwarder) handlePacket(forwarded landing.ForwardedPacket, waitingSince time.Time) {
	packet, err := platform.ParsePacket(forwarded.Packet())
	if err != nil || int(forwarded.HopIndex()) >= forwarded.HopAddressesLen() {
		f.telemetry.Counters().CountRefusal(landing.RefusalMalformed)
		return
	}
	s := f.controlThread.Snapshot()
	if seen := policy.RevisionsOfPacket(forwarded); s.policy.IsOlderThan(seen) {
		f.controlThread.Post(landing.RevisionsSeen{}.WithRevisions(seen))
	}
	now := clock.Now()
	segment := packet.CallerSegment()
	refusal := landing.RefusalUnspecified
	decideRefusal := func(l upstreamLoad) landing.Refusal {
		refusal = f.refusalReason(s, forwarded, segment, l, now)
		return refusal
	}
	position := f.position(s, forwarded, segment, now)
	action := f.table.decide(segment, position, s.UntrackedFlowState(), decideRefusal, now)
	f.logAction(segment, forwarded, action, refusal)
	f.logRequest(segment, forwarded, packet, action)
	f.execute(action, forwarded, packet, segment, refusal, waitingSince)
	if segment.IsReset() || segment.HasFin() {
		f.admitWaiting()
	}
}
