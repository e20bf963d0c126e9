package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/absence"
	"github.com/crocuslanding/crocuslanding/core/pkg/catchup"
	"github.com/crocuslanding/crocuslanding/core/pkg/clock"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/directory"
	"github.com/crocuslanding/crocuslanding/core/pkg/pace"
	"github.com/crocuslanding/crocuslanding/core/pkg/peer"
	"github.com/crocuslanding/crocuslanding/core/pkg/policy"
	"github.com/crocuslanding/crocuslanding/platform"
)

const (
	// watchCount is the number of watches: rules, exclusions and enrollments.
	watchCount = 3
	// enrollmentTimeoutFactor is the ratio between the timeouts of the watches of enrollments and of rules. The watch of
	// enrollments may wait longer, since no time is required within which a balancer must learn of a new sidecar.
	enrollmentTimeoutFactor = 2
	// catchUpRetryPause is the pause after a failed attempt to read newer rules or exclusions.
	catchUpRetryPause = 300 * time.Millisecond
	// subscribeInterval is the interval between two subscriptions to a sidecar whose status is overdue. A sidecar that has
	// just started sends no status before it receives a subscription, and is passed over for new flows until then.
	subscribeInterval = 250 * time.Millisecond
	// subscribeAllTicks is the number of subscribe intervals between two subscriptions to a sidecar whose status is not
	// overdue. A subscription expires after 3 s.
	subscribeAllTicks = 4
	// maxToldSidecars is the number of sidecars that a balancer tells at once of a change. Each tells all balancers that
	// subscribe to it. The other sidecars learn of the change with the next regular subscription, since all balancers of a
	// large fleet telling all of them would be a considerable part of the traffic between zones.
	maxToldSidecars = 4
	// removeIdleTicks is the number of subscribe intervals between two removals of idle flows from the cache.
	removeIdleTicks = 16
	// minIdleTimeout is the lower limit of the idle timeout of flows, for rules with a shorter one or none. Flows stay
	// cached for twice the idle timeout.
	minIdleTimeout = 15 * time.Second
	// lostWatchTimeout limits the timeout of a watch while objects are retained that the platform may have lost. Only
	// answered calls count as the time in which they can be written again.
	lostWatchTimeout = 2 * time.Second
	// maxReadTime is the largest part of a read, or of the end of a watch, that counts as such a time. A process that was
	// suspended during a call has taken longer.
	maxReadTime = time.Second
)

// PlatformSync keeps rules, exclusions and enrollments in step with the platform, and renews the balancer's subscriptions
// to the statuses of sidecars.
type PlatformSync struct {
	telemetry     common.Telemetry
	control       *ControlThread
	store         *platform.StoreClient
	forwarder     *Forwarder
	peers         *peer.Client
	reader        catchup.Reader
	applyWithin   time.Duration
	excludeWithin time.Duration
	stopper       common.ContextStopper
	// platformRegained wakes the watches that pause after a failure when another watch has succeeded again.
	platformRegained chan struct{}
}

// NewPlatformSync returns a PlatformSync that is not started.
func NewPlatformSync(telemetry common.Telemetry, s landing.RelayBalancerSettings, control *ControlThread, store *platform.StoreClient, forwarder *Forwarder) *PlatformSync {
	peers := peer.NewClient(s.Fleet(), s.Seeds())
	return &PlatformSync{
		telemetry:     telemetry,
		control:       control,
		store:         store,
		forwarder:     forwarder,
		peers:         peers,
		reader:        catchup.New(telemetry, store, peers, control),
		applyWithin:   s.Apply(),
		excludeWithin: s.Exclude(),
		stopper:       common.NewContextStopper(),
		// A watch that succeeds again wakes the other two.
		platformRegained: make(chan struct{}, watchCount-1),
	}
}

// Start starts the watches and the subscriptions.
func (s *PlatformSync) Start() {
	s.stopper.Go(func() { s.repeatWatch(s.watchRules()) })
	s.stopper.Go(func() { s.repeatWatch(s.watchExclusions()) })
	s.stopper.Go(func() { s.repeatWatch(s.watchEnrollments()) })
	s.stopper.Go(s.catchUp)
	s.stopper.Go(s.subscribe)
}

// Stop cancels all calls and waits until the goroutines have ended.
func (s *PlatformSync) Stop() {
	s.stopper.Stop()
}

// repeatWatch calls watch until the PlatformSync stops, with a pause after each failed call. It logs when the platform
// becomes unavailable and when it is available again.
func (s *PlatformSync) repeatWatch(watch func() error) {
	isLost := false
	for {
		err := watch()
		if s.stopper.Context().Err() != nil {
			return
		}
		if (err != nil) != isLost {
			isLost = err != nil
			s.logPlatformState(err)
			if !isLost {
				s.wakeOtherWatches()
			}
		}
		if err != nil {
			s.telemetry.Counters().Counter("retried.watch").Inc(1)
			s.awaitRetry()
		}
	}
}

