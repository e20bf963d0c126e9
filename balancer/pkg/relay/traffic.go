package relay

import (
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/absence"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
	"github.com/crocuslanding/crocuslanding/core/pkg/chain"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/link"
	"github.com/crocuslanding/crocuslanding/core/pkg/placement"
	"github.com/crocuslanding/crocuslanding/core/pkg/plan"
	"github.com/crocuslanding/crocuslanding/core/pkg/reject"
	"github.com/crocuslanding/crocuslanding/core/pkg/rules"
	"github.com/crocuslanding/crocuslanding/core/pkg/socket"
	"github.com/crocuslanding/crocuslanding/core/pkg/walk"
	"github.com/crocuslanding/crocuslanding/platform"
)

const (
	// firstHops is the number of sidecars to which a new flow is offered before the balancer orders the rest.
	firstHops = 3
	// lastCopy is the number of the copy of an opening packet with which another sidecar is tried, although the
	// first one is heard: two lost packets in a row are rare.
	lastCopy = 2
	// maxParts bounds a walk: 64 parts are 1,536 sidecars of one region, and a walk that begins anew with each change of
	// the roll ends.
	maxParts = 64
	// freshStatus is the age of a status up to which its sidecar is taken to live: one interval and some slack.
	freshStatus = 350 * time.Millisecond
)

// Traffic sends callers' packets along chains of sidecars.
type Traffic struct {
	common   common.Common
	keeper   *Keeper
	link     *link.Link
	front    *net.UDPConn
	callers  uint16
	cache    *cache
	inbox    inbox
	nobodies chan<- nobody
	done     *common.Done
}

// nobody is a flow that no sidecar of a whole walk holds.
type nobody struct {
	key          landing.Key
	acknowledged uint32
	roll         uint64
	request      string
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
	c.Gauge("revision.rules", func() int64 { return int64(t.keeper.Snapshot().rules.Rules().Revision()) })
	c.Gauge("revision.exclusions", func() int64 { return int64(t.keeper.Snapshot().exclusions.Changed()) })
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
	listener, found := s.rules.Find(segment.Key())
	switch {
	case !found:
		t.refuseUnlisted(segment)
	case segment.Opening():
		t.open(s, listener, segment, packet)
	default:
		t.forward(s, listener, segment, packet)
	}
}

// refuseUnlisted takes a packet to an address that is in no rule. An open flow is reset only when this balancer
// knew it: another balancer may have newer rules.
func (t *Traffic) refuseUnlisted(segment landing.Segment) {
	t.common.Counters().Refused(landing.RefusalService)
	hop, found := t.cache.find(segment, time.Now())
	if found {
		t.cache.forget(segment.Key(), hop)
	}
	if found || segment.Opening() && segment.Copies() == 0 {
		t.reset(segment, landing.RefusalService)
	}
}

// open sends an opening packet to the sidecars that are best for the flow.
func (t *Traffic) open(s Snapshot, l landing.Listener, segment landing.Segment, packet platform.Packet) {
	now := time.Now()
	service, order := t.order(s, l, segment.Key(), now)
	before, isCopy := t.cache.find(segment, now)
	if isCopy && segment.Copies() > 0 {
		isHeard := false
		if n, known := s.directory.Find(before); known {
			isHeard = now.Sub(n.Heard()) <= freshStatus
		}
		order = orderForCopy(order, before, segment.Copies(), isHeard)
	}
	if len(order) == 0 {
		t.refuse(s, l, segment)
		return
	}
	hops := hopsOf(order)
	hops = hops[:min(len(hops), firstHops)]
	t.place(s, service, segment, hops, 0, packet)
}

// orderForCopy keeps the flow at the sidecar to which it was sent while that one is heard, and tries another one
// with the last copy.
func orderForCopy(order []landing.Candidate, before uint64, copies uint32, isHeard bool) []landing.Candidate {
	i := slices.IndexFunc(order, func(c landing.Candidate) bool { return c.Hop() == before })
	if i < 0 || len(order) == 1 {
		return order
	}
	same := order[i]
	rest := slices.Delete(slices.Clone(order), i, i+1)
	if copies >= lastCopy || !isHeard {
		return append(rest, same)
	}
	return append([]landing.Candidate{same}, rest...)
}

