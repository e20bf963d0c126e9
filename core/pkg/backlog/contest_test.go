package backlog

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/selection"
)

// class is a class of requests in a replay.
type class struct {
	priority uint32
	// demand is the number of requests in proportion to what the slots can process.
	demand float64
	// aim is the response-time target; 0: not stated.
	aim time.Duration
	// delay is the time from the callers' zone to the sidecar beyond that from others.
	delay time.Duration
}

// contest is a load pattern of classes at one upstream.
type contest struct {
	slots       int
	requestTime time.Duration
	// spread is the part of requestTime by which the work of requests differs at most.
	spread  float64
	classes []class
}

var (
	fewSlots  = contest{slots: 2, requestTime: 25 * time.Millisecond, spread: 0.5}
	manySlots = contest{slots: 8, requestTime: 50 * time.Millisecond, spread: 0.5}
)

const (
	contestTime = 5 * time.Second
	stepTime    = time.Millisecond
	aim         = 400 * time.Millisecond
	timeout     = 2 * time.Second
)

func (c contest) with(classes ...class) contest {
	c.classes = classes
	return c
}

// guaranteed returns the number of starts in the contest that are a tenth of what the slots can process.
func (c contest) guaranteed() float64 {
	return c.capacity() / shareDivisor
}

func (c contest) capacity() float64 {
	return float64(c.slots) * contestTime.Seconds() / c.requestTime.Seconds()
}

// arrival is a request with the work that it needs.
type arrival struct {
	class int
	at    time.Duration
	work  time.Duration
}

// arrivals returns requests that arrive independently of each other.
func (c contest) arrivals(seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 2))
	var list []arrival
	for i, k := range c.classes {
		for at := time.Duration(0); at < contestTime; {
			at += time.Duration(random.ExpFloat64() * float64(contestTime) / (c.capacity() * k.demand))
			work := time.Duration((1 + c.spread*(2*random.Float64()-1)) * float64(c.requestTime))
			list = append(list, arrival{i, at + k.delay, work})
		}
	}
	slices.SortStableFunc(list, func(a, b arrival) int { return int(a.at - b.at) })
	return list
}

// outcome is what a replay brought for each class, and for each request the time that it waited; -1 when it
// was not served.
type outcome struct {
	asked, served, timely []int
	byShare               int
	waits                 []time.Duration
}

// order is the order by which a replay decides and serves.
type order struct {
	decide func(Backlog, landing.QueuedPacket, selection.Upstream, float64, time.Time) landing.WaitDecision
	next   func(Backlog, time.Time) (landing.QueuedPacket, bool, bool)
	prune  func(Backlog, int, time.Time) (Backlog, []landing.QueuedPacket)
}

var (
	byShares = order{DecideWait, Backlog.Next, Backlog.Prune}
	strict   = order{decideStrict, nextStrict, pruneStrict}
)

// nextStrict serves by priority only, as before there were shares.
func nextStrict(b Backlog, now time.Time) (landing.QueuedPacket, bool, bool) {
	if len(b.packets) == 0 {
		return landing.QueuedPacket{}, false, false
	}
	best := b.packets[0]
	for _, packet := range b.packets[1:] {
		if isServedBefore(packet, best, now) {
			best = packet
		}
	}
	return best, false, true
}

// decideStrict counts all packets of the same and higher priorities, and no other.
func decideStrict(b Backlog, packet landing.QueuedPacket, upstream selection.Upstream, utilization float64, now time.Time) landing.WaitDecision {
	var counted Backlog
	for _, other := range b.packets {
		if other.Priority() <= packet.Priority() {
			counted.packets = append(counted.packets, other.WithPriority(packet.Priority()))
		}
	}
	return DecideWait(counted, packet, upstream, utilization, now)
}

func pruneStrict(b Backlog, limit int, now time.Time) (Backlog, []landing.QueuedPacket) {
	b, _ = b.Prune(b.Len(), now)
	if b.Len() <= limit {
		return b, nil
	}
	slices.SortStableFunc(b.packets, func(a, b landing.QueuedPacket) int {
		if isServedBefore(a, b, now) {
			return -1
		}
		return 1
	})
	return Backlog{packets: b.packets[:limit:limit]}, b.packets[limit:]
}

