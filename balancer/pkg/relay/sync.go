package relay

import (
	"errors"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/absence"
	"github.com/crocuslanding/crocuslanding/core/pkg/catchup"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/directory"
	"github.com/crocuslanding/crocuslanding/core/pkg/pace"
	"github.com/crocuslanding/crocuslanding/core/pkg/peer"
	"github.com/crocuslanding/crocuslanding/platform"
)

const (
	// topics is the number of topics that are watched.
	topics = 3
	// rollFactor is how many times as long a watch of the roll waits as one of the rules: no promise bounds how soon a
	// sidecar is known.
	rollFactor = 2
	// catchUpPause is the time between two tries to catch up.
	catchUpPause = 300 * time.Millisecond
	// greetInterval is the time between two greetings to a sidecar that is late. One that has just started sends no status
	// before it is greeted, and new flows pass it by until then.
	greetInterval = 250 * time.Millisecond
	// greetTicks is the number of these after which all sidecars are greeted; a sidecar forgets a balancer after 3 s.
	greetTicks = 4
	// expireTicks is the number of them between two sweeps of the cache.
	expireTicks = 16
	// leastIdle is the least time without a packet after which a flow is forgotten.
	leastIdle = 15 * time.Second
)

// PlatformSync keeps rules, exclusions and roll up to date, and greets the sidecars.
type PlatformSync struct {
	common  common.Telemetry
	keeper  *ControlThread
	store   *platform.StoreClient
	traffic *Forwarder
	peers   *peer.Client
	reader  catchup.Reader
	apply   time.Duration
	exclude time.Duration
	job     common.ContextStopper
	// regained wakes the topics that pause after a failure when another one has got an answer.
	regained chan struct{}
}

// NewPlatformSync returns a sync that is not started.
func NewPlatformSync(c common.Telemetry, s landing.RelayBalancerSettings, k *ControlThread, store *platform.StoreClient, t *Forwarder) *PlatformSync {
	peers := peer.NewClient(s.Fleet(), s.Seeds())
	return &PlatformSync{
		common:  c,
		keeper:  k,
		store:   store,
		traffic: t,
		peers:   peers,
		reader:  catchup.New(c, store, peers, k),
		apply:   s.Apply(),
		exclude: s.Exclude(),
		job:     common.NewContextStopper(),
		// One topic wakes the other two.
		regained: make(chan struct{}, topics-1),
	}
}

// Start starts to watch and to greet.
func (s *PlatformSync) Start() {
	s.job.Go(func() { s.repeat(s.watchRules()) })
	s.job.Go(func() { s.repeat(s.watchExclusions()) })
	s.job.Go(func() { s.repeat(s.watchRoll()) })
	s.job.Go(s.catchUp)
	s.job.Go(s.greet)
}

// Stop ends all calls and waits for their end.
func (s *PlatformSync) Stop() {
	s.job.Stop()
}

// repeat makes a step again and again, with a pause after each that failed.
func (s *PlatformSync) repeat(step func() error) {
	isLost := false
	for {
		err := step()
		if s.job.Context().Err() != nil {
			return
		}
		if (err != nil) != isLost {
			isLost = err != nil
			s.logPlatform(err)
			if !isLost {
				s.wakeOthers()
			}
		}
		if err != nil {
			s.common.Counters().Counter("retried.watch").Inc(1)
			s.awaitRetry()
		}
	}
}

// awaitRetry waits until a topic that failed is tried again: for a pause, or until another topic has got an answer.
func (s *PlatformSync) awaitRetry() {
	snapshot := s.keeper.Snapshot()
	timer := time.NewTimer(pace.RetryPause(snapshot.BalancerCount(), snapshot.HasInitialState()))
	defer timer.Stop()
	select {
	case <-s.job.C():
	case <-s.regained:
	case <-timer.C:
	}
}

// wakeOthers lets the other topics try again when one has got an answer.
func (s *PlatformSync) wakeOthers() {
	for range topics - 1 {
		common.Notify(s.regained)
	}
}

func (s *PlatformSync) logPlatform(err error) {
	if err != nil {
		s.common.Log().Info("platform lost", "error", err.Error())
		return
	}
	s.common.Log().Info("platform regained")
}

// watchRules returns a step that waits for newer rules.
func (s *PlatformSync) watchRules() func() error {
	since := uint64(0)
	return func() error {
		var rules landing.RoutingRules
		var revision uint64
		var err error
		if since == 0 {
			rules, revision, err = s.store.ReadRules(s.job.Context(), landing.FreshnessNewest)
		} else {
			rules, revision, err = s.store.WatchRules(s.job.Context(), since, s.wait(s.apply))
		}
		if err != nil {
			since = sinceAfter(err, since)
			s.askPeers()
			return err
		}
		since = revision
		if rules.Revision() > 0 {
			s.keeper.Post(landing.RulesReceived{}.WithRules(rules))
			common.Sleep(s.job.Stopper, pace.PauseAfterChange)
		}
		return nil
	}
}