// order returns the first service of the listener with sidecars that may take the flow, and those in order.
func (t *Traffic) order(s Snapshot, l landing.Listener, k landing.Key, now time.Time) (string, []landing.Candidate) {
	hash := chain.HashKey(k)
	for _, service := range rules.Services(l, hash) {
		var candidates []landing.Candidate
		for _, n := range s.directory.OfService(service) {
			isExcluded := s.IsExcluded(n.Enrollment().Zone())
			candidates = append(candidates, placement.Candidate(n, isExcluded, t.cache.sentSince(n), now))
		}
		if order := placement.Order(candidates, hash); len(order) > 0 {
			return service, order
		}
	}
	return "", nil
}

func hopsOf(order []landing.Candidate) []uint64 {
	hops := make([]uint64, 0, len(order))
	for _, c := range order {
		hops = append(hops, c.Hop())
	}
	return hops
}

// place sends an opening packet along hops and remembers where it went.
func (t *Traffic) place(s Snapshot, service string, segment landing.Segment, hops []uint64, part uint32, packet platform.Packet) {
	t.cache.put(segment, hops[0], time.Now())
	if n, found := s.directory.Find(hops[0]); found {
		t.cache.noteSent(n)
		t.common.Log().Info("flow placed", "flow", address.Flow(segment.Key()), "sidecar", n.Enrollment().Instance(),
			"copies", segment.Copies(), "part", part, "running", n.Status().Running(), "flows", n.Status().Flows(),
			"age", ageOf(n), "rules", s.rules.Rules().Revision())
	}
	t.send(t.parcel(s, packet).WithService(plan.ServiceTag(service)).WithPart(part).WithHops(hops...))
}

// ageOf returns the age of a sidecar's status for the log.
func ageOf(n landing.Neighbor) string {
	if n.Heard().IsZero() {
		return "none"
	}
	return time.Since(n.Heard()).Round(time.Millisecond).String()
}

// refuse rejects a new flow for which no sidecar is open. While it is not known whether one will be in a moment,
// the caller is left to send its packet again.
func (t *Traffic) refuse(s Snapshot, l landing.Listener, segment landing.Segment) {
	if !reject.IsSettled(s.directory.ChangedAt(), time.Now()) {
		t.common.Counters().Refused(landing.RefusalUnready)
		return
	}
	for i := range l.SharesLen() {
		for _, n := range s.directory.OfService(l.SharesAt(i).Service()) {
			if n.Status().Phase() == landing.PhaseUnspecified && !s.IsExcluded(n.Enrollment().Zone()) {
				t.common.Counters().Refused(landing.RefusalUnready)
				return
			}
		}
	}
	t.refuseNew(segment, landing.RefusalZone)
}

// forward sends a packet of a flow that is not new to the sidecar that holds it.
func (t *Traffic) forward(s Snapshot, l landing.Listener, segment landing.Segment, packet platform.Packet) {
	hop, found := t.cache.find(segment, time.Now())
	if found {
		t.send(t.parcel(s, packet).WithHops(t.way(s, hop)...))
		return
	}
	t.search(s, l, segment, t.parcel(s, packet))
}

// way returns the hops to the sidecar at this address: by way of the one that vouches for it while it is not heard here.
func (t *Traffic) way(s Snapshot, hop uint64) []uint64 {
	n, found := s.directory.Find(hop)
	if found && absence.IsBehindCut(n, time.Now()) {
		return []uint64{n.Proxy(), hop}
	}
	return []uint64{hop}
}

// search sends a packet along the next part of the walk over all sidecars.
func (t *Traffic) search(s Snapshot, l landing.Listener, segment landing.Segment, p landing.Parcel) {
	hops := walk.Next(stops(s, l), withGone(s, p.Asked()), chain.HashKey(segment.Key()))
	if len(hops) == 0 {
		t.note(s, segment, p)
		return
	}
	if p.Part() >= maxParts {
		t.common.Counters().Counter("walks_broken_off").Inc(1)
		return
	}
	t.send(p.WithHops(hops...).WithPosition(0).WithPart(p.Part() + 1))
}

