package relay

import (
	"sync/atomic"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/clock"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/directory"
	"github.com/crocuslanding/crocuslanding/core/pkg/policy"
	"github.com/crocuslanding/crocuslanding/core/pkg/policylog"
	"github.com/crocuslanding/crocuslanding/core/pkg/position"
)

// eventBuffer is the number of events that can wait before Post blocks.
const eventBuffer = 256

// ControlThread is the only thread that changes the control state of a balancer on the relay path. It handles events
// one after another and publishes the resulting state as an immutable snapshot. Its exported methods may be called from
// several goroutines.
type ControlThread struct {
	telemetry         common.Telemetry
	thread            *common.ControlThread
	snapshot          atomic.Pointer[Snapshot]
	policyOutdated    chan struct{}
	sidecarsChanged   chan struct{}
	onUpstreamRestart func(sidecarAddress, startMillis uint64)
	eras              *eraSignal
}

// NewControlThread returns the control thread of the balancer at this address, without any state from the platform. It
// handles no events before Start is called. What the platform may have lost is kept for the time retention. When a sidecar
// reports another start time of its upstream than before, the control thread calls onUpstreamRestart with the address of
// the sidecar and the new start time, in milliseconds since 1970 by the upstream's clock.
func NewControlThread(telemetry common.Telemetry, balancerAddress uint64, retention time.Duration, onUpstreamRestart func(sidecarAddress, startMillis uint64)) *ControlThread {
	control := &ControlThread{
		telemetry:         telemetry,
		thread:            common.NewControlThread(eventBuffer),
		policyOutdated:    make(chan struct{}, 1),
		sidecarsChanged:   make(chan struct{}, 1),
		onUpstreamRestart: onUpstreamRestart,
		eras:              newEraSignal(),
	}
	s := NewSnapshot(balancerAddress, retention)
	control.snapshot.Store(&s)
	return control
}

// Start starts the thread.
func (c *ControlThread) Start() {
	c.thread.Start()
}

// Stop stops the thread and waits until it has ended. Events that have not been handled are dropped.
func (c *ControlThread) Stop() {
	c.thread.Stop()
}

// Snapshot returns the newest snapshot.
func (c *ControlThread) Snapshot() Snapshot {
	return *c.snapshot.Load()
}

// Policy returns the routing rules and zone exclusions in force.
func (c *ControlThread) Policy() policy.Policy {
	return c.Snapshot().policy
}

// PeersAhead returns the addresses of the sidecars that have advertised newer rules or exclusions than those in force.
func (c *ControlThread) PeersAhead() []uint64 {
	return c.Snapshot().SidecarsWithNewerPolicy()
}

// PolicyOutdated returns a channel that receives a value when another process has advertised newer rules or exclusions
// than those in force.
func (c *ControlThread) PolicyOutdated() <-chan struct{} {
	return c.policyOutdated
}

// SidecarsChanged returns a channel that receives a value when the set of enrolled sidecars has changed, so that the
// balancer subscribes to the statuses of new sidecars at once.
func (c *ControlThread) SidecarsChanged() <-chan struct{} {
	return c.sidecarsChanged
}

// LaterEra returns a channel that is closed when the platform is known to be in a later era than the given one.
func (c *ControlThread) LaterEra(era uint64) <-chan struct{} {
	return c.eras.after(era)
}

// RemoveExpired removes the retained exclusions and sidecars whose time is over.
func (c *ControlThread) RemoveExpired() {
	if !c.Snapshot().HasExpired() {
		return
	}
	c.Update(func(s Snapshot) Snapshot {
		next := s.WithoutExpired(clock.Now())
		c.telemetry.Log().Info("lost objects are given up", "zones", s.policy.RetainedZones(), "kept", next.policy.RetainedZones(),
			"sidecars", len(s.directory.Sidecars())-len(next.directory.Sidecars()))
		return next
	})
}

// AwaitPosted returns when all events posted before have been handled, or when the thread stops.
func (c *ControlThread) AwaitPosted() {
	c.thread.AwaitPosted()
}

// Post queues an event for the control thread. It blocks while the queue is full.
func (c *ControlThread) Post(event landing.RelayEvent) {
	c.Update(func(s Snapshot) Snapshot {
		next := c.handle(s, event)
		c.noteEra(s, next)
		return next
	})
}

// Update queues a function that derives the next snapshot from the current one. The control thread calls it and
// publishes the result. Update blocks while the queue is full.
func (c *ControlThread) Update(update func(Snapshot) Snapshot) {
	c.thread.Post(func() {
		s := update(c.Snapshot())
		c.snapshot.Store(&s)
	})
}

