package relay

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/catchup"
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
	reader   catchup.Reader
	job      common.Job
	enrolled landing.Enrollment
}

// NewSync returns a sync that is not started.
func NewSync(c common.Common, s landing.RelaySidecarSettings, k *Keeper, store *platform.Store) *Sync {
	peers := peer.NewClient(s.Fleet(), s.Seeds())
	return &Sync{
		common:   c,
		settings: s,
		keeper:   k,
		store:    store,
		peers:    peers,
		reader:   catchup.New(c, store, peers, k),
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
		if !s.reader.Read(s.job.Context(), !s.keeper.Snapshot().IsGreeted(time.Now())) {
			common.Notify(s.keeper.behind)
		}
		if !common.Pause(s.job.Done, syncPause) || !s.awaitBehind() {
			return
		}
	}
}

// awaitBehind waits until there is something to read. It returns false when the sync stops.
func (s *Sync) awaitBehind() bool {
	ticker := time.NewTicker(aloneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.job.C():
			return false
		case <-s.keeper.Behind():
			return true
		case <-ticker.C:
			if n := s.keeper.Snapshot(); !n.policy.IsKnown() || !n.IsGreeted(time.Now()) {
				return true
			}
		}
	}
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

// tryLeave removes the enrollment and the record. After a restart the sidecar may know of its enrollment from a
// greeting only, and asks for the revision.
func (s *Sync) tryLeave(ctx context.Context) error {
	if s.enrolled.Revision() == 0 {
		stands, err := s.store.Create(ctx, s.enrollment())
		if err != nil && !trace.IsAlreadyExists(err) {
			return err
		}
		s.enrolled = stands
	}
	if err := s.store.Remove(ctx, s.enrolled); err != nil && !trace.IsAlreadyExists(err) {
		return err
	}
	return s.store.RemoveRecord(ctx, s.settings.Instance())
}

func (s *Sync) enrollment() landing.Enrollment {
	return landing.Enrollment{}.
		WithInstance(s.settings.Instance()).
		WithService(s.settings.Service()).
		WithZone(s.settings.Zone()).
		WithFleetAddress(s.settings.Fleet())
}

func (s *Sync) tryEnroll() error {
	wanted := s.enrollment()
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
		err := s.tryLeave(ctx)
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