// withGone returns the set with the sidecars that have said that their upstream has ended.
func withGone(s Snapshot, asked walk.Asked) walk.Asked {
	for i, n := range s.directory.Neighbors() {
		if n.Status().Phase() == landing.PhaseLeft {
			asked = asked.With(i)
		}
	}
	return asked
}

// note hands over a flow that no sidecar holds, if all of them were asked.
func (t *Traffic) note(s Snapshot, segment landing.Segment, p landing.Parcel) {
	t.common.Counters().Refused(landing.RefusalUnknown)
	if p.Roll() != s.directory.Changed() || segment.Resets() {
		return
	}
	select {
	case t.nobodies <- nobody{key: segment.Key(), acknowledged: segment.Acknowledged(), roll: p.Roll(), request: requestOf(p)}:
	default:
		t.common.Counters().Counter("proofs_left_out").Inc(1)
	}
}

// requestOf returns the identifier of the request that a parcel carries, if any.
func requestOf(p landing.Parcel) string {
	packet, err := platform.OpenPacket(p.Packet())
	if err != nil {
		return ""
	}
	return platform.RequestID(packet.Data())
}

// Ranks of the sidecars in a walk.
const (
	rankHeard = iota
	rankSilent
	rankOther
	rankOtherSilent
)

// stops returns all sidecars as stops of a walk. Those that have fallen silent come later, and those of other services come last: rules that have changed leave
// open flows where they are.
func stops(s Snapshot, l landing.Listener) []walk.Stop {
	now := time.Now()
	neighbors := s.directory.Neighbors()
	list := make([]walk.Stop, 0, len(neighbors))
	for _, n := range neighbors {
		rank := rankHeard
		if !rules.Allows(l, n.Enrollment().Service()) {
			rank = rankOther
		}
		if !n.Heard().IsZero() && now.Sub(n.Heard()) > placement.SilentAfter {
			rank++
		}
		list = append(list, walk.Stop{Hop: n.Hop(), Rank: rank})
	}
	return list
}

// parcel returns a parcel around the packet that says what this balancer knows.
func (t *Traffic) parcel(s Snapshot, packet platform.Packet) landing.Parcel {
	return landing.Parcel{}.
		WithHome(t.link.Home()).
		WithRules(s.rules.Rules().Revision()).
		WithExclusions(s.exclusions.Changed()).
		WithRoll(s.directory.Changed()).
		WithPacket(packet.Bytes())
}

func (t *Traffic) send(p landing.Parcel) {
	t.link.Send(p, p.HopsAt(int(p.Position())))
}

// receive takes a datagram from a sidecar.
func (t *Traffic) receive(d landing.Datagram, from uint64) {
	switch d := d.(type) {
	case landing.Refund:
		t.takeBack(d)
	case landing.Status:
		t.inbox.add(landing.Arrival{}.WithStatus(d).WithSource(from).WithNow(time.Now()))
	case landing.Claim:
		t.cache.claim(d.Key(), from, d.Born(), time.Now())
	case landing.Vouch:
		t.keeper.Post(landing.VouchChange{}.WithSubject(d.Subject()).WithProxy(from).WithNow(time.Now()))
	case landing.Parcel, landing.Greeting, landing.Inquiry:
		t.common.Counters().Refused(landing.RefusalMalformed)
	}
}

