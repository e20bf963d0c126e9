package membership

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/roster"
)

const (
	step       = 100 * time.Millisecond
	testExpiry = 2 * time.Second
	// avoidTime is the time for which a sidecar does not ask a balancer that did not answer.
	avoidTime = time.Second
)

// handler is the signature of Handle, so that a faulty one can take its place.
type handler func(landing.MembershipState, landing.MembershipEvent) (landing.MembershipState, []landing.MembershipTask)

// world is the balancers of a region, their sidecars, and the platform's object.
type world struct {
	random    *rand.Rand
	handle    handler
	now       time.Time
	balancers []*member
	sidecars  map[string]landing.Target
	next      int
	object    landing.Roster
	version   uint64
	lease     landing.Lease
	leased    uint64
	isDown    bool
	isDeaf    bool
	reverted  bool
	avoided   map[avoidance]time.Time
}

// avoidance names a sidecar and a balancer that did not answer it.
type avoidance struct {
	sidecar  string
	balancer string
}

// member is one balancer, and the tasks that it has not carried out yet.
type member struct {
	watch    landing.MembershipState
	tasks    []landing.MembershipTask
	frozen   bool
	isolated bool
}

func newWorld(seed uint64, h handler) *world {
	w := &world{
		random:   rand.New(rand.NewPCG(seed, seed)),
		handle:   h,
		now:      time.Unix(1000, 0),
		sidecars: map[string]landing.Target{},
		avoided:  map[avoidance]time.Time{},
	}
	for i := range 3 {
		self := landing.Balancer{}.WithInstance(fmt.Sprintf("balancer-%d", i)).WithIncarnation(1)
		w.balancers = append(w.balancers, &member{watch: New(self, "khomas", testExpiry)})
	}
	return w
}

func (w *world) startSidecar() {
	w.next++
	name := fmt.Sprintf("desk-%03d", w.next)
	w.sidecars[name] = landing.Target{}.
		WithInstance(name).
		WithService("desk").
		WithPhase(landing.PhaseServing).
		WithIncarnation(uint64(w.now.UnixNano()))
}

// run lets this many steps pass. With chaos, things fail at random.
func (w *world) run(steps int, chaos bool) {
	for range steps {
		w.now = w.now.Add(step)
		if chaos {
			w.fail()
		}
		w.heartbeats()
		w.gossip()
		for _, m := range w.balancers {
			if !m.frozen {
				w.post(m, landing.Tick{}.WithNow(w.now))
				w.carryOut(m)
			}
		}
	}
}

func (w *world) fail() {
	m := w.balancers[w.random.IntN(len(w.balancers))]
	switch w.random.IntN(60) {
	case 0:
		m.frozen = !m.frozen
	case 1:
		w.isDown = !w.isDown
	case 2:
		w.isDeaf = !w.isDeaf
	case 3:
		w.startSidecar()
	case 4:
		for name := range w.sidecars {
			delete(w.sidecars, name)
			break
		}
	case 5:
		m.isolated = !m.isolated
	}
}

func (w *world) heal() {
	w.isDown = false
	w.isDeaf = false
	for _, m := range w.balancers {
		m.frozen = false
		m.isolated = false
	}
}

// heartbeats lets each sidecar announce itself to the first balancer that answers.
func (w *world) heartbeats() {
	for name, t := range w.sidecars {
		var members []landing.Balancer
		byName := map[string]*member{}
		for _, m := range w.balancers {
			members = append(members, m.watch.Self())
			byName[m.watch.Self().Instance()] = m
		}
		for _, home := range roster.RankBalancers(members, name) {
			m := byName[home.Instance()]
			pair := avoidance{name, home.Instance()}
			if w.now.Before(w.avoided[pair]) {
				continue
			}
			if m.frozen || m.isolated {
				w.avoided[pair] = w.now.Add(avoidTime)
				continue
			}
			w.post(m, landing.HeartbeatReceived{}.WithTarget(t).WithReceivedAt(w.now))
			present, found := roster.Find(m.watch.RegionState().Roster(), name)
			if found && present.Phase() == landing.PhaseLeft && present.Change() >= t.Change() {
				w.sidecars[name] = t.WithChange(present.Change() + 1)
			}
			break
		}
	}
}

