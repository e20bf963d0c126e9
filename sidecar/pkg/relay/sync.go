package relay

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/peer"
	"github.com/crocuslanding/crocuslanding/platform"
)

const (
	// syncPause is the time between two reads at least, so that a storm of changes costs few calls.
	syncPause = 250 * time.Millisecond
	// aloneInterval is the time between two reads while no balancer greets, which else would tell of changes.
	aloneInterval = 2 * time.Second
	// enrollPause is the time between two tries to enroll.
	enrollPause = 300 * time.Millisecond
	// leaveMargin is the part of the grace of a planned stop that is left for all else than taking the enrollment back.
	leaveMargin = time.Second
)

// Sync keeps rules and exclusions up to date and the sidecar enrolled.
type Sync struct {
	common   common.Common
	settings landing.RelaySidecarSettings
	keeper   *Keeper
	store    *platform.Store
	peers    *peer.Client
	job      common.Job
	enrolled landing.Enrollment
}

// NewSync returns a sync that is not started.
func NewSync(c common.Common, s landing.RelaySidecarSettings, k *Keeper, store *platform.Store) *Sync {
	return &Sync{
		common:   c,
		settings: s,
		keeper:   k,
		store:    store,
		peers:    peer.NewClient(s.Fleet(), s.Seeds()),
		job:      common.NewJob(),
	}
}

// Start starts to read and to enroll.
func (s *Sync) Start() {
	s.job.Go(s.follow)
	s.job.Go(s.enroll)
}

// Stop ends all calls and waits for their end.
func (s *Sync) Stop() {
	s.job.Stop()
}

// follow reads what is behind: at the start, when a balancer has newer revisions, and now and then while no
// balancer greets.
func (s *Sync) follow() {
	for {
		s.read()
		if !common.Pause(s.job.Done, syncPause) {
			return
		}
		timer := time.NewTimer(aloneInterval)
		isDue := false
		for !isDue {
			select {
			case <-s.job.C():
				timer.Stop()
				return
			case <-s.keeper.Behind():
				isDue = true
			case <-timer.C:
				snapshot := s.keeper.Snapshot()
				isDue = snapshot.rules == nil || !snapshot.IsGreeted(time.Now())
				timer.Reset(aloneInterval)
			}
		}
		timer.Stop()
	}
}

// read reads what is behind from the platform, or else from a balancer.
func (s *Sync) read() {
	err := s.readRules()
	if err == nil {
		err = s.readExclusions()
	}
	if err == nil {
		return
	}
	s.common.Log().V(1).Info("platform cannot be read", "error", err.Error())
	picture, err := s.peers.Picture(s.job.Context(), s.keeper.Snapshot().Homes())
	if err != nil {
		s.common.Log().V(1).Info("no peer answers", "error", err.Error())
		notify(s.keeper.behind)
		return
	}
	s.keeper.Post(landing.RulesChange{}.WithRules(picture.Rules()))
	s.keeper.Post(landing.ExclusionsChange{}.WithExclusions(picture.Exclusions()))
}

// readRules reads the rules when a balancer has newer ones, or when none has told. A recent answer is enough when it is as
// new as what the balancer has.
func (s *Sync) readRules() error {
	n := s.keeper.Snapshot()
	known := n.rules.Rules().Revision()
	if known > 0 && n.wanted.rules <= known && n.IsGreeted(time.Now()) {
		return nil
	}
	for _, f := range []platform.Freshness{platform.Recent, platform.Newest} {
		rules, _, err := s.store.ReadRules(s.job.Context(), f)
		if err != nil {
			return err
		}
		s.keeper.Post(landing.RulesChange{}.WithRules(rules))
		if rules.Revision() > 0 && rules.Revision() >= n.wanted.rules {
			return nil
		}
	}
	return nil
}

// readExclusions does the same for the exclusions.
func (s *Sync) readExclusions() error {
	n := s.keeper.Snapshot()
	known := n.exclusions
	if known.Revision() > 0 && n.wanted.exclusions <= known.Revision() && n.IsGreeted(time.Now()) {
		return nil
	}
	for _, f := range []platform.Freshness{platform.Recent, platform.Newest} {
		exclusions, err := s.store.ReadExclusions(s.job.Context(), known, f)
		if err != nil {
			return err
		}
		s.keeper.Post(landing.ExclusionsChange{}.WithExclusions(exclusions))
		if exclusions.Revision() >= n.wanted.exclusions {
			return nil
		}
	}
	return nil
}

// enroll writes the sidecar's enrollment when its upstream serves for the first time, and again when no balancer has
// greeted for a while: it may have been removed while the sidecar was cut off.
func (s *Sync) enroll() {
	select {
	case <-s.job.C():
		return
	case <-s.keeper.Serving():
	}
	for {
		pause := enrollPause
		if s.keeper.Snapshot().IsEnrolled(time.Now()) {
			pause = aloneInterval
		} else if err := s.tryEnroll(); err != nil {
			s.common.Log().V(1).Info("sidecar cannot enroll", "error", err.Error())
		} else {
			now := time.Now()
			s.keeper.Update(func(n Snapshot) Snapshot { return n.WithEnrolled(now) })
			s.common.Log().Info("sidecar enrolled", "revision", s.enrolled.Revision())
			pause = aloneInterval
		}
		if !common.Pause(s.job.Done, pause) {
			return
		}
	}
}

func (s *Sync) tryEnroll() error {
	wanted := landing.Enrollment{}.
		WithInstance(s.settings.Instance()).
		WithService(s.settings.Service()).
		WithZone(s.settings.Zone()).
		WithFleet(s.settings.Fleet())
	stands, err := s.store.Create(s.job.Context(), wanted)
	if trace.IsAlreadyExists(err) && stands.WithRevision(0) != wanted {
		stands, err = s.store.Replace(s.job.Context(), wanted.WithRevision(stands.Revision()))
	}
	if err != nil && !trace.IsAlreadyExists(err) {
		return err
	}
	s.enrolled = stands
	return nil
}

// Leave takes the enrollment back, since the upstream is gone for good. It goes on trying while the grace of the stop
// lasts; after that it is up to the balancers.
func (s *Sync) Leave() {
	s.job.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), max(s.settings.Grace()-leaveMargin, 0))
	defer cancel()
	for ctx.Err() == nil {
		err := s.store.Remove(ctx, s.enrolled)
		if err == nil || trace.IsAlreadyExists(err) {
			err = s.store.RemoveRecord(ctx, s.settings.Instance())
		}
		if err == nil {
			return
		}
		s.common.Log().Info("enrollment cannot be taken back", "error", err.Error())
		timer := time.NewTimer(enrollPause)
		select {
		case <-ctx.Done():
			timer.Stop()
		case <-timer.C:
		}
	}
}