// awaitRetry waits before a failed watch is repeated: for the retry pause, or until another watch has succeeded again.
func (s *PlatformSync) awaitRetry() {
	snapshot := s.control.Snapshot()
	timer := time.NewTimer(pace.RetryPause(snapshot.BalancerCount(), snapshot.HasInitialState()))
	defer timer.Stop()
	select {
	case <-s.stopper.C():
	case <-s.platformRegained:
	case <-timer.C:
	}
}

// wakeOtherWatches lets the other watches retry at once when one has succeeded again.
func (s *PlatformSync) wakeOtherWatches() {
	for range watchCount - 1 {
		common.Notify(s.platformRegained)
	}
}

func (s *PlatformSync) logPlatformState(err error) {
	if err != nil {
		s.telemetry.Log().Info("platform lost", "error", err.Error())
		return
	}
	s.telemetry.Log().Info("platform regained")
}

// watchRules returns a function that waits for newer rules, up to the watch timeout, and posts them. Its first call reads
// the rules without waiting. When the platform cannot be read, it reads from other processes of the fleet.
func (s *PlatformSync) watchRules() func() error {
	var since landing.StorePosition
	return func() error {
		var rules landing.RoutingRules
		var current landing.StorePosition
		var err error
		if since.Revision() == 0 {
			rules, current, err = s.store.ReadRules(s.stopper.Context(), landing.FreshnessNewest)
		} else {
			err = s.watchInEra(since.Era(), func(ctx context.Context) error {
				rules, current, err = s.store.WatchRules(ctx, since, s.watchTimeout(s.applyWithin))
				return err
			})
		}
		if err != nil {
			since = since.WithRevision(resumeRevision(err, since.Revision()))
			s.readFromPeers()
			return err
		}
		since = current
		if rules.Revision() > 0 {
			s.control.Post(landing.RulesReceived{}.WithRules(rules).WithSource(landing.WatchRead{}))
			common.Sleep(s.stopper.Stopper, pace.PauseAfterChange)
		}
		return nil
	}
}

// watchInEra calls watch with a context that ends when the platform is known to be in a later era than the given one. It then
// returns ErrReadRequired: the revision from which the watch continues may have been given out again, and the watch would
// wait for the changes after that.
func (s *PlatformSync) watchInEra(era uint64, watch func(context.Context) error) error {
	ctx, cancel := context.WithCancel(s.stopper.Context())
	defer cancel()
	laterEra := s.control.LaterEra(era)
	go func() {
		select {
		case <-laterEra:
			cancel()
		case <-ctx.Done():
		}
	}()
	err := watch(ctx)
	select {
	case <-laterEra:
		return trace.Wrap(fmt.Errorf("%w: the store is in a later era than %d", platform.ErrReadRequired, era))
	default:
		return err
	}
}

// watchTimeout returns the timeout of the next watch, when a change must be in force within this time.
func (s *PlatformSync) watchTimeout(within time.Duration) time.Duration {
	snapshot := s.control.Snapshot()
	rank, count := snapshot.BalancerRank()
	timeout := pace.WatchTimeout(rank, count, within, clock.Now())
	if snapshot.RetainsLost() {
		timeout = min(timeout, lostWatchTimeout)
	}
	return timeout
}

// callTime returns the time for which the platform is known to have answered, when a call that began at this time and waited
// at most for this duration has ended with a response.
func callTime(start time.Time, wait time.Duration) time.Duration {
	return min(clock.Now().Sub(start), wait+maxReadTime)
}

// resumeRevision returns the revision from which a watch continues after an error. It returns 0 when the changes
// since that revision cannot be had, so that the object must be read again.
func resumeRevision(err error, since uint64) uint64 {
	if errors.Is(err, platform.ErrReadRequired) {
		return 0
	}
	return since
}

// watchExclusions returns a function that waits for changed exclusions, up to the watch timeout, and posts them. Its
// first call reads the exclusions without waiting.
func (s *PlatformSync) watchExclusions() func() error {
	known := landing.ZoneExclusions{}
	return func() error {
		var next landing.ZoneExclusions
		var err error
		start, wait := clock.Now(), time.Duration(0)
		if known.Revision() == 0 {
			next, err = s.store.ReadExclusions(s.stopper.Context(), known, landing.FreshnessNewest)
		} else {
			wait = s.watchTimeout(s.excludeWithin)
			err = s.watchInEra(known.Era(), func(ctx context.Context) error {
				next, err = s.store.WatchExclusions(ctx, known, wait)
				return err
			})
		}
		if err != nil {
			known = known.WithRevision(resumeRevision(err, known.Revision()))
			return err
		}
		known = next
		s.control.Post(landing.ExclusionsReceived{}.WithExclusions(next).WithCallTime(callTime(start, wait)))
		return nil
	}
}