// gossip lets each balancer meet another one.
func (w *world) gossip() {
	for _, m := range w.balancers {
		peer := w.balancers[w.random.IntN(len(w.balancers))]
		if peer == m || m.frozen || peer.frozen || m.isolated || peer.isolated {
			continue
		}
		w.post(peer, landing.PeerStateReceived{}.WithSender(m.watch.Self()).WithTargetUpdates(TargetUpdates(m.watch)...).WithReceivedAt(w.now))
		w.post(m, landing.RosterRead{}.WithRoster(peer.watch.RegionState().Roster()).WithFromPeer(true).WithReadAt(w.now))
	}
}

func (w *world) post(m *member, h landing.MembershipEvent) {
	before := m.watch.RegionState().Roster().Serial()
	next, tasks := w.handle(m.watch, h)
	m.watch = next
	m.tasks = append(m.tasks, tasks...)
	if next.RegionState().Roster().Serial() < before {
		w.reverted = true
	}
}

// carryOut carries out the open tasks of m, and lets its watch see the object.
func (w *world) carryOut(m *member) {
	tasks := m.tasks
	m.tasks = nil
	for _, t := range tasks {
		switch t := t.(type) {
		case landing.WriteRoster:
			w.write(m, t)
		case landing.ReadRoster:
			w.read(m)
		case landing.WriteLease:
			w.renew(m, t)
		case landing.ReadLease:
			w.recheck(m)
		case landing.PublishRoster:
		}
	}
	if w.random.IntN(3) == 0 && !m.watch.RosterCallPending() {
		w.read(m)
	}
	if w.random.IntN(3) == 0 && !m.watch.LeaseCallPending() {
		w.recheck(m)
	}
}

func (w *world) write(m *member, t landing.WriteRoster) {
	fits := t.ExpectedVersion() == w.version && w.reaches(m)
	if fits {
		if t.Roster().Serial() < w.object.Serial() {
			w.reverted = true
		}
		w.object = t.Roster()
		w.version++
	}
	if fits && !w.isDeaf {
		w.post(m, landing.RosterWriteEnded{}.WithConfirmed(true).WithRoster(t.Roster()).WithRosterVersion(w.version).WithEndedAt(w.now))
		return
	}
	w.post(m, landing.RosterWriteEnded{}.WithEndedAt(w.now))
}

func (w *world) renew(m *member, t landing.WriteLease) {
	fits := t.ExpectedVersion() == w.leased && w.reaches(m)
	if fits {
		w.lease = t.Lease()
		w.leased++
	}
	if fits && !w.isDeaf {
		w.post(m, landing.LeaseWriteEnded{}.WithConfirmed(true).WithLease(t.Lease()).WithLeaseVersion(w.leased).WithEndedAt(w.now))
		return
	}
	w.post(m, landing.LeaseWriteEnded{}.WithEndedAt(w.now))
}

// reaches says whether the platform answers m.
func (w *world) reaches(m *member) bool {
	return !w.isDown && !m.isolated
}

func (w *world) read(m *member) {
	if w.reaches(m) {
		w.post(m, landing.RosterRead{}.WithRoster(w.object).WithRosterVersion(w.version).WithReadAt(w.now))
	} else if m.watch.RosterCallPending() {
		m.tasks = append(m.tasks, landing.ReadRoster{})
	}
}

func (w *world) recheck(m *member) {
	if w.reaches(m) {
		w.post(m, landing.LeaseRead{}.WithLease(w.lease).WithLeaseVersion(w.leased).WithReadAt(w.now))
	} else if m.watch.LeaseCallPending() {
		m.tasks = append(m.tasks, landing.ReadLease{})
	}
}

// fault returns what is wrong after a long quiet time; empty when nothing is.
func (w *world) fault() string {
	if w.reverted {
		return "a roster was reverted"
	}
	for _, m := range w.balancers {
		r := m.watch.RegionState().Roster()
		if r.MembersLen() != len(w.balancers) {
			return fmt.Sprintf("%s knows %d balancers", m.watch.Self().Instance(), r.MembersLen())
		}
		if r.TargetsLen() != len(w.sidecars) {
			return fmt.Sprintf("%s knows %d targets of %d", m.watch.Self().Instance(), r.TargetsLen(), len(w.sidecars))
		}
		for _, t := range r.Targets() {
			if _, lives := w.sidecars[t.Instance()]; !lives || t.Phase() != landing.PhaseServing {
				return fmt.Sprintf("%s has %s %s", m.watch.Self().Instance(), t.Instance(), t.Phase())
			}
		}
	}
	return ""
}
