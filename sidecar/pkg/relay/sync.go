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

// PlatformSync keeps rules and exclusions up to date and the sidecar enrolled.
type PlatformSync struct {
	common   common.Telemetry
	settings landing.RelaySidecarSettings
	keeper   *ControlThread
	store    *platform.StoreClient
	peers    *peer.Client
	reader   catchup.Reader
	job      common.ContextStopper
	enrolled landing.Enrollment
}

// NewPlatformSync returns a sync that is not started.
func NewPlatformSync(c common.Telemetry, s landing.RelaySidecarSettings, k *ControlThread, store *platform.StoreClient) *PlatformSync {
	peers := peer.NewClient(s.Fleet(), s.Seeds())
	return &PlatformSync{
		common:   c,
		settings: s,
		keeper:   k,
		store:    store,
		peers:    peers,
		reader:   catchup.New(c, store, peers, k),
		job:      common.NewContextStopper(),
	}
}

// Start starts to read and to enroll.
func (s *PlatformSync) Start() {
	s.job.Go(s.follow)
	s.job.Go(s.enroll)
}

// Stop ends all calls and waits for their end.
func (s *PlatformSync) Stop() {
	s.job.Stop()
}

// follow reads what is behind: at the start, when a balancer has newer revisions, and now and then while no
// balancer greets.
func (s *PlatformSync) follow() {
	for {
		if !s.reader.CatchUp(s.job.Context(), !s.keeper.Snapshot().IsGreeted(time.Now())) {
			common.Notify(s.keeper.behind)
		}
		if !common.Sleep(s.job.Stopper, syncPause) || !s.awaitBehind() {
			return
		}
	}
}

// awaitBehind waits until there is something to read. It returns false when the sync stops.
func (s *PlatformSync) awaitBehind() bool {
	ticker := time.NewTicker(aloneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.job.C():
			return false
		case <-s.keeper.Behind():
			return true
		case <-ticker.C:
			if n := s.keeper.Snapshot(); !n.policy.IsComplete() || !n.IsGreeted(time.Now()) {
				return true
			}
		}
	}
}

// enroll writes the sidecar's enrollment when its upstream serves for the first time, and again when no balancer has
// greeted for a while: it may have been removed while the sidecar was cut off.
func (s *PlatformSync) enroll() {
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
		if !common.Sleep(s.job.Stopper, pause) {
			return
		}
	}
}

// tryLeave removes the enrollment and the record. After a restart the sidecar may know of its enrollment from a
// greeting only, and asks for the revision.
func (s *PlatformSync) tryLeave(ctx context.Context) error {
	if s.enrolled.Revision() == 0 {
		stands, err := s.store.CreateEnrollment(ctx, s.enrollment())
		if err != nil && !trace.IsAlreadyExists(err) {
			return err
		}
		s.enrolled = stands
	}
	if err := s.store.RemoveEnrollment(ctx, s.enrolled); err != nil && !trace.IsAlreadyExists(err) {
		return err
	}
	return s.store.RemoveHeldFlows(ctx, s.settings.Instance())
}

func (s *PlatformSync) enrollment() landing.Enrollment {
	return landing.Enrollment{}.
		WithInstance(s.settings.Instance()).
		WithService(s.settings.Service()).
		WithZone(s.settings.Zone()).
		WithFleetAddress(s.settings.Fleet())
}

func (s *PlatformSync) tryEnroll() error {
	wanted := s.enrollment()
	stands, err := s.store.CreateEnrollment(s.job.Context(), wanted)
	if trace.IsAlreadyExists(err) && stands.WithRevision(0) != wanted {
		stands, err = s.store.ReplaceEnrollment(s.job.Context(), wanted.WithRevision(stands.Revision()))
	}
	if err != nil && !trace.IsAlreadyExists(err) {
		return err
	}
	s.enrolled = stands
	return nil
}

// Leave takes the enrollment back, since the upstream is gone for good. It goes on trying while the grace of the stop
// lasts; after that it is up to the balancers.
func (s *PlatformSync) Leave() {
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