// handle returns the snapshot after the event.
func (c *ControlThread) handle(s Snapshot, event landing.RelayEvent) Snapshot {
	switch event := event.(type) {
	case landing.RulesReceived:
		next := s.policy.WithRules(event.Rules())
		policylog.Rules(c.telemetry, s.policy, next, event.Rules(), event.Source())
		return s.WithPolicy(next)
	case landing.ExclusionsReceived:
		s = s.WithAnsweredCall(event.CallTime(), event.Exclusions().Era(), clock.Now())
		return c.applyExclusions(s, event.Exclusions())
	case landing.EnrollmentsReceived:
		s = s.WithAnsweredCall(event.CallTime(), event.EnrollmentList().Era(), clock.Now())
		return c.applyEnrollments(s, event.EnrollmentList())
	case landing.StatusesReceived:
		for _, received := range event.Statuses() {
			status := received.Status()
			s = c.noteRevisions(s, policy.RevisionsOfStatus(status))
			s = s.WithPolicy(c.policyAfterStatement(s.policy, status))
			c.detectUpstreamRestart(s, received)
		}
		return s.WithDirectory(s.directory.WithStatuses(event.Statuses()...))
	case landing.RevisionsSeen:
		return c.noteRevisions(s, event.Revisions())
	case landing.ConsistentReadEnded:
		return s.WithPolicy(s.policy.WithConsistentRead(event.WantedAtStart()))
	case landing.ProbeAckReceived:
		return s.WithDirectory(s.directory.WithProbeAck(event.SubjectAddress(), event.ProxyAddress(), event.ReceivedAt()))
	case landing.ProbesSent:
		return s.WithDirectory(s.directory.WithProbesSent(event.LocalSubjects(), event.RemoteSubjects()))
	case landing.UpstreamEventObserved, landing.SubscriptionReceived:
	}
	return s
}

// policyAfterStatement returns the policy after a sidecar has stated which lost exclusions it retains, and logs those that
// this balancer did not retain.
func (c *ControlThread) policyAfterStatement(p policy.Policy, status landing.SidecarStatus) policy.Policy {
	next := policy.WithStatusStatements(p, status)
	policylog.Retained(c.telemetry, p, next)
	return next
}

// applyExclusions puts newer zone exclusions in force and logs when they have changed.
func (c *ControlThread) applyExclusions(s Snapshot, received landing.ZoneExclusions) Snapshot {
	next := s.policy.WithExclusions(received)
	policylog.Exclusions(c.telemetry, s.policy, next, received)
	return s.WithPolicy(next)
}

// applyEnrollments puts a newer list of enrolled sidecars in force. A list that is not newer is ignored.
func (c *ControlThread) applyEnrollments(s Snapshot, list landing.EnrollmentList) Snapshot {
	inForce := s.directory.EnrollmentList()
	if !position.IsLater(position.OfEnrollments(list), position.OfEnrollments(inForce)) {
		return s
	}
	next := s.directory.WithEnrollmentList(list, clock.Now())
	if !directory.SameSidecars(list, inForce) {
		c.telemetry.Log().Info("sidecars enrolled", "revision", list.Revision(), "era", list.Era(), "sidecars", list.EnrollmentsLen(), "known", len(next.Sidecars()))
		common.Notify(c.sidecarsChanged)
	}
	return s.WithDirectory(next)
}

// noteEra ends the watches of an earlier era, and logs it, when the next snapshot is of a later era of the platform.
func (c *ControlThread) noteEra(before, next Snapshot) {
	era := next.StoreEra()
	if era <= before.StoreEra() {
		return
	}
	if before.HasInitialState() {
		c.telemetry.Counters().Counter("store_returned").Inc(1)
		c.telemetry.Log().Info("store came back from an older copy", "era", era, "before", before.StoreEra())
	}
	c.eras.raise(era)
}

// detectUpstreamRestart calls onUpstreamRestart when the status carries another start time of the upstream than the last
// status of the sidecar.
func (c *ControlThread) detectUpstreamRestart(s Snapshot, received landing.ReceivedStatus) {
	before, found := s.directory.Find(received.SourceAddress())
	startMillis := received.Status().UpstreamStartMillis()
	if found && startMillis > 0 && startMillis != before.LastStatus().UpstreamStartMillis() {
		c.onUpstreamRestart(received.SourceAddress(), startMillis)
	}
}

// noteRevisions records the revisions that another process has advertised, and signals PolicyOutdated when they are
// newer than those in force.
func (c *ControlThread) noteRevisions(s Snapshot, advertised landing.PolicyRevisions) Snapshot {
	next := s.policy.WithRevisionsSeen(advertised)
	if s.policy.LearnsOfNewer(next) {
		c.telemetry.Log().Info("newer policy advertised", "rules", advertised.Rules(), "exclusions", advertised.Exclusions(), "read", advertised.ExclusionsRead())
	}
	s = s.WithPolicy(next)
	if s.policy.IsBehind() {
		common.Notify(c.policyOutdated)
	}
	return s
}