// watchEnrollments returns a function that waits for changed enrollments, up to its longer timeout, and posts the list of
// all enrollments. Its first call reads the list without waiting.
func (s *PlatformSync) watchEnrollments() func() error {
	known := landing.EnrollmentList{}
	return func() error {
		var next landing.EnrollmentList
		var err error
		start, wait := clock.Now(), time.Duration(0)
		if known.Revision() == 0 {
			next, err = s.store.ReadEnrollments(s.stopper.Context(), known)
		} else {
			wait = enrollmentTimeoutFactor * s.watchTimeout(s.applyWithin)
			err = s.watchInEra(known.Era(), func(ctx context.Context) error {
				next, err = s.store.WatchEnrollments(ctx, known, wait)
				return err
			})
		}
		if err != nil {
			known = known.WithRevision(resumeRevision(err, known.Revision()))
			return err
		}
		isChanged := !directory.SameSidecars(known, next)
		known = next
		s.control.Post(landing.EnrollmentsReceived{}.WithEnrollmentList(next).WithCallTime(callTime(start, wait)))
		if isChanged {
			common.Sleep(s.stopper.Stopper, pace.PauseAfterEnrollmentChange(s.control.Snapshot().BalancerCount()))
		}
		return nil
	}
}

// readFromPeers reads rules, exclusions and enrollments from another process while the platform is unavailable: from a
// sidecar that has advertised newer revisions, or from another balancer.
func (s *PlatformSync) readFromPeers() {
	if err := s.reader.ReadFromPeers(s.stopper.Context()); err != nil {
		s.telemetry.Log().V(1).Info("no peer answers", "error", err.Error())
	}
}

// catchUp reads rules and exclusions whenever another process has advertised newer ones than those in force. It first
// gives the watches a short time to deliver them.
func (s *PlatformSync) catchUp() {
	for {
		select {
		case <-s.stopper.C():
			return
		case <-s.control.PolicyOutdated():
		}
		if !common.Sleep(s.stopper.Stopper, pace.CatchUpDelay) {
			return
		}
		if !s.control.Policy().IsBehind() || s.reader.CatchUp(s.stopper.Context(), false) { // false: not isolated
			continue
		}
		if !common.Sleep(s.stopper.Stopper, catchUpRetryPause) {
			return
		}
		common.Notify(s.control.policyOutdated)
	}
}

// subscribe renews the subscriptions to overdue statuses at each interval, and at once when the enrolled sidecars have
// changed. When this balancer's policy has changed, it also renews some of those to statuses with another policy. At every
// subscribeAllTicks-th time it renews all subscriptions. It also removes idle flows from the cache, and retained exclusions
// and sidecars whose time is over.
func (s *PlatformSync) subscribe() {
	ticker := time.NewTicker(subscribeInterval)
	defer ticker.Stop()
	var told landing.PolicyRevisions
	for tick := 1; ; tick++ {
		select {
		case <-s.stopper.C():
			return
		case <-ticker.C:
		case <-s.control.SidecarsChanged():
		}
		snapshot := s.control.Snapshot()
		toTell := 0
		if advertised := snapshot.policy.AdvertisedRevisions(); !policy.AreSame(advertised, told) {
			told, toTell = advertised, maxToldSidecars
		}
		s.forwarder.sendSubscriptions(snapshot, tick%subscribeAllTicks == 0, toTell)
		s.control.RemoveExpired()
		if tick%removeIdleTicks == 0 {
			s.forwarder.flows.removeIdle(2*max(snapshot.policy.Rules().Rules().IdleTimeout(), minIdleTimeout), clock.Now())
		}
	}
}

// sendSubscriptions sends a subscription, with the revisions that this balancer has in force, to the sidecars whose
// statuses the balancer subscribes to: to all of them, or only to those whose status is overdue, and to as many as toTell of
// those whose status has other revisions. A sidecar passes newer revisions on to the other balancers, which may not learn of
// them from the platform.
func (f *Forwarder) sendSubscriptions(s Snapshot, all bool, toTell int) {
	now := clock.Now()
	advertised := s.policy.AdvertisedRevisions()
	subscription := policy.SubscriptionWithRevisions(landing.StatusSubscription{}, s.policy).
		WithBalancerAddress(f.link.LocalAddress()).
		WithSidecarCount(uint32(len(s.directory.Sidecars()))).
		WithKnowsUnlisted(s.directory.KnowsUnlisted(now))
	subscribed := s.directory.Subscribed()
	if toTell > 0 {
		// Balancers tell different sidecars.
		rand.Shuffle(len(subscribed), func(i, j int) { subscribed[i], subscribed[j] = subscribed[j], subscribed[i] })
	}
	for _, sidecar := range subscribed {
		status := sidecar.LastStatus()
		isDue := all || absence.IsStatusOverdue(sidecar, now)
		isTold := !isDue && toTell > 0 && !policy.AreSame(policy.RevisionsOfStatus(status), advertised)
		if isTold {
			toTell--
		}
		if !isDue && !isTold {
			continue
		}
		if s.directory.ConfirmsEnrollment(sidecar) {
			subscription = subscription.WithInstance(sidecar.Enrollment().Instance())
		} else {
			// The sidecar then asks the platform, and writes the enrollment again.
			subscription = subscription.WithInstance("")
		}
		f.link.Send(subscription.
			WithStatusIncarnation(status.Incarnation()).WithStatusSequenceNumber(status.SequenceNumber()), sidecar.Address())
	}
}