// wait returns the time for which the next watch waits, when a change must be in force within this time.
func (s *PlatformSync) wait(within time.Duration) time.Duration {
	return pace.WatchTimeout(s.keeper.Snapshot().BalancerCount(), within)
}

// sinceAfter returns the revision from which a watch goes on after an error; 0 when all must be read anew.
func sinceAfter(err error, since uint64) uint64 {
	if errors.Is(err, platform.ErrRevisionExpired) {
		return 0
	}
	return since
}

func (s *PlatformSync) watchExclusions() func() error {
	known := landing.ZoneExclusions{}
	return func() error {
		var next landing.ZoneExclusions
		var err error
		if known.Revision() == 0 {
			next, err = s.store.ReadExclusions(s.job.Context(), known, landing.FreshnessNewest)
		} else {
			next, err = s.store.WatchExclusions(s.job.Context(), known, s.wait(s.exclude))
		}
		if err != nil {
			known = known.WithRevision(sinceAfter(err, known.Revision()))
			return err
		}
		known = next
		s.keeper.Post(landing.ExclusionsReceived{}.WithExclusions(next))
		return nil
	}
}

func (s *PlatformSync) watchRoll() func() error {
	known := landing.EnrollmentList{}
	return func() error {
		var next landing.EnrollmentList
		var err error
		if known.Revision() == 0 {
			next, err = s.store.ReadEnrollments(s.job.Context())
		} else {
			next, err = s.store.WatchEnrollments(s.job.Context(), known, rollFactor*s.wait(s.apply))
		}
		if err != nil {
			known = known.WithRevision(sinceAfter(err, known.Revision()))
			return err
		}
		isChanged := !directory.SameSidecars(known, next)
		known = next
		s.keeper.Post(landing.EnrollmentsReceived{}.WithEnrollmentList(next))
		if isChanged {
			common.Sleep(s.job.Stopper, pace.PauseAfterEnrollmentChange(s.keeper.Snapshot().BalancerCount()))
		}
		return nil
	}
}

// askPeers takes what other processes know while the platform is away: another balancer, or a sidecar that has shown
// newer revisions.
func (s *PlatformSync) askPeers() {
	if err := s.reader.ReadFromPeers(s.job.Context()); err != nil {
		s.common.Log().V(1).Info("no peer answers", "error", err.Error())
	}
}

// catchUp reads rules and exclusions when another process has newer ones than the watches have brought.
func (s *PlatformSync) catchUp() {
	for {
		select {
		case <-s.job.C():
			return
		case <-s.keeper.PolicyOutdated():
		}
		if !common.Sleep(s.job.Stopper, pace.CatchUpDelay) {
			return
		}
		if !s.keeper.Policy().IsBehind() || s.reader.CatchUp(s.job.Context(), false) {
			continue
		}
		if !common.Sleep(s.job.Stopper, catchUpPause) {
			return
		}
		common.Notify(s.keeper.behind)
	}
}

// greet greets sidecars now and then, and at once when there are new ones.
func (s *PlatformSync) greet() {
	ticker := time.NewTicker(greetInterval)
	defer ticker.Stop()
	for tick := 1; ; tick++ {
		select {
		case <-s.job.C():
			return
		case <-ticker.C:
		case <-s.keeper.SidecarsChanged():
		}
		snapshot := s.keeper.Snapshot()
		s.traffic.greet(snapshot, tick%greetTicks == 0)
		if tick%expireTicks == 0 {
			s.traffic.cache.expire(2*max(snapshot.policy.Rules().Rules().IdleTimeout(), leastIdle), time.Now())
		}
	}
}

// greet asks the sidecars that this balancer follows for statuses, and tells them what it knows: all of them, or only
// those that are late.
func (t *Forwarder) greet(s Snapshot, all bool) {
	now := time.Now()
	shown := s.policy.AdvertisedRevisions()
	g := landing.StatusSubscription{}.
		WithBalancerAddress(t.link.LocalAddress()).
		WithRulesRevision(shown.Rules()).
		WithExclusionsChangedRevision(shown.Exclusions()).
		WithSidecarCount(uint32(len(s.directory.Sidecars())))
	for _, n := range s.directory.Subscribed() {
		if !all && !absence.IsStatusOverdue(n, now) {
			continue
		}
		t.link.Send(g.WithInstance(n.Enrollment().Instance()), n.Address())
	}
}
