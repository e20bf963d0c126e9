package membership

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/roster"
)

const (
	stepDuration = 100 * time.Millisecond
	targetExpiry = 2 * time.Second
	// avoidDuration is the time for which a sidecar sends no heartbeat to a balancer that did not respond.
	avoidDuration = time.Second
)

// handleFunc is the signature of Handle. Tests replace Handle by faulty variants.
type handleFunc func(landing.MembershipState, landing.MembershipEvent) (landing.MembershipState, []landing.MembershipTask)

// simulation is a region with its balancers and sidecars, and the platform with the roster and the
// lease.
type simulation struct {
	rng       *rand.Rand
	handle    handleFunc
	now       time.Time
	balancers []*balancer
	// sidecars are the targets of the running sidecars by instance name.
	sidecars map[string]landing.Target
	// startedSidecars is the number of sidecars that were started so far. The next name contains it.
	startedSidecars int
	// roster and lease are the objects at the platform.
	roster         landing.Roster
	rosterVersion  uint64
	lease          landing.Lease
	leaseVersion   uint64
	isPlatformDown bool
	// areWriteRepliesLost is set while writes take effect but are not confirmed.
	areWriteRepliesLost bool
	// isRosterReverted is set once the roster of the platform or of a balancer was replaced by an older
	// one.
	isRosterReverted bool
	// avoidedUntil is the time before which the sidecar of the pair sends no heartbeat to the balancer
	// of the pair.
	avoidedUntil map[sidecarBalancerPair]time.Time
}

// sidecarBalancerPair is a sidecar and a balancer that did not respond to it.
type sidecarBalancerPair struct {
	sidecar  string
	balancer string
}

// balancer is a balancer with the tasks that it has not carried out yet. While paused, it does nothing.
// While isolated, it runs without any network connection.
type balancer struct {
	state        landing.MembershipState
	pendingTasks []landing.MembershipTask
	isPaused     bool
	isIsolated   bool
}

func newSimulation(seed uint64, handle handleFunc) *simulation {
	s := &simulation{
		rng:          rand.New(rand.NewPCG(seed, seed)),
		handle:       handle,
		now:          time.Unix(1000, 0),
		sidecars:     map[string]landing.Target{},
		avoidedUntil: map[sidecarBalancerPair]time.Time{},
	}
	for i := range 3 {
		self := landing.Balancer{}.WithInstance(fmt.Sprintf("balancer-%d", i)).WithIncarnation(1)
		s.balancers = append(s.balancers, &balancer{state: New(self, "khomas", targetExpiry)})
	}
	return s
}

func (s *simulation) startSidecar() {
	s.startedSidecars++
	name := fmt.Sprintf("desk-%03d", s.startedSidecars)
	s.sidecars[name] = landing.Target{}.
		WithInstance(name).
		WithService("desk").
		WithPhase(landing.PhaseServing).
		WithIncarnation(uint64(s.now.UnixNano()))
}

// run simulates this number of steps, with random failures, starts and stops if withFailures is set.
func (s *simulation) run(steps int, withFailures bool) {
	for range steps {
		s.now = s.now.Add(stepDuration)
		if withFailures {
			s.applyRandomEvent()
		}
		s.sendHeartbeats()
		s.exchangeState()
		for _, b := range s.balancers {
			if !b.isPaused {
				s.handleEvent(b, landing.Tick{}.WithNow(s.now))
				s.runTasks(b)
			}
		}
	}
}

// applyRandomEvent starts or ends a failure, or starts or stops a sidecar. In most steps it does nothing.
func (s *simulation) applyRandomEvent() {
	b := s.balancers[s.rng.IntN(len(s.balancers))]
	switch s.rng.IntN(60) {
	case 0:
		b.isPaused = !b.isPaused
	case 1:
		s.isPlatformDown = !s.isPlatformDown
	case 2:
		s.areWriteRepliesLost = !s.areWriteRepliesLost
	case 3:
		s.startSidecar()
	case 4:
		for name := range s.sidecars {
			delete(s.sidecars, name)
			break
		}
	case 5:
		b.isIsolated = !b.isIsolated
	}
}

// repairAll ends all failures.
func (s *simulation) repairAll() {
	s.isPlatformDown = false
	s.areWriteRepliesLost = false
	for _, b := range s.balancers {
		b.isPaused = false
		b.isIsolated = false
	}
}

// sendHeartbeats sends a heartbeat from each sidecar to the first balancer in its order that responds.
// A sidecar that the balancer's roster shows as left announces itself with a higher change number.
func (s *simulation) sendHeartbeats() {
	for name, t := range s.sidecars {
		var balancers []landing.Balancer
		byName := map[string]*balancer{}
		for _, b := range s.balancers {
			balancers = append(balancers, b.state.Self())
			byName[b.state.Self().Instance()] = b
		}
		for _, candidate := range roster.RankBalancers(balancers, name) {
			b := byName[candidate.Instance()]
			pair := sidecarBalancerPair{name, candidate.Instance()}
			if s.now.Before(s.avoidedUntil[pair]) {
				continue
			}
			if b.isPaused || b.isIsolated {
				s.avoidedUntil[pair] = s.now.Add(avoidDuration)
				continue
			}
			s.handleEvent(b, landing.HeartbeatReceived{}.WithTarget(t).WithReceivedAt(s.now))
			listed, found := roster.Find(b.state.RegionState().Roster(), name)
			if found && listed.Phase() == landing.PhaseLeft && listed.Change() >= t.Change() {
				s.sidecars[name] = t.WithChange(listed.Change() + 1)
			}
			break
		}
	}
}

