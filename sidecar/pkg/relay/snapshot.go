package relay

import (
	"slices"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/policy"
	"github.com/crocuslanding/crocuslanding/core/pkg/presence"
)

// subscriptionTimeout is the time after which a subscription that was not renewed expires. It is three
// times the interval at which balancers renew it.
const subscriptionTimeout = 3 * time.Second

// Snapshot is the control state that the workers read. It is immutable.
type Snapshot struct {
	policy      policy.Policy
	upstream    landing.UpstreamState
	subscribers []subscriber
	// enrolledAt is the last time at which the platform or a balancer confirmed the sidecar's enrollment; the
	// zero time before the first confirmation.
	enrolledAt time.Time
	isStopping bool
	// sidecarCount is the number of enrolled sidecars, as a balancer reported it last.
	sidecarCount int
}

// subscriber is a balancer that subscribes to the sidecar's status.
type subscriber struct {
	// address is the IPv4 address times 65536 plus the UDP port.
	address   uint64
	renewedAt time.Time
	// revisions are the revisions that the balancer advertised last.
	revisions landing.PolicyRevisions
}

// WithPolicy returns a copy with the given policy in force.
func (s Snapshot) WithPolicy(p policy.Policy) Snapshot {
	s.policy = p
	return s
}

// WithUpstream returns a copy with the given state of the upstream.
func (s Snapshot) WithUpstream(u landing.UpstreamState) Snapshot {
	s.upstream = u
	return s
}

// WithEnrolledAt returns a copy in which the sidecar's enrollment was last confirmed at this time.
func (s Snapshot) WithEnrolledAt(confirmedAt time.Time) Snapshot {
	s.enrolledAt = confirmedAt
	return s
}

// WithSidecarCount returns a copy with the given number of enrolled sidecars.
func (s Snapshot) WithSidecarCount(n int) Snapshot {
	s.sidecarCount = n
	return s
}

// IsEnrolled reports whether the sidecar's enrollment was confirmed within subscriptionTimeout, so that every
// balancer can find the sidecar. Subscriptions of balancers confirm it. The enrollment of a sidecar that was
// unreachable for longer may have been removed in the meantime.
func (s Snapshot) IsEnrolled(now time.Time) bool {
	return !s.enrolledAt.IsZero() && now.Sub(s.enrolledAt) <= subscriptionTimeout
}

// WithStopping returns a copy for a sidecar that is stopping, which admits no new flows.
func (s Snapshot) WithStopping() Snapshot {
	s.isStopping = true
	return s
}

// WithSubscriber returns a copy in which a balancer has renewed its subscription now. Expired subscriptions
// are removed.
func (s Snapshot) WithSubscriber(subscription landing.StatusSubscription, now time.Time) Snapshot {
	s.subscribers = slices.DeleteFunc(slices.Clone(s.subscribers), func(b subscriber) bool {
		return b.address == subscription.BalancerAddress() || now.Sub(b.renewedAt) > subscriptionTimeout
	})
	s.subscribers = append(s.subscribers, subscriber{address: subscription.BalancerAddress(), renewedAt: now, revisions: policy.NewRevisions(subscription.RulesRevision(), subscription.ExclusionsChangedRevision())})
	return s
}

// HasSubscriber reports whether at least one subscription has not expired.
func (s Snapshot) HasSubscriber(now time.Time) bool {
	return slices.ContainsFunc(s.subscribers, func(b subscriber) bool { return now.Sub(b.renewedAt) <= subscriptionTimeout })
}

// UpstreamPhase returns the phase of the upstream at this time. It is unspecified when the sidecar is
// stopping although its upstream has not ended, and when the upstream was serving but its heartbeats, due at this
// interval, no longer arrive.
func (s Snapshot) UpstreamPhase(now time.Time, interval time.Duration) landing.Phase {
	if s.isStopping && s.upstream.Phase() != landing.PhaseLeft {
		return landing.PhaseUnspecified
	}
	return presence.PhaseAt(s.upstream, now, interval)
}

// UntrackedFlowState returns the state of a flow that is not in the table. It is absent if the upstream has
// ended, or if the sidecar has been running since before the upstream started and has thus seen all its
// flows. Otherwise it is unknown.
func (s Snapshot) UntrackedFlowState() landing.FlowState {
	if s.upstream.AllFlowsSeen() || s.upstream.Phase() == landing.PhaseLeft {
		return landing.FlowAbsent{}
	}
	return landing.FlowUnknown{}
}

// BalancersWithNewerPolicy returns the addresses of the subscribed balancers that have advertised newer
// revisions than those in force. If there are none, it returns the addresses of all subscribed balancers.
// Expired subscriptions are included until the next subscription arrives.
func (s Snapshot) BalancersWithNewerPolicy() []uint64 {
	var newer, all []uint64
	for _, b := range s.subscribers {
		all = append(all, b.address)
		if s.policy.IsOlderThan(b.revisions) {
			newer = append(newer, b.address)
		}
	}
	if len(newer) > 0 {
		return newer
	}
	return all
}

// PlatformSnapshot returns the rules and exclusions in force, for another process of the fleet that asks for
// them. It contains no enrollments, since a sidecar has no list of the other sidecars.
func (s Snapshot) PlatformSnapshot() landing.PlatformSnapshot {
	return landing.PlatformSnapshot{}.WithRules(s.policy.Rules().Rules()).WithExclusions(s.policy.Exclusions())
}