// play replays the contest with the decisions of o. Refused callers do not come back.
func (c contest) play(o order, seed uint64) outcome {
	all := c.arrivals(seed)
	r := outcome{asked: make([]int, len(c.classes)), served: make([]int, len(c.classes)), timely: make([]int, len(c.classes)), waits: make([]time.Duration, len(all))}
	var b Backlog
	var starts Starts
	var busyUntil []time.Duration
	begin := func(i int, now time.Duration) {
		busyUntil = append(busyUntil, now+all[i].work)
		starts = starts.With(start.Add(now))
		r.waits[i] = now - all[i].at
		r.served[all[i].class]++
		if limit := c.classes[all[i].class].aim; r.waits[i]+all[i].work <= limit {
			r.timely[all[i].class]++
		}
	}
	arrived := 0
	for now := time.Duration(0); now < contestTime; now += stepTime {
		at := start.Add(now)
		busyUntil = slices.DeleteFunc(busyUntil, func(until time.Duration) bool { return until <= now })
		b, _ = o.prune(b, b.Len(), at)
		for len(busyUntil) < c.slots && b.Len() > 0 {
			packet, isByShare, _ := o.next(b, at)
			b = b.WithStart(packet, isByShare, at)
			if isByShare {
				r.byShare++
			}
			begin(int(packet.Key().SourcePort()), now)
		}
		for ; arrived < len(all) && all[arrived].at <= now; arrived++ {
			k := c.classes[all[arrived].class]
			r.asked[all[arrived].class]++
			r.waits[arrived] = -1
			if len(busyUntil) < c.slots {
				begin(arrived, now)
				continue
			}
			packet := landing.QueuedPacket{}.WithKey(landing.FlowKey{}.WithSourcePort(uint32(arrived))).WithPriority(k.priority).WithLastCopyAt(at).
				WithWaitLimit(WaitLimit(0, timeout, c.requestTime)).WithTimelyUntil(TimelyUntil(0, k.aim, c.requestTime, at)).
				WithUsefulUntil(UsefulUntil(0, timeout, c.requestTime, at))
			offered := selection.Upstream{Slots: c.slots, BusySlots: len(busyUntil), RequestTime: c.requestTime}
			if _, isRefused := o.decide(b, packet, offered, starts.Utilization(uint32(c.slots), c.requestTime, at), at).(landing.RefuseWait); isRefused {
				b = b.WithRefused(k.priority, at)
				continue
			}
			limit := b.Len() + 1
			if k.aim == 0 {
				limit = Limit(uint32(c.slots), c.requestTime, packet.WaitLimit())
			}
			b, _ = o.prune(b.With(packet), limit, at)
		}
	}
	return r
}

// contests are those in which the highest class alone needs more than the slots.
func contests() map[string]contest {
	all := map[string]contest{}
	for name, c := range map[string]contest{"2 slots": fewSlots, "8 slots": manySlots} {
		all[name+", low 0.5"] = c.with(class{1, 1.5, aim, 0}, class{2, 0.5, aim, 0})
		// Slots become free now and then, which ends the contention.
		all[name+", high 1.1"] = c.with(class{1, 1.1, aim, 0}, class{2, 0.5, aim, 0})
		all[name+", low 0.02"] = c.with(class{1, 1.5, aim, 0}, class{2, 0.02, aim, 0})
		all[name+", aim 250 ms"] = c.with(class{1, 1.5, 250 * time.Millisecond, 0}, class{2, 0.2, 250 * time.Millisecond, 0})
		all[name+", three classes"] = c.with(class{0, 1.5, aim, 0}, class{7, 0.3, aim, 0}, class{4000000000, 0.05, aim, 0})
		// Ten starts take longer than half of the slack of the low class.
		all[name+", long high queue"] = c.with(class{1, 1.5, time.Second, 0}, class{2, 0.5, 6 * c.requestTime, 0})
		// The backlog is cut to what can be served in time.
		all[name+", no aim, high 4"] = c.with(class{1, 4, 0, 0}, class{2, 0.5, 0, 0})
		all[name+", no aim"] = c.with(class{1, 1.5, 0, 0}, class{2, 0.5, 0, 0})
	}
	return all
}

