package relay

import (
	"sync/atomic"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/directory"
	"github.com/crocuslanding/crocuslanding/core/pkg/policy"
)

const changeBuffer = 256

// ControlThread is the control thread of a balancer on the relay path. It owns all control state: it takes changes in
// order and publishes an immutable snapshot.
type ControlThread struct {
	common   common.Telemetry
	thread   *common.ControlThread
	snapshot atomic.Pointer[Snapshot]
	behind   chan struct{}
	joined   chan struct{}
	reborn   func(hop, born uint64)
}

// NewControlThread returns a keeper of the balancer at this address, which knows nothing. Start must be called. Reborn is called
// when the upstream of the sidecar at an address is another incarnation than before.
func NewControlThread(c common.Telemetry, home uint64, reborn func(hop, born uint64)) *ControlThread {
	k := &ControlThread{
		common: c,
		thread: common.NewControlThread(changeBuffer),
		behind: make(chan struct{}, 1),
		joined: make(chan struct{}, 1),
		reborn: reborn,
	}
	s := NewSnapshot(home)
	k.snapshot.Store(&s)
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

// PeersAhead returns the addresses of the sidecars that have shown newer revisions.
func (k *ControlThread) PeersAhead() []uint64 {
	return k.Snapshot().SidecarsWithNewerPolicy()
}

// PolicyOutdated returns a channel that receives when another process has newer rules or exclusions.
func (k *ControlThread) PolicyOutdated() <-chan struct{} {
	return k.behind
}

// SidecarsChanged returns a channel that receives when the roll has changed, so that new sidecars are greeted at once.
func (k *ControlThread) SidecarsChanged() <-chan struct{} {
	return k.joined
}

// Await returns when all that was posted before has been taken in.
func (k *ControlThread) Await() {
	k.thread.AwaitPosted()
}

// Post hands a change to the control thread. It waits while the thread is behind.
func (k *ControlThread) Post(c landing.RelayEvent) {
	k.Update(func(s Snapshot) Snapshot { return k.handle(s, c) })
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
	case landing.EnrollmentsReceived:
		return k.enroll(s, c.EnrollmentList())
	case landing.StatusesReceived:
		for _, a := range c.Statuses() {
			s = k.compare(s, policy.NewRevisions(a.Status().RulesRevision(), a.Status().ExclusionsChangedRevision()))
			k.notice(s, a)
		}
		return s.WithDirectory(s.directory.WithStatuses(c.Statuses()...))
	case landing.RevisionsSeen:
		return k.compare(s, c.Revisions())
	case landing.ConsistentReadEnded:
		return s.WithPolicy(s.policy.WithConsistentRead(c.WantedAtStart()))
	case landing.ProbeAckReceived:
		return s.WithDirectory(s.directory.WithProbeAck(c.SubjectAddress(), c.ProxyAddress(), c.ReceivedAt()))
	case landing.ProbesSent:
		return s.WithDirectory(s.directory.WithProbesSent(c.LocalSubjects(), c.RemoteSubjects()))
	case landing.UpstreamEventObserved, landing.SubscriptionReceived:
	}
	return s
}

// enforce puts a policy in force and logs what is new in it.
func (k *ControlThread) enforce(s Snapshot, p policy.Policy) Snapshot {
	if r := p.Rules().Rules(); r.Revision() != s.policy.Rules().Rules().Revision() {
		k.common.Log().Info("rules in force", "version", r.Version(), "revision", r.Revision(), "listeners", r.ListenersLen())
	}
	if e := p.Exclusions(); e.ChangedRevision() != s.policy.Exclusions().ChangedRevision() {
		k.common.Log().Info("exclusions in force", "changed", e.ChangedRevision(), "zones", e.Zones())
	}
	return s.WithPolicy(p)
}

func (k *ControlThread) enroll(s Snapshot, r landing.EnrollmentList) Snapshot {
	if r.Revision() <= s.directory.EnrollmentList().Revision() {
		return s
	}
	if !directory.SameSidecars(r, s.directory.EnrollmentList()) {
		k.common.Log().Info("sidecars enrolled", "revision", r.Revision(), "sidecars", r.EnrollmentsLen())
		common.Notify(k.joined)
	}
	return s.WithDirectory(s.directory.WithEnrollmentList(r, time.Now()))
}

// notice tells traffic of a new incarnation of an upstream.
func (k *ControlThread) notice(s Snapshot, a landing.ReceivedStatus) {
	before, found := s.directory.Find(a.SourceAddress())
	born := a.Status().UpstreamStartMillis()
	if found && born > 0 && born != before.LastStatus().UpstreamStartMillis() {
		k.reborn(a.SourceAddress(), born)
	}
}

// compare notes revisions that another process has shown.
func (k *ControlThread) compare(s Snapshot, shown landing.PolicyRevisions) Snapshot {
	s = s.WithPolicy(s.policy.WithRevisionsSeen(shown))
	if s.policy.IsBehind() {
		common.Notify(k.behind)
	}
	return s
}
