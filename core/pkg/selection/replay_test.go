package selection_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/backlog"
	"github.com/crocuslanding/crocuslanding/core/pkg/hold"
	"github.com/crocuslanding/crocuslanding/core/pkg/placement"
	"github.com/crocuslanding/crocuslanding/core/pkg/selection"
)

// The replay sends requests to upstreams by the decisions about placement, selection and backlog, with the
// times of the network as constants. It has no processes and no packets.
const (
	hops = 3
	// hopTime is the time from a balancer or sidecar to the next one, and replyTime that from a sidecar to a
	// caller.
	hopTime, replyTime = time.Millisecond, time.Millisecond
	// handshakeTime is the time from the admission of a flow to its first request.
	handshakeTime = 4500 * time.Microsecond
	maxRetries    = 2
	// attemptTime is the time after which a caller gives an attempt up. Until then it sends copies.
	attemptTime    = 1400 * time.Millisecond
	statusInterval = 250 * time.Millisecond
	loadTime       = 4 * time.Second
	// burstTime is the time within which all callers come back after an outage.
	burstTime = 200 * time.Millisecond
	// comparedUpstreams is the number of upstreams in the comparison with one queue, whose length makes larger
	// replays slow.
	comparedUpstreams = 20
	// overloadSeeds is the number of runs of which the mean counts.
	overloadSeeds = 2
	// calmTime follows the load, with calmDemand of the capacity.
	calmTime   = 2 * time.Second
	calmDemand = 0.4
)

var start = time.Unix(1000, 0)

// load is a load pattern.
type load struct {
	upstreams, slots int
	// headroom is the number of flows that an upstream is given beyond its slots.
	headroom     int
	requestTime  time.Duration
	aim, timeout time.Duration
	// slowShare of the upstreams take slowFactor times as long.
	slowShare, slowFactor float64
	// demand is the number of new requests in proportion to what the slots can process.
	demand float64
	// burst is the number of requests that come within burstTime from the start, in seconds of what the slots
	// can process.
	burst float64
}

var (
	// manyFewSlots has the size of deployment dpt-varna-grown, moreSlots that of luchtmeet-lb-grown.
	manyFewSlots = load{upstreams: 50, slots: 2, headroom: 1, requestTime: 24 * time.Millisecond, aim: 250 * time.Millisecond, timeout: 2500 * time.Millisecond, slowShare: 0.25, slowFactor: 2}
	moreSlots    = load{upstreams: 49, slots: 4, headroom: 1, requestTime: 50 * time.Millisecond, aim: 400 * time.Millisecond, timeout: 2 * time.Second, slowShare: 0.25, slowFactor: 2}
)

func (l load) with(demand, slowFactor float64) load {
	l.demand, l.slowFactor = demand, slowFactor
	return l
}

// centralQueue returns the pattern in which one upstream has all slots, at the mean speed. Its queue knows
// every free slot at once, which no placement can exceed.
func (l load) centralQueue() load {
	speed := 1 - l.slowShare + l.slowShare/l.slowFactor
	l.slots, l.headroom, l.upstreams = l.slots*l.upstreams, l.headroom*l.upstreams, 1
	l.requestTime = time.Duration(float64(l.requestTime) / speed)
	l.slowShare = 0
	return l
}

// capacity returns the number of requests that the slots process in a second.
func (l load) capacity() float64 {
	return float64(l.upstreams*l.slots) * (1 - l.slowShare + l.slowShare/l.slowFactor) / l.requestTime.Seconds()
}

// upstream is an upstream with its sidecar.
type upstream struct {
	factor float64
	// busy is the number of admitted flows without a response, running that of requests in a slot, and inner
	// those that wait in the upstream itself.
	busy, running int
	inner         []func()
	average       time.Duration
	answered      int
	backlog       backlog.Backlog
	starts        backlog.Starts
	waiting       map[uint32]func()
}

