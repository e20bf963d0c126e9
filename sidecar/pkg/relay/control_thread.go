package relay

import (
	"sync/atomic"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/clock"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/pace"
	"github.com/crocuslanding/crocuslanding/core/pkg/policy"
	"github.com/crocuslanding/crocuslanding/core/pkg/policylog"
	"github.com/crocuslanding/crocuslanding/core/pkg/presence"
)

// eventBuffer is the number of posted events that may wait for the control thread.
const eventBuffer = 64

// ControlThread owns the control state of a sidecar on the relay path. It handles events one after another
// and publishes an immutable snapshot after each.
type ControlThread struct {
	telemetry       common.Telemetry
	zone            string
	service         string
	instance        string
	writesPerSecond uint32
	thread          *common.ControlThread
	snapshot        atomic.Pointer[Snapshot]
	policyOutdated  chan struct{}
	upstreamServing chan struct{}
	onUpstreamEnded func(until time.Time)
	onHeartbeat     func(landing.UpstreamState)
}

// NewControlThread returns the control thread of the sidecar with these settings. Start must be called.
// onUpstreamEnded is called when the upstream's process has ended: the flows that were opened up to the
// given time belonged to it. onHeartbeat is called after each heartbeat. Both run on the control thread.
func NewControlThread(c common.Telemetry, s landing.RelaySidecarSettings, onUpstreamEnded func(until time.Time), onHeartbeat func(landing.UpstreamState)) *ControlThread {
	t := &ControlThread{
		telemetry:       c,
		zone:            s.Zone(),
		service:         s.Service(),
		instance:        s.Instance(),
		writesPerSecond: s.Writes(),
		thread:          common.NewControlThread(eventBuffer),
		policyOutdated:  make(chan struct{}, 1),
		upstreamServing: make(chan struct{}, 1),
		onUpstreamEnded: onUpstreamEnded,
		onHeartbeat:     onHeartbeat,
	}
	t.snapshot.Store(&Snapshot{policy: policy.New(pace.Retention(s.Stretch()))})
	return t
}

// Start starts the control thread.
func (t *ControlThread) Start() {
	t.thread.Start()
}

// Stop stops the control thread and waits for its end.
func (t *ControlThread) Stop() {
	t.thread.Stop()
}

// Snapshot returns the latest snapshot.
func (t *ControlThread) Snapshot() Snapshot {
	return *t.snapshot.Load()
}

// Policy returns the rules and exclusions in force.
func (t *ControlThread) Policy() policy.Policy {
	return t.Snapshot().policy
}

// PeersAhead returns the addresses of the subscribed balancers that have advertised newer revisions than
// those in force. If there are none, it returns the addresses of all subscribed balancers.
func (t *ControlThread) PeersAhead() []uint64 {
	return t.Snapshot().BalancersWithNewerPolicy(clock.Now())
}

// PolicyOutdated returns a channel that receives a value when another process has advertised newer rules or
// exclusions than those in force.
func (t *ControlThread) PolicyOutdated() <-chan struct{} {
	return t.policyOutdated
}

// UpstreamServing returns a channel that receives a value when the upstream is serving.
func (t *ControlThread) UpstreamServing() <-chan struct{} {
	return t.upstreamServing
}

// AwaitPosted returns when all events that were posted before have been handled.
func (t *ControlThread) AwaitPosted() {
	t.thread.AwaitPosted()
}

// Post passes an event to the control thread. It blocks while too many events wait.
func (t *ControlThread) Post(e landing.RelayEvent) {
	t.thread.Post(func() {
		s := t.handle(t.Snapshot(), e)
		t.snapshot.Store(&s)
	})
}

// Update calls update on the control thread with the latest snapshot and publishes the snapshot that update
// returns. It does not wait until update has run, but like Post it blocks while too many events wait.
func (t *ControlThread) Update(update func(Snapshot) Snapshot) {
	t.thread.Post(func() {
		s := update(t.Snapshot())
		t.snapshot.Store(&s)
	})
}