// Guards against the starvation of a class: with strict priority the low classes got almost no start while the
// high one alone needed more than the slots. The high class loses a tenth to each low one at most.
func TestContest_NoClassStarves(t *testing.T) {
	for name, c := range contests() {
		for _, spread := range []float64{0, 0.5} {
			c.spread = spread
			before, r := c.play(strict, 1), c.play(byShares, 1)
			t.Logf("%s, spread %.1f: asked %v, strict %v (timely %v), shares %v (timely %v), a tenth is %.0f, by share %d", name, spread, r.asked, before.served, before.timely, r.served, r.timely, c.guaranteed(), r.byShare)
			total := 0
			for i, served := range r.served {
				total += served
				due := min(float64(r.asked[i]), c.guaranteed())
				if float64(served) < 0.8*due {
					t.Errorf("%s: class %d has %d starts of %.0f", name, i, served, due)
				}
				if i > 0 && float64(before.served[i]) >= 0.2*due {
					t.Errorf("%s: class %d has %d starts of %.0f with strict priority", name, i, before.served[i], due)
				}
			}
			tenths := float64(len(c.classes)-1) / shareDivisor
			if float64(r.served[0]) < (1-tenths)*float64(total) {
				t.Errorf("%s: the high class has %d of %d starts", name, r.served[0], total)
			}
			// Requests differ in their work, so only equal ones can be counted against each other.
			if lost := before.served[0] - r.served[0]; spread == 0 && float64(lost) > tenths*c.capacity() {
				t.Errorf("%s: the high class has lost %d", name, lost)
			}
		}
	}
}

// Guards against a share that delays requests although the slots suffice. When strict priority refuses nobody,
// nothing changes; at 0.9 of two slots it refuses some in bursts.
func TestContest_BelowSlotsNobodyWaitsLonger(t *testing.T) {
	for name, c := range map[string]contest{"2 slots": fewSlots, "8 slots": manySlots} {
		for _, demand := range []float64{0.5, 0.75, 0.9} {
			later, count, byShare, refused := 0, 0, 0, 0
			for seed := range uint64(12) {
				c := c.with(class{1, demand * 0.7, aim, 0}, class{2, demand * 0.3, aim, 0})
				before, r := c.play(strict, seed), c.play(byShares, seed)
				laterHere, refusedHere := 0, 0
				for i := range r.waits {
					if before.waits[i] < 0 {
						refusedHere++
					}
					if r.waits[i] > before.waits[i] && before.waits[i] >= 0 || r.waits[i] < 0 && before.waits[i] >= 0 {
						laterHere++
					}
				}
				if laterHere > 0 && refusedHere == 0 {
					t.Errorf("%s, demand %.2f, seed %d: %d are later although nobody was refused", name, demand, seed, laterHere)
				}
				later, count, byShare, refused = later+laterHere, count+len(r.waits), byShare+r.byShare, refused+refusedHere
			}
			t.Logf("%s, demand %.2f: of %d requests, %d later, %d by share; %d not served with strict priority", name, demand, count, later, byShare, refused)
			if demand < 0.9 && later > 0 {
				t.Errorf("%s, demand %.2f: %d are later", name, demand, later)
			}
		}
	}
}

// Guards against an order that prefers callers close to the upstream, or one balancer.
func TestContest_ZonesAreServedAlike(t *testing.T) {
	is := is.New(t)
	for _, limit := range []time.Duration{0, aim} {
		c := fewSlots.with(class{1, 0.9, limit, 0}, class{1, 0.9, limit, 5 * time.Millisecond})
		var asked, served [2]float64
		for seed := range uint64(4) {
			r := c.play(byShares, seed)
			for i := range asked {
				asked[i] += float64(r.asked[i])
				served[i] += float64(r.served[i])
			}
		}
		near, far := served[0]/asked[0], served[1]/asked[1]
		t.Logf("aim %s: served of the near zone %.3f, of the far one %.3f", limit, near, far)
		is.True(near-far < 0.05 && far-near < 0.05)
	}
}

// Guards against changes where a configuration states one priority: the order is that of isServedBefore,
// whatever was refused.
func TestNext_OnePriorityIsServedAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Backlog
		for port := range uint32(rapid.IntRange(0, 40).Draw(t, "waiting")) {
			b = b.With(drawPacket(t, port).WithPriority(2))
			if rapid.Bool().Draw(t, "refused") {
				b = b.WithRefused(2, start)
			}
		}
		for b.Len() > 0 {
			expected, _, _ := nextStrict(b, start)
			packet, byShare, _ := b.Next(start)
			if packet.Key() != expected.Key() || byShare {
				t.Fatalf("serves %d instead of %d", packet.Key().SourcePort(), expected.Key().SourcePort())
			}
			b = b.WithStart(packet, byShare, start)
		}
	})
}
