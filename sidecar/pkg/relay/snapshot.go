package relay

import (
	"slices"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/enrollment"
	"github.com/crocuslanding/crocuslanding/core/pkg/policy"
	"github.com/crocuslanding/crocuslanding/core/pkg/presence"
)

// subscriptionTimeout is the time after which a subscription that was not renewed expires. It is three
// times the interval at which balancers renew it.
const subscriptionTimeout = 3 * subscriptionInterval

// subscriptionInterval is the interval at which balancers renew their subscriptions.
const subscriptionInterval = time.Second

// subscriberRetention is the time for which a balancer is kept after its last subscription. A sidecar whose enrollment is
// not confirmed sends statuses to these balancers too (StatusReceivers).
const subscriberRetention = 30 * time.Second

// Snapshot is the control state that the workers read. It is immutable.
type Snapshot struct {
	policy      policy.Policy
	upstream    landing.UpstreamState
	subscribers []subscriber
	// confirmation is what is known of the sidecar's enrollment.
	confirmation enrollment.Confirmation
	isStopping   bool
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
	// knowsUnlisted reports whether the balancer has stated that it knows sidecars that are not enrolled.
	knowsUnlisted bool
}

// isSubscribed reports whether the subscription has not expired.
func (b subscriber) isSubscribed(now time.Time) bool {
	return now.Sub(b.renewedAt) <= subscriptionTimeout
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

// WithConfirmation returns a copy with this knowledge of the sidecar's enrollment.
func (s Snapshot) WithConfirmation(c enrollment.Confirmation) Snapshot {
	s.confirmation = c
	return s
}

// WithSidecarCount returns a copy with the given number of enrolled sidecars.
func (s Snapshot) WithSidecarCount(n int) Snapshot {
	s.sidecarCount = n
	return s
}

// IsEnrolled reports whether the sidecar may rely on its enrollment, so that every balancer can find the flows
// that it admits.
func (s Snapshot) IsEnrolled(now time.Time) bool {
	return s.confirmation.IsValid(now)
}

// EnrollmentAge returns the time since the enrollment was last confirmed. It returns false when it has not been
// confirmed since the start.
func (s Snapshot) EnrollmentAge(now time.Time) (time.Duration, bool) {
	return s.confirmation.Age(now)
}

// WithStopping returns a copy for a sidecar that is stopping, which admits no new flows.
func (s Snapshot) WithStopping() Snapshot {
	s.isStopping = true
	return s
}

// WithSubscriber returns a copy in which a balancer has renewed its subscription now. Balancers that have not
// done so for subscriberRetention are removed.
func (s Snapshot) WithSubscriber(subscription landing.StatusSubscription, now time.Time) Snapshot {
	s.subscribers = slices.DeleteFunc(slices.Clone(s.subscribers), func(b subscriber) bool {
		return b.address == subscription.BalancerAddress() || now.Sub(b.renewedAt) > subscriberRetention
	})
	s.subscribers = append(s.subscribers, subscriber{
		address:       subscription.BalancerAddress(),
		renewedAt:     now,
		revisions:     policy.RevisionsOfSubscription(subscription),
		knowsUnlisted: subscription.KnowsUnlisted(),
	})
	return s
}

// AreUnlistedKnown reports whether a subscribed balancer knows sidecars that are not enrolled. A balancer that has started since
// does not know them.
func (s Snapshot) AreUnlistedKnown(now time.Time) bool {
	return slices.ContainsFunc(s.subscribers, func(b subscriber) bool {
		return b.knowsUnlisted && b.isSubscribed(now)
	})
}

// WithStoreTime returns a copy after a balancer has stated the store time in its subscription. A balancer of the previous
// version states none; the time in which the sidecar hears such balancers counts instead.
func (s Snapshot) WithStoreTime(subscription landing.StatusSubscription, now time.Time) Snapshot {
	stated := time.Duration(subscription.StoreTimeMillis()) * time.Millisecond
	if subscription.ExclusionsHash() > 0 || subscription.StoreEra() != s.policy.Exclusions().Era() || len(s.subscribers) == 0 {
		return s.WithPolicy(s.policy.WithStoreTimeHeard(subscription.StoreEra(), stated))
	}
	lastRenewedAt := s.subscribers[0].renewedAt
	for _, b := range s.subscribers {
		lastRenewedAt = later(lastRenewedAt, b.renewedAt)
	}
	return s.WithPolicy(s.policy.WithAnswered(min(max(now.Sub(lastRenewedAt), 0), subscriptionInterval)))
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// HasSubscriber reports whether at least one subscription has not expired.
func (s Snapshot) HasSubscriber(now time.Time) bool {
	return s.SubscriberCount(now) > 0
}

// SubscriberCount returns the number of subscriptions that have not expired.
func (s Snapshot) SubscriberCount(now time.Time) int {
	count := 0
	for _, b := range s.subscribers {
		if b.isSubscribed(now) {
			count++
		}
	}
	return count
}

// StatusReceivers returns the addresses of the balancers that get the sidecar's status: those with a
// subscription that has not expired, and all that are kept while the sidecar cannot rely on its enrollment or the
// platform has not confirmed it in its latest era. The enrollment may have been removed or lost, and balancers without
// it in their list do not subscribe. A status shows them that a flow which no sidecar of their list holds may be held by
// this one, so that they do not reset it.
func (s Snapshot) StatusReceivers(now time.Time) []uint64 {
	var receivers []uint64
	for _, b := range s.subscribers {
		if b.isSubscribed(now) || !s.IsEnrolled(now) || !s.confirmation.IsOfLatestEra() {
			receivers = append(receivers, b.address)
		}
	}
	return receivers
}

// SubscriberRank returns the number of balancers with a lower address than this one whose subscriptions have not
// expired.
func (s Snapshot) SubscriberRank(address uint64, now time.Time) int {
	rank := 0
	for _, b := range s.subscribers {
		if b.address < address && b.isSubscribed(now) {
			rank++
		}
	}
	return rank
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

// BalancersWithNewerPolicy returns the addresses of the subscribed balancers that have advertised newer revisions
// than those in force. If there are none, it returns the addresses of all subscribed balancers, and if none
// subscribes, of all that are remembered.
func (s Snapshot) BalancersWithNewerPolicy(now time.Time) []uint64 {
	var newer, subscribed, all []uint64
	for _, b := range s.subscribers {
		all = append(all, b.address)
		if !b.isSubscribed(now) {
			continue
		}
		subscribed = append(subscribed, b.address)
		if s.policy.IsOlderThan(b.revisions) {
			newer = append(newer, b.address)
		}
	}
	switch {
	case len(newer) > 0:
		return newer
	case len(subscribed) > 0:
		return subscribed
	default:
		return all
	}
}

// PlatformSnapshot returns the rules and exclusions in force, for another process of the fleet that asks for
// them. It contains no enrollments, since a sidecar has no list of the other sidecars.
func (s Snapshot) PlatformSnapshot() landing.PlatformSnapshot {
	return landing.PlatformSnapshot{}.WithRules(s.policy.Rules().Rules()).WithExclusions(s.policy.Exclusions())
}