func (t *ControlThread) handle(s Snapshot, e landing.RelayEvent) Snapshot {
	switch e := e.(type) {
	case landing.RulesReceived:
		next := s.policy.WithRules(e.Rules())
		policylog.Rules(t.telemetry, s.policy, next, e.Rules(), e.Source())
		return s.WithPolicy(next)
	case landing.ExclusionsReceived:
		return t.applyExclusions(s, e.Exclusions())
	case landing.UpstreamEventObserved:
		return t.applyUpstreamEvent(s, e.Event())
	case landing.SubscriptionReceived:
		subscription := e.Subscription()
		s = t.recordRevisions(s, policy.RevisionsOfSubscription(subscription))
		s = t.recordEra(s, subscription.StoreEra())
		if subscription.Instance() == t.instance {
			s = s.WithConfirmation(s.confirmation.WithSubscription(e.AcknowledgedAt(), e.ReceivedAt()))
		}
		s = s.WithStoreTime(subscription, e.ReceivedAt())
		next := s.policy.WithZonesStated(subscription.StoreEra(), subscription.RetainedZones())
		policylog.Retained(t.telemetry, s.policy, next)
		s = t.applyPolicy(s, next)
		return s.WithSubscriber(subscription, e.ReceivedAt()).WithSidecarCount(int(subscription.SidecarCount()))
	case landing.RevisionsSeen:
		return t.recordRevisions(s, e.Revisions())
	case landing.ConsistentReadEnded:
		return s.WithPolicy(s.policy.WithConsistentRead(e.WantedAtStart()))
	case landing.EnrollmentsReceived, landing.StatusesReceived, landing.ProbeAckReceived, landing.ProbesSent:
	}
	return s
}

// applyExclusions puts newer zone exclusions in force and logs when they have changed.
func (t *ControlThread) applyExclusions(s Snapshot, received landing.ZoneExclusions) Snapshot {
	next := s.policy.WithExclusions(received)
	policylog.Exclusions(t.telemetry, s.policy, next, received)
	return t.recordEra(t.applyPolicy(s, next), next.Exclusions().Era())
}

// recordEra records that the platform is in this era, as the platform or another process states it. In a later era than
// before, the sidecar has its enrollment confirmed.
func (t *ControlThread) recordEra(s Snapshot, era uint64) Snapshot {
	spread := pace.EnrollmentRenewalSpread(s.sidecarCount, t.writesPerSecond)
	return s.WithConfirmation(s.confirmation.WithRenewalSpread(spread).WithStatedEra(era, clock.Now().Add(pace.EnrollmentRenewalDelay(spread))))
}

// RemoveExpired removes the retained exclusions whose time is over.
func (t *ControlThread) RemoveExpired() {
	if !t.Policy().HasExpired() {
		return
	}
	t.Update(func(s Snapshot) Snapshot {
		next := s.policy.WithoutExpired()
		t.telemetry.Log().Info("lost objects are given up", "zones", s.policy.RetainedZones(), "kept", next.RetainedZones())
		return t.applyPolicy(s, next)
	})
}

// applyPolicy puts a policy in force. When the upstream's zone is put back into service, the upstream counts as cold.
func (t *ControlThread) applyPolicy(s Snapshot, next policy.Policy) Snapshot {
	wasExcluded, isExcluded := s.policy.IsExcluded(t.zone), next.IsExcluded(t.zone)
	s = s.WithPolicy(next)
	if wasExcluded && !isExcluded {
		return t.applyUpstreamEvent(s, landing.ZoneRestored{}.WithRestoredAt(clock.Now()).WithAssumedColdStart(next.Rules().Pool(t.service).ColdStartDuration()))
	}
	return s
}

// applyUpstreamEvent applies an event to the state of the upstream, logs the change and calls the
// callbacks.
func (t *ControlThread) applyUpstreamEvent(s Snapshot, e landing.UpstreamEvent) Snapshot {
	next := s.WithUpstream(presence.Handle(s.upstream, e))
	before, after := s.upstream, next.upstream
	if until, hasEnded := presence.EndedUntil(before, after, e); hasEnded {
		t.telemetry.Log().Info("upstream ended", "upstream", before.Incarnation(), "started", before.StartedAt().UnixMilli(), "heartbeat", before.LastHeartbeat().UnixMilli(),
			"until", until.UnixMilli(), "next", after.Incarnation(), "born", after.StartedAt().UnixMilli())
		t.onUpstreamEnded(until)
	}
	if after.LastHeartbeat().After(before.LastHeartbeat()) {
		t.onHeartbeat(after)
	}
	if before.Incarnation() != after.Incarnation() || before.Phase() != after.Phase() {
		t.telemetry.Log().Info("upstream changed", "upstream", after.Incarnation(), "phase", after.Phase().String(),
			"sequence", after.LastHeartbeatNumber(), "witnessed", after.AllFlowsSeen())
	}
	if after.Phase() == landing.PhaseServing {
		common.Notify(t.upstreamServing)
	}
	return next
}

// recordRevisions records the revisions that another process has advertised, and signals PolicyOutdated when
// they are newer than those in force.
func (t *ControlThread) recordRevisions(s Snapshot, seen landing.PolicyRevisions) Snapshot {
	next := s.policy.WithRevisionsSeen(seen)
	if s.policy.LearnsOfNewer(next) {
		t.telemetry.Log().Info("newer policy advertised", "rules", seen.Rules(), "exclusions", seen.Exclusions(), "read", seen.ExclusionsRead())
	}
	s = s.WithPolicy(next)
	if s.policy.IsBehind() {
		common.Notify(t.policyOutdated)
	}
	return s
}
