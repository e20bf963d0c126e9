package relay

import (
	"sync/atomic"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/policy"
	"github.com/crocuslanding/crocuslanding/core/pkg/presence"
)

const changeBuffer = 64

// ControlThread is the control thread of a sidecar on the relay path. It owns all control state: it takes changes in
// order and publishes an immutable snapshot.
type ControlThread struct {
	common   common.Telemetry
	zone     string
	service  string
	instance string
	thread   *common.ControlThread
	snapshot atomic.Pointer[Snapshot]
	behind   chan struct{}
	serving  chan struct{}
	ended    func(at time.Time)
	beaten   func(landing.UpstreamState)
}

// NewControlThread returns a keeper for the sidecar with these settings. Ended is called when the upstream's process has ended,
// with the time up to which flows were opened at it, and beaten after each heartbeat.
func NewControlThread(c common.Telemetry, s landing.RelaySidecarSettings, ended func(at time.Time), beaten func(landing.UpstreamState)) *ControlThread {
	k := &ControlThread{
		common:   c,
		zone:     s.Zone(),
		service:  s.Service(),
		instance: s.Instance(),
		thread:   common.NewControlThread(changeBuffer),
		behind:   make(chan struct{}, 1),
		serving:  make(chan struct{}, 1),
		ended:    ended,
		beaten:   beaten,
	}
	k.snapshot.Store(&Snapshot{})
	return k
}

// Start starts the control thread.
func (t *ControlThread) Start() {
	t.thread.Start()
}

// Stop stops the control thread and waits for its end.
func (t *ControlThread) Stop() {
	t.thread.Stop()
}

// Snapshot returns the newest snapshot.
func (t *ControlThread) Snapshot() Snapshot {
	return *t.snapshot.Load()
}

// Policy returns what is in force.
func (t *ControlThread) Policy() policy.Policy {
	return t.Snapshot().policy
}

// PeersAhead returns the addresses of the balancers that have shown newer revisions, or else of all that greet.
func (t *ControlThread) PeersAhead() []uint64 {
	return t.Snapshot().Ahead()
}

// Behind returns a channel that receives when another process has newer rules or exclusions.
func (t *ControlThread) Behind() <-chan struct{} {
	return t.behind
}

// Serving returns a channel that receives when the upstream says that it serves.
func (t *ControlThread) Serving() <-chan struct{} {
	return t.serving
}

// Await returns when all that was posted before has been taken in.
func (t *ControlThread) Await() {
	t.thread.AwaitPosted()
}

// Post hands a change to the control thread. It waits while the thread is behind.
func (t *ControlThread) Post(c landing.RelayEvent) {
	t.thread.Post(func() {
		s := t.handle(t.Snapshot(), c)
		t.snapshot.Store(&s)
	})
}

// Update hands a step that makes a new snapshot to the control thread.
func (t *ControlThread) Update(step func(Snapshot) Snapshot) {
	t.thread.Post(func() {
		s := step(t.Snapshot())
		t.snapshot.Store(&s)
	})
}

func (t *ControlThread) handle(s Snapshot, c landing.RelayEvent) Snapshot {
	switch c := c.(type) {
	case landing.RulesReceived:
		return t.enforce(s, s.policy.WithRules(c.Rules()))
	case landing.ExclusionsReceived:
		return t.enforce(s, s.policy.WithExclusions(c.Exclusions()))
	case landing.UpstreamEventObserved:
		return t.see(s, c.Event())
	case landing.SubscriptionReceived:
		g := c.Subscription()
		s = t.compare(s, policy.NewRevisions(g.RulesRevision(), g.ExclusionsChangedRevision()))
		if g.Instance() == t.instance {
			s = s.WithEnrolled(c.ReceivedAt())
		}
		return s.WithHome(g, c.ReceivedAt()).WithSidecars(int(g.SidecarCount()))
	case landing.RevisionsSeen:
		return t.compare(s, c.Revisions())
	case landing.ConsistentReadEnded:
		return s.WithPolicy(s.policy.WithConsistentRead(c.WantedAtStart()))
	case landing.EnrollmentsReceived, landing.StatusesReceived, landing.ProbeAckReceived, landing.ProbesSent:
	}
	return s
}

// enforce puts a policy in force and logs what is new in it.
func (t *ControlThread) enforce(s Snapshot, p policy.Policy) Snapshot {
	if r := p.Rules().Rules(); r.Revision() != s.policy.Rules().Rules().Revision() {
		t.common.Log().Info("rules in force", "version", r.Version(), "revision", r.Revision(), "listeners", r.ListenersLen())
	}
	wasExcluded, isExcluded := s.policy.IsExcluded(t.zone), p.IsExcluded(t.zone)
	s = s.WithPolicy(p)
	if wasExcluded != isExcluded {
		t.common.Log().Info("exclusions in force", "changed", p.Exclusions().ChangedRevision(), "out", isExcluded)
	}
	if wasExcluded && !isExcluded {
		return t.see(s, landing.ZoneRestored{}.WithRestoredAt(time.Now()).WithAssumedColdStart(p.Rules().Pool(t.service).ColdStartDuration()))
	}
	return s
}

func (t *ControlThread) see(s Snapshot, sight landing.UpstreamEvent) Snapshot {
	next := s.WithPresence(presence.Handle(s.presence, sight))
	before, after := s.presence, next.presence
	if at, hasEnded := ended(before, after, sight); hasEnded {
		t.ended(at)
	}
	if after.LastHeartbeat().After(before.LastHeartbeat()) {
		t.beaten(after)
	}
	if before.Incarnation() != after.Incarnation() || before.Phase() != after.Phase() {
		t.common.Log().Info("upstream changed", "upstream", after.Incarnation(), "phase", after.Phase().String(),
			"sequence", after.LastHeartbeatNumber(), "witnessed", after.AllFlowsSeen())
	}
	if after.Phase() == landing.PhaseServing {
		common.Notify(t.serving)
	}
	return next
}

// ended returns the time up to which flows were opened at an upstream's process that is now known to have ended.
func ended(before, after landing.UpstreamState, sight landing.UpstreamEvent) (time.Time, bool) {
	if v, isClosed := sight.(landing.UpstreamSocketClosed); isClosed && before.Phase() != landing.PhaseLeft {
		return v.DetectedAt(), true
	}
	if presence.IsNewIncarnation(before, after) {
		return before.LastHeartbeat(), true
	}
	return time.Time{}, false
}

// compare notes revisions that another process has shown.
func (t *ControlThread) compare(s Snapshot, shown landing.PolicyRevisions) Snapshot {
	s = s.WithPolicy(s.policy.WithRevisionsSeen(shown))
	if s.policy.IsBehind() {
		common.Notify(t.behind)
	}
	return s
}