// exchangeState lets each balancer exchange control state with a random other one.
func (s *simulation) exchangeState() {
	for _, b := range s.balancers {
		peer := s.balancers[s.rng.IntN(len(s.balancers))]
		if peer == b || b.isPaused || peer.isPaused || b.isIsolated || peer.isIsolated {
			continue
		}
		s.handleEvent(peer, landing.PeerStateReceived{}.WithSender(b.state.Self()).WithTargetUpdates(TargetUpdates(b.state)...).WithReceivedAt(s.now))
		s.handleEvent(b, landing.RosterRead{}.WithRoster(peer.state.RegionState().Roster()).WithFromPeer(true).WithReadAt(s.now))
	}
}

func (s *simulation) handleEvent(b *balancer, e landing.MembershipEvent) {
	serialBefore := b.state.RegionState().Roster().Serial()
	next, tasks := s.handle(b.state, e)
	b.state = next
	b.pendingTasks = append(b.pendingTasks, tasks...)
	if next.RegionState().Roster().Serial() < serialBefore {
		s.isRosterReverted = true
	}
}

// runTasks carries out the pending tasks of b. At random, b also reads the roster and the lease.
func (s *simulation) runTasks(b *balancer) {
	tasks := b.pendingTasks
	b.pendingTasks = nil
	for _, t := range tasks {
		switch t := t.(type) {
		case landing.WriteRoster:
			s.writeRoster(b, t)
		case landing.ReadRoster:
			s.readRoster(b)
		case landing.WriteLease:
			s.writeLease(b, t)
		case landing.ReadLease:
			s.readLease(b)
		case landing.PublishRoster:
		}
	}
	if s.rng.IntN(3) == 0 && !b.state.RosterCallPending() {
		s.readRoster(b)
	}
	if s.rng.IntN(3) == 0 && !b.state.LeaseCallPending() {
		s.readLease(b)
	}
}

func (s *simulation) writeRoster(b *balancer, t landing.WriteRoster) {
	isAccepted := t.ExpectedVersion() == s.rosterVersion && s.reachesPlatform(b)
	if isAccepted {
		if t.Roster().Serial() < s.roster.Serial() {
			s.isRosterReverted = true
		}
		s.roster = t.Roster()
		s.rosterVersion++
	}
	if isAccepted && !s.areWriteRepliesLost {
		s.handleEvent(b, landing.RosterWriteEnded{}.WithConfirmed(true).WithRoster(t.Roster()).WithRosterVersion(s.rosterVersion).WithEndedAt(s.now))
		return
	}
	s.handleEvent(b, landing.RosterWriteEnded{}.WithEndedAt(s.now))
}

func (s *simulation) writeLease(b *balancer, t landing.WriteLease) {
	isAccepted := t.ExpectedVersion() == s.leaseVersion && s.reachesPlatform(b)
	if isAccepted {
		s.lease = t.Lease()
		s.leaseVersion++
	}
	if isAccepted && !s.areWriteRepliesLost {
		s.handleEvent(b, landing.LeaseWriteEnded{}.WithConfirmed(true).WithLease(t.Lease()).WithLeaseVersion(s.leaseVersion).WithEndedAt(s.now))
		return
	}
	s.handleEvent(b, landing.LeaseWriteEnded{}.WithEndedAt(s.now))
}

// reachesPlatform reports whether b can reach the platform.
func (s *simulation) reachesPlatform(b *balancer) bool {
	return !s.isPlatformDown && !b.isIsolated
}

func (s *simulation) readRoster(b *balancer) {
	if s.reachesPlatform(b) {
		s.handleEvent(b, landing.RosterRead{}.WithRoster(s.roster).WithRosterVersion(s.rosterVersion).WithReadAt(s.now))
	} else if b.state.RosterCallPending() {
		b.pendingTasks = append(b.pendingTasks, landing.ReadRoster{})
	}
}

func (s *simulation) readLease(b *balancer) {
	if s.reachesPlatform(b) {
		s.handleEvent(b, landing.LeaseRead{}.WithLease(s.lease).WithLeaseVersion(s.leaseVersion).WithReadAt(s.now))
	} else if b.state.LeaseCallPending() {
		b.pendingTasks = append(b.pendingTasks, landing.ReadLease{})
	}
}

// findFault returns the first deviation from the expected state: no roster was ever replaced by an older
// one, and the roster of each balancer lists all balancers and exactly the running sidecars. It returns
// an empty string when there is none.
func (s *simulation) findFault() string {
	if s.isRosterReverted {
		return "a roster was replaced by an older one"
	}
	for _, b := range s.balancers {
		r := b.state.RegionState().Roster()
		if r.MembersLen() != len(s.balancers) {
			return fmt.Sprintf("the roster of %s has %d balancers", b.state.Self().Instance(), r.MembersLen())
		}
		if r.TargetsLen() != len(s.sidecars) {
			return fmt.Sprintf("the roster of %s has %d targets, want %d", b.state.Self().Instance(), r.TargetsLen(), len(s.sidecars))
		}
		for _, t := range r.Targets() {
			if _, isRunning := s.sidecars[t.Instance()]; !isRunning || t.Phase() != landing.PhaseServing {
				return fmt.Sprintf("the roster of %s has target %s in phase %s", b.state.Self().Instance(), t.Instance(), t.Phase())
			}
		}
	}
	return ""
}