type event struct {
	at  time.Time
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// replay is one run of a load pattern.
type replay struct {
	load      load
	random    *rand.Rand
	now       time.Time
	events    events
	upstreams []*upstream
	// candidates are those of the last statuses.
	candidates []landing.Candidate
	lastPort   uint32
	// asked, timely, late and failed count the requests of the load, and offers the offers of their flows to
	// sidecars. calmAsked and calmTimely count the requests after the load.
	asked, timely, late, failed, offers, calmAsked, calmTimely int
}

// request is a request with the work that it needs at an upstream of normal speed.
type request struct {
	firstAt time.Time
	work    time.Duration
	retries int
	// isCalm reports whether the request came after the load.
	isCalm bool
}

// run replays the load for loadTime and until all requests have ended.
func run(l load, seed uint64) *replay {
	r := &replay{load: l, random: rand.New(rand.NewPCG(seed, 1)), now: start}
	for i := range l.upstreams {
		factor := 1.0
		if float64(i) < l.slowShare*float64(l.upstreams) {
			factor = l.slowFactor
		}
		r.upstreams = append(r.upstreams, &upstream{factor: factor, waiting: map[uint32]func(){}})
	}
	r.reportStatuses()
	r.arrive()
	for range int(l.capacity() * l.burst) {
		r.after(time.Duration(r.random.Int64N(int64(burstTime))), func() { r.ask(false) })
	}
	for r.events.Len() > 0 {
		next := heap.Pop(&r.events).(event)
		r.now = next.at
		next.run()
	}
	return r
}

func (r *replay) after(d time.Duration, run func()) {
	heap.Push(&r.events, event{r.now.Add(d), run})
}

// arrive lets requests arrive independently of each other. Three in a hundred need seven times the work.
func (r *replay) arrive() {
	demand, isCalm := r.load.demand, r.now.Sub(start) > loadTime
	if isCalm {
		demand = calmDemand
	}
	if r.now.Sub(start) > loadTime+calmTime {
		return
	}
	pause := r.random.ExpFloat64() / (r.load.capacity() * demand)
	r.after(time.Duration(pause*float64(time.Second)), func() {
		r.ask(isCalm)
		r.arrive()
	})
}

// ask lets one request arrive.
func (r *replay) ask(isCalm bool) {
	work := 0.85 * math.Exp(0.45*r.random.NormFloat64()-0.1)
	if r.random.Float64() < 0.03 {
		work *= 7
	}
	if isCalm {
		r.calmAsked++
	} else {
		r.asked++
	}
	r.open(&request{firstAt: r.now, work: time.Duration(work * float64(r.load.requestTime)), isCalm: isCalm})
}

func (r *replay) reportStatuses() {
	var sidecars []landing.KnownSidecar
	for i, u := range r.upstreams {
		perSecond := 0.0
		if u.average > 0 {
			perSecond = float64(r.load.slots) / u.average.Seconds()
		}
		status := landing.SidecarStatus{}.WithUpstreamPhase(landing.PhaseServing).WithSlots(uint32(r.load.slots)).
			WithRunningRequests(uint32(u.busy)).WithOpenFlows(uint32(u.busy)).WithAdmissibleFlows(1000).WithRequestsPerSecond(uint32(perSecond))
		sidecars = append(sidecars, landing.KnownSidecar{}.WithAddress(uint64(i)).WithLastStatus(status).WithLastStatusAt(r.now))
	}
	mean := placement.MeanCapacity(sidecars)
	r.candidates = nil
	for _, s := range sidecars {
		r.candidates = append(r.candidates, placement.NewCandidate(s, mean, false, 0, r.now))
	}
	if r.now.Sub(start) < loadTime+calmTime {
		r.after(statusInterval, r.reportStatuses)
	}
}

// open offers the flow of a request along a chain.
func (r *replay) open(q *request) {
	order := placement.Order(r.candidates, r.random.Uint64())
	var chain []*upstream
	for _, c := range order[:min(hops, len(order))] {
		chain = append(chain, r.upstreams[c.Address()])
	}
	r.after(hopTime, func() { r.offer(q, chain, 0, nil, 0) })
}

// offer offers the flow to one sidecar of the chain. An earlier one that has deferred it stated the expected
// time until its response.
func (r *replay) offer(q *request, chain []*upstream, i int, deferrer *upstream, stated time.Duration) {
	if !q.isCalm {
		r.offers++
	}
	u := chain[i]
	offered := r.offered(u)
	position := landing.ChainPosition{}.WithHasNext(i+1 < len(chain)).WithHasMore(true).
		WithUpstreamBusy(selection.IsBusy(offered, stated)).WithShortestWait(selection.IsShortest(offered, stated)).WithDeferredEarlier(deferrer != nil)
	syn := landing.Segment{}.WithIsSyn(true)
	switch hold.Decide(landing.FlowAbsent{}, syn, position, landing.RefusalUnspecified).(type) {
	case landing.AdmitFlow:
		r.admit(q, u)
	case landing.DeferAdmission:
		if deferrer == nil || selection.IsShortest(offered, stated) {
			deferrer, stated = u, offered.ExpectedResponse()
		}
		r.after(hopTime, func() { r.offer(q, chain, i+1, deferrer, stated) })
	case landing.ReturnToDeferrer:
		r.after(hopTime, func() { r.admit(q, deferrer) })
	case landing.AbandonHandshake, landing.CompleteHandshake, landing.Deliver, landing.DeliverAndForward, landing.DropSegment,
		landing.ForwardToNext, landing.OfferToUpstream, landing.ResetFlow, landing.ReturnToBalancer:
		panic("an opening packet of a new flow is admitted or deferred")
	}
}

func (r *replay) offered(u *upstream) selection.Upstream {
	return selection.Upstream{Slots: r.load.slots, BusySlots: u.busy, Waiting: u.backlog.Len(), RequestTime: u.average}
}

// admit admits the flow, lets it wait or refuses it.
func (r *replay) admit(q *request, u *upstream) {
	if u.busy < r.load.slots+r.load.headroom {
		r.begin(q, u)
		return
	}
	r.lastPort++
	port := r.lastPort
	packet := landing.QueuedPacket{}.WithKey(landing.FlowKey{}.WithSourcePort(port)).WithLastCopyAt(r.now).
		WithWaitLimit(backlog.WaitLimit(0, r.load.timeout, u.average)).
		WithTimelyUntil(backlog.TimelyUntil(0, r.load.aim, u.average, r.now)).
		WithUsefulUntil(backlog.UsefulUntil(0, r.load.timeout, u.average, r.now))
	offered := r.offered(u)
	utilization := u.starts.Utilization(uint32(r.load.slots), offered.ServiceTime(), r.now)
	if r.load.burst > 0 {
		utilization = backlog.EffectiveUtilization(utilization, start, r.now) // the upstreams have just started
	}
	switch backlog.DecideWait(u.backlog, packet, offered, utilization, r.now).(type) {
	case landing.RefuseWait:
		r.after(hopTime+2*replyTime, func() { r.retry(q) })
		return
	case landing.WaitLate:
		packet = backlog.AsLate(packet, r.now)
	case landing.WaitTimely:
	}
	// Copies of the packet renew it, so that it is not pruned before the caller gives up.
	packet = packet.WithWaitLimit(attemptTime)
	u.backlog = u.backlog.With(packet)
	u.waiting[port] = func() { r.begin(q, u) }
	r.after(attemptTime, func() {
		if _, isWaiting := u.waiting[port]; isWaiting {
			delete(u.waiting, port)
			r.retry(q)
		}
	})
}

// retry lets the caller try once more, if it still waits.
func (r *replay) retry(q *request) {
	q.retries++
	if q.retries > maxRetries || r.now.Sub(q.firstAt) > r.load.timeout {
		if !q.isCalm {
			r.failed++
		}
		return
	}
	r.open(q)
}

func (r *replay) begin(q *request, u *upstream) {
	u.busy++
	u.starts = u.starts.With(r.now)
	r.after(handshakeTime, func() {
		if u.running < r.load.slots {
			r.process(q, u, r.now)
			return
		}
		arrivedAt := r.now
		u.inner = append(u.inner, func() { r.process(q, u, arrivedAt) })
	})
}

func (r *replay) process(q *request, u *upstream, arrivedAt time.Time) {
	u.running++
	r.after(time.Duration(float64(q.work)*u.factor), func() {
		u.running--
		u.busy--
		u.answered++
		u.average += (r.now.Sub(arrivedAt) - u.average) / time.Duration(min(u.answered, 32))
		r.count(q, r.now.Add(replyTime).Sub(q.firstAt))
		if len(u.inner) > 0 {
			next := u.inner[0]
			u.inner = u.inner[1:]
			next()
		}
		r.serveWaiting(u)
	})
}

// count counts a request that is answered after this time.
func (r *replay) count(q *request, responseTime time.Duration) {
	switch {
	case q.isCalm && responseTime <= r.load.aim:
		r.calmTimely++
	case q.isCalm:
	case responseTime > r.load.timeout:
		r.failed++
	case responseTime > r.load.aim:
		r.late++
	default:
		r.timely++
	}
}

func (r *replay) serveWaiting(u *upstream) {
	for u.busy < r.load.slots+r.load.headroom {
		u.backlog, _ = u.backlog.Prune(u.backlog.Len(), r.now)
		packet, rest, found := u.backlog.Pop(r.now)
		if !found {
			return
		}
		u.backlog = rest
		if beginRequest, isWaiting := u.waiting[packet.Key().SourcePort()]; isWaiting {
			delete(u.waiting, packet.Key().SourcePort())
			beginRequest()
		}
	}
}

// part returns count as a part of the requests that were asked.
func (r *replay) part(count int) float64 {
	return float64(count) / float64(r.asked)
}

// Guards against late responses while slots are free somewhere. With flows that wait at the first sidecar of
// their chain, upstreams without a free slot in their last status last, and backlogs that serve the newest
// packet first, 32% of the responses were late at 75% of the capacity of manyFewSlots.
func TestReplay_BelowCapacity(t *testing.T) {
	is := is.New(t)
	for _, l := range []load{manyFewSlots, moreSlots} {
		for seed := range uint64(2) {
			r := run(l.with(0.75, 2), seed)
			t.Logf("75%%: late %.3f, failed %.3f, offers %.1f", r.part(r.late), r.part(r.failed), r.part(r.offers))
			is.True(r.part(r.late+r.failed) < 0.02)
			r = run(l.with(0.95, 2), seed)
			t.Logf("95%%: late %.3f, failed %.3f, offers %.1f", r.part(r.late), r.part(r.failed), r.part(r.offers))
			is.True(r.part(r.late+r.failed) < 0.06)
		}
	}
}

// Guards against a collapse under overload: the slots must be used for timely responses, and refused callers
// must not multiply the offers. Before, 62% of what the slots can process was timely at twice the capacity,
// and each request was offered 17 times. After the load the upstreams must not work for late responses.
func TestReplay_Overload(t *testing.T) {
	is := is.New(t)
	for _, l := range []load{manyFewSlots, moreSlots} {
		for _, demand := range []float64{1.3, 2} {
			timely, after, offers := 0.0, 0.0, 0.0
			for seed := range uint64(overloadSeeds) {
				r := run(l.with(demand, 8), seed)
				timely += r.part(r.timely) * demand / overloadSeeds
				after += float64(r.calmTimely) / float64(r.calmAsked) / overloadSeeds
				offers = max(offers, r.part(r.offers))
			}
			t.Logf("%.1f times the capacity: timely %.3f of the capacity, offers %.1f; after the load timely %.3f", demand, timely, offers, after)
			is.True(timely >= 0.90)
			is.True(after >= 0.95)
			is.True(offers <= hops*(maxRetries+1))
		}
	}
}

// One queue before all slots is the bound of every placement.
func TestReplay_CloseToCentralQueue(t *testing.T) {
	is := is.New(t)
	for _, l := range []load{manyFewSlots, moreSlots} {
		l.upstreams = comparedUpstreams
		r, central := run(l.with(1.3, 8), 1), run(l.with(1.3, 8).centralQueue(), 1)
		t.Logf("timely %.3f, with one queue %.3f", r.part(r.timely), central.part(central.timely))
		is.True(r.part(r.timely) >= 0.90*central.part(central.timely))
	}
}

// Guards against callers that use up their attempts within milliseconds when all of them come back after an
// outage: what the slots can serve until the callers give up waits, although its response is late.
func TestReplay_ReturnOfAllCallers(t *testing.T) {
	is := is.New(t)
	for _, l := range []load{manyFewSlots, moreSlots} {
		for _, burst := range []float64{0.6, 1, 1.6} {
			back := l.with(0.4, 2)
			back.burst = burst
			r := run(back, 1)
			t.Logf("%.1f s of requests at once: timely %.3f, late %.3f, failed %.3f, offers %.1f", burst, r.part(r.timely), r.part(r.late), r.part(r.failed), r.part(r.offers))
			is.True(r.part(r.failed) < 0.10)
		}
	}
}