// takeBack takes a packet that no sidecar of its chain has taken.
func (t *Traffic) takeBack(r landing.Refund) {
	p := r.Parcel()
	packet, err := platform.OpenPacket(p.Packet())
	if err != nil || int(p.Position()) >= p.HopsLen() {
		t.common.Counters().Refused(landing.RefusalMalformed)
		return
	}
	s := t.keeper.Snapshot()
	if p.Rules() > s.rules.Rules().Revision() || p.Exclusions() > s.exclusions.Revision() {
		t.keeper.Post(landing.RevisionChange{}.WithRules(p.Rules()).WithExclusions(p.Exclusions()))
	}
	segment := packet.FromCaller()
	listener, found := s.rules.Find(segment.Key())
	if !found {
		t.refuseUnlisted(segment)
		return
	}
	if segment.Opening() {
		t.openAgain(s, listener, segment, p, r.Reason(), packet)
		return
	}
	if p.Part() == 0 {
		t.cache.forget(segment.Key(), p.HopsAt(p.HopsLen()-1))
	}
	t.search(s, listener, segment, withAsked(s, listener, p))
}

// withAsked returns a parcel that counts its hops as asked. When the roll has changed since the walk began, it begins
// anew, since the indexes are those of the roll.
func withAsked(s Snapshot, l landing.Listener, p landing.Parcel) landing.Parcel {
	roll := s.directory.Changed()
	if p.Roll() != roll {
		return p.WithRoll(roll).WithAsked(nil)
	}
	return p.WithAsked(walk.Asked(p.Asked()).WithHops(stops(s, l), p.Hops()))
}

// openAgain offers a new flow to the sidecars that have not been asked yet.
func (t *Traffic) openAgain(s Snapshot, l landing.Listener, segment landing.Segment, p landing.Parcel, reason landing.Refusal, packet platform.Packet) {
	if t.cache.isPlacedAgain(segment) {
		t.common.Counters().Refused(reason)
		return
	}
	t.cache.forget(segment.Key(), p.HopsAt(0))
	tried := p.Hops()[:p.Position()+1]
	service, order := t.order(s, l, segment.Key(), time.Now())
	hops := slices.DeleteFunc(hopsOf(order), func(hop uint64) bool { return slices.Contains(tried, hop) })
	if p.Part() == 0 && len(hops) > 0 {
		t.place(s, service, segment, hops[:min(len(hops), walk.PartHops)], 1, packet)
		return
	}
	isBehind := p.Rules() > s.rules.Rules().Revision() || p.Exclusions() > s.exclusions.Revision()
	if !reject.IsFinal(reason, isBehind) {
		t.common.Counters().Refused(reason)
		t.common.Log().Info("flow left to its next copy", "flow", address.Flow(segment.Key()), "copies", segment.Copies(),
			"reason", reason.String(), "behind", isBehind)
		return
	}
	t.refuseNew(segment, reason)
}

// refuseNew refuses a new flow at once. An earlier copy of its opening packet may have opened it meanwhile, so a copy
// is not answered.
func (t *Traffic) refuseNew(segment landing.Segment, reason landing.Refusal) {
	if _, isHeld := t.cache.find(segment, time.Now()); isHeld || segment.Copies() > 0 {
		t.common.Counters().Refused(reason)
		return
	}
	t.reset(segment, reason)
}

// reset refuses a new flow, or ends one that is proved to be held by nobody.
func (t *Traffic) reset(segment landing.Segment, reason landing.Refusal) {
	t.common.Counters().Refused(reason)
	t.common.Log().Info("flow reset", "flow", address.Flow(segment.Key()), "opening", segment.Opening(),
		"copies", segment.Copies(), "reason", reason.String())
	t.resetCaller(segment.Key(), segment.Acknowledged())
}

// resetLost resets the flows that earlier incarnations of a sidecar's upstream held, so that their callers open new ones
// before they send the next request.
func (t *Traffic) resetLost(hop, born uint64) {
	list := t.cache.takeLost(hop, born)
	if len(list) > 0 {
		t.common.Log().Info("flows reset", "reason", "upstream ended", "sidecar", address.FromHop(hop).String(), "flows", len(list))
	}
	for _, f := range list {
		t.common.Counters().Counter("reset.ended").Inc(1)
		t.resetCaller(f.Key(), f.Acknowledged())
	}
}

func (t *Traffic) resetCaller(k landing.Key, acknowledged uint32) {
	t.link.SendBytes(platform.NewReset(k, acknowledged).Bytes(), platform.Caller(k, t.callers))
}
