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
func (k *ControlThread) Start() {
	k.thread.Start()
}

// Stop stops the control thread and waits for its end.
func (k *ControlThread) Stop() {
	k.thread.Stop()
}

// Snapshot returns the newest snapshot.
func (k *ControlThread) Snapshot() Snapshot {
	return *k.snapshot.Load()
}

// Policy returns what is in force.
func (k *ControlThread) Policy() policy.Policy {
	return k.Snapshot().policy
}

// PeersAhead returns the addresses of the balancers that have shown newer revisions, or else of all that greet.
func (k *ControlThread) PeersAhead() []uint64 {
	return k.Snapshot().Ahead()
}

// Behind returns a channel that receives when another process has newer rules or exclusions.
func (k *ControlThread) Behind() <-chan struct{} {
	return k.behind
}

// Serving returns a channel that receives when the upstream says that it serves.
func (k *ControlThread) Serving() <-chan struct{} {
	return k.serving
}

// Await returns when all that was posted before has been taken in.
func (k *ControlThread) Await() {
	k.thread.AwaitPosted()
}

// Post hands a change to the control thread. It waits while the thread is behind.
func (k *ControlThread) Post(c landing.RelayEvent) {
	k.thread.Post(func() {
		s := k.handle(k.Snapshot(), c)
		k.snapshot.Store(&s)
	})
}

// Update hands a step that makes a new snapshot to the control thread.
func (k *ControlThread) Update(step func(Snapshot) Snapshot) {
	k.thread.Post(func() {
		s := step(k.Snapshot())
		k.snapshot.Store(&s)
	})
}

func (k *ControlThread) handle(s Snapshot, c landing.RelayEvent) Snapshot {
	switch c := c.(type) {
	case landing.RulesReceived:
		return k.enforce(s, s.policy.WithRules(c.Rules()))
	case landing.ExclusionsReceived:
		return k.enforce(s, s.policy.WithExclusions(c.Exclusions()))
	case landing.UpstreamEventObserved:
		return k.see(s, c.Event())
	case landing.SubscriptionReceived:
		g := c.Subscription()
		s = k.compare(s, policy.NewRevisions(g.RulesRevision(), g.ExclusionsChangedRevision()))
		if g.Instance() == k.instance {
			s = s.WithEnrolled(c.ReceivedAt())
		}
		return s.WithHome(g, c.ReceivedAt()).WithSidecars(int(g.SidecarCount()))
	case landing.RevisionsSeen:
		return k.compare(s, c.Revisions())
	case landing.ConsistentReadEnded:
		return s.WithPolicy(s.policy.WithConsistentRead(c.WantedAtStart()))
	case landing.EnrollmentsReceived, landing.StatusesReceived, landing.ProbeAckReceived, landing.ProbesSent:
	}
	return s
}

// enforce puts a policy in force and logs what is new in it.
func (k *ControlThread) enforce(s Snapshot, p policy.Policy) Snapshot {
	if r := p.Rules().Rules(); r.Revision() != s.policy.Rules().Rules().Revision() {
		k.common.Log().Info("rules in force", "version", r.Version(), "revision", r.Revision(), "listeners", r.ListenersLen())
	}
	wasExcluded, isExcluded := s.policy.IsExcluded(k.zone), p.IsExcluded(k.zone)
	s = s.WithPolicy(p)
	if wasExcluded != isExcluded {
		k.common.Log().Info("exclusions in force", "changed", p.Exclusions().ChangedRevision(), "out", isExcluded)
	}
	if wasExcluded && !isExcluded {
		return k.see(s, landing.ZoneRestored{}.WithRestoredAt(time.Now()).WithAssumedColdStart(p.Rules().Pool(k.service).ColdStartDuration()))
	}
	return s
}

func (k *ControlThread) see(s Snapshot, sight landing.UpstreamEvent) Snapshot {
	next := s.WithPresence(presence.Handle(s.presence, sight))
	before, after := s.presence, next.presence
	if at, hasEnded := ended(before, after, sight); hasEnded {
		k.ended(at)
	}
	if after.LastHeartbeat().After(before.LastHeartbeat()) {
		k.beaten(after)
	}
	if before.Incarnation() != after.Incarnation() || before.Phase() != after.Phase() {
		k.common.Log().Info("upstream changed", "upstream", after.Incarnation(), "phase", after.Phase().String(),
			"sequence", after.LastHeartbeatNumber(), "witnessed", after.AllFlowsSeen())
	}
	if after.Phase() == landing.PhaseServing {
		common.Notify(k.serving)
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
func (k *ControlThread) compare(s Snapshot, shown landing.PolicyRevisions) Snapshot {
	s = s.WithPolicy(s.policy.WithRevisionsSeen(shown))
	if s.policy.IsBehind() {
		common.Notify(k.behind)
	}
	return s
}
