package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/enrollment"
)

// Guards against a sidecar that reports its ended upstream as unspecified while it tries to remove its enrollment
// at a platform that does not respond. Balancers then kept asking it for flows, and after its end its zone could
// not be told from one that is silent.
func TestUpstreamPhase_LeftWhileStopping(t *testing.T) {
	is := is.New(t)
	left := Snapshot{}.WithUpstream(landing.UpstreamState{}.WithPhase(landing.PhaseLeft)).WithStopping()
	is.Equal(left.UpstreamPhase(start, 0), landing.PhaseLeft)
	serving := Snapshot{}.WithUpstream(landing.UpstreamState{}.WithPhase(landing.PhaseServing)).WithStopping()
	is.Equal(serving.UpstreamPhase(start, 0), landing.PhaseUnspecified)
}

// Guards against balancers that take the flows of a sidecar for lost because their list no longer contains it:
// after a suspension its subscriptions have expired, and it sent its status to nobody.
func TestStatusReceivers_IncludeFormerSubscribersWhileNotEnrolled(t *testing.T) {
	is := is.New(t)
	s := Snapshot{}.
		WithConfirmation(enrollment.Confirmation{}.WithPlatformAnswer(start, 0)).
		WithSubscriber(landing.StatusSubscription{}.WithBalancerAddress(7), start)
	is.Equal(s.StatusReceivers(start.Add(time.Second)), []uint64{7})
	wokenAt := start.Add(subscriptionTimeout + time.Second)
	is.True(!s.IsEnrolled(wokenAt))
	is.Equal(s.StatusReceivers(wokenAt), []uint64{7})
	is.Equal(s.SubscriberCount(wokenAt), 0)
	s = s.WithConfirmation(s.confirmation.WithPlatformAnswer(wokenAt, 0))
	is.Equal(len(s.StatusReceivers(wokenAt)), 0)
}

// Guards against subscriptions that waited in the socket while the process was stopped and then confirm the
// enrollment as of now.
func TestStatusTimes_KnowOnlyRecentStatuses(t *testing.T) {
	is := is.New(t)
	var times statusTimes
	for sequence := range uint64(100) {
		times.record(sequence+1, start.Add(time.Duration(sequence)*statusInterval))
	}
	sentAt, found := times.find(100)
	is.True(found)
	is.Equal(sentAt, start.Add(99*statusInterval))
	for _, sequence := range []uint64{0, 1, 100 - keptStatusTimes, 101} {
		_, found = times.find(sequence)
		is.True(!found)
	}
}

// Guards against a sidecar that asks a balancer for newer rules that stopped 20 s ago, and waits for it in vain.
func TestBalancersWithNewerPolicy_LeavesOutExpiredSubscriptions(t *testing.T) {
	is := is.New(t)
	later := start.Add(20 * time.Second)
	stopped := landing.StatusSubscription{}.WithBalancerAddress(7).WithRulesRevision(9)
	s := Snapshot{}.WithSubscriber(stopped, start)
	is.Equal(s.BalancersWithNewerPolicy(later), []uint64{7}) // nobody else is known
	s = s.WithSubscriber(landing.StatusSubscription{}.WithBalancerAddress(8), later)
	is.Equal(s.BalancersWithNewerPolicy(later), []uint64{8})
}

// Guards against balancers that get the same rank, so that their watches of the platform end at the same time.
func TestSubscriberRank_CountsLowerAddressesWithSubscription(t *testing.T) {
	is := is.New(t)
	later := start.Add(subscriptionTimeout + time.Second)
	s := Snapshot{}.WithSubscriber(landing.StatusSubscription{}.WithBalancerAddress(1), start)
	for _, address := range []uint64{9, 5, 7} {
		s = s.WithSubscriber(landing.StatusSubscription{}.WithBalancerAddress(address), later)
	}
	is.Equal(s.SubscriberCount(later), 3)
	for rank, address := range []uint64{5, 7, 9} {
		is.Equal(s.SubscriberRank(address, later), rank)
	}
}
