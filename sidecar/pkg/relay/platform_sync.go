package relay

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/catchup"
	"github.com/crocuslanding/crocuslanding/core/pkg/clock"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/enrollment"
	"github.com/crocuslanding/crocuslanding/core/pkg/peer"
	"github.com/crocuslanding/crocuslanding/platform"
)

const (
	// firstReadPause is the pause between two reads while rules or exclusions are missing. Callers come back within
	// a second after an outage, and are refused until then.
	firstReadPause = 100 * time.Millisecond
	// readPause is the least time between two reads, so that many changes in a short time cost few calls.
	readPause = 250 * time.Millisecond
	// pollInterval is the interval between two reads while no balancer subscribes, since no process then
	// reports changes, or while rules or exclusions are missing. It is also the pause between two calls for the
	// enrollment while the platform fails and balancers confirm the enrollment.
	pollInterval = 2 * time.Second
	// enrollRetryPause is the pause between two attempts to write or remove the enrollment.
	enrollRetryPause = 300 * time.Millisecond
	// shutdownReserve is the part of the grace period of a planned stop that is kept for all work other than
	// the removal of the enrollment.
	shutdownReserve = time.Second
)

// PlatformSync keeps rules and exclusions up to date and the sidecar enrolled.
type PlatformSync struct {
	telemetry     common.Telemetry
	settings      landing.RelaySidecarSettings
	controlThread *ControlThread
	store         *platform.StoreClient
	peers         *peer.Client
	reader        catchup.Reader
	stopper       common.ContextStopper
	// storedEnrollment is the enrollment that the platform holds; its revision is 0 before this process has
	// written or read it.
	storedEnrollment landing.Enrollment
}

// NewPlatformSync returns a PlatformSync. Start must be called.
func NewPlatformSync(c common.Telemetry, s landing.RelaySidecarSettings, controlThread *ControlThread, store *platform.StoreClient) *PlatformSync {
	peers := peer.NewClient(s.Fleet(), s.Seeds())
	return &PlatformSync{
		telemetry:     c,
		settings:      s,
		controlThread: controlThread,
		store:         store,
		peers:         peers,
		reader:        catchup.New(c, store, peers, controlThread),
		stopper:       common.NewContextStopper(),
	}
}

// Start starts to read and to enroll.
func (s *PlatformSync) Start() {
	s.stopper.Go(s.followPolicy)
	s.stopper.Go(s.keepEnrolled)
}

// Stop ends all calls to the platform and other processes and waits for the goroutines.
func (s *PlatformSync) Stop() {
	s.stopper.Stop()
}

// followPolicy reads rules and exclusions at the start. It reads them again when another process has
// advertised newer revisions, when a read did not catch up with these, and at each pollInterval while no
// balancer subscribes or while rules or exclusions are missing.
func (s *PlatformSync) followPolicy() {
	s.reader.ReadFirst(s.stopper.Context(), firstReadPause)
	for {
		if !s.reader.CatchUp(s.stopper.Context(), !s.controlThread.Snapshot().HasSubscriber(clock.Now())) {
			common.Notify(s.controlThread.policyOutdated)
		}
		if !common.Sleep(s.stopper.Stopper, readPause) || !s.awaitReadDue() {
			return
		}
	}
}

// awaitReadDue waits until rules or exclusions must be read. It returns false when the PlatformSync stops.
func (s *PlatformSync) awaitReadDue() bool {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		s.controlThread.RemoveExpired()
		select {
		case <-s.stopper.C():
			return false
		case <-s.controlThread.PolicyOutdated():
			return true
		case <-ticker.C:
			if snapshot := s.controlThread.Snapshot(); !snapshot.policy.IsComplete() || !snapshot.HasSubscriber(clock.Now()) {
				return true
			}
		}
	}
}

// keepEnrolled writes the sidecar's enrollment when its upstream serves for the first time, and has the
// platform confirm it whenever that is due. Balancers may have removed it while the sidecar was unreachable or
// its machine was suspended.
func (s *PlatformSync) keepEnrolled() {
	select {
	case <-s.stopper.C():
		return
	case <-s.controlThread.UpstreamServing():
	}
	for {
		pause := enrollment.CheckInterval
		if s.controlThread.Snapshot().confirmation.IsRenewalDue(clock.Now()) {
			pause = s.renewEnrollment()
		}
		if !common.Sleep(s.stopper.Stopper, pause) {
			return
		}
	}
}

// renewEnrollment has the platform confirm the enrollment, and returns the pause until the next check.
func (s *PlatformSync) renewEnrollment() time.Duration {
	calledAt := clock.Now()
	before := s.storedEnrollment
	if err := s.tryEnroll(); err != nil {
		s.telemetry.Log().V(1).Info("sidecar cannot enroll", "error", err.Error())
		s.controlThread.Update(func(current Snapshot) Snapshot {
			return current.WithConfirmation(current.confirmation.WithPlatformFailure())
		})
		if confirmation := s.controlThread.Snapshot().confirmation.WithPlatformFailure(); confirmation.IsRenewedByBalancers(clock.Now()) {
			return pollInterval
		}
		return enrollRetryPause
	}
	s.controlThread.Update(func(current Snapshot) Snapshot {
		return current.WithConfirmation(current.confirmation.WithPlatformAnswer(calledAt, s.storedEnrollment.Era()))
	})
	s.telemetry.Counters().Counter("enrollment_renewed").Inc(1)
	if s.storedEnrollment.Revision() != before.Revision() || s.storedEnrollment.Era() != before.Era() {
		s.telemetry.Log().Info("sidecar enrolled", "revision", s.storedEnrollment.Revision(), "era", s.storedEnrollment.Era(), "lost", s.storedEnrollment.Revision() != before.Revision() && before.Revision() > 0)
	}
	return enrollment.CheckInterval
}

// tryRemoveEnrollment removes the enrollment and the record of flows. The removal needs the revision of the
// enrollment, which a restarted sidecar does not know: a subscription confirmed the enrollment, so this
// process has not written it. Such a sidecar tries to create the enrollment, and gets the one that exists. So does
// one that knows the revision from an earlier era of the platform.
func (s *PlatformSync) tryRemoveEnrollment(ctx context.Context) error {
	isOutdated := !s.controlThread.Snapshot().confirmation.IsOfLatestEra()
	if s.storedEnrollment.Revision() == 0 || isOutdated {
		stored, err := s.store.CreateEnrollment(ctx, s.enrollment())
		if err != nil && !trace.IsAlreadyExists(err) {
			return err
		}
		s.storedEnrollment = stored
	}
	if err := s.store.RemoveEnrollment(ctx, s.storedEnrollment); err != nil && !trace.IsAlreadyExists(err) {
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

// tryEnroll creates the enrollment, or replaces an existing one that has other content.
func (s *PlatformSync) tryEnroll() error {
	wanted := s.enrollment()
	stored, err := s.store.CreateEnrollment(s.stopper.Context(), wanted)
	if trace.IsAlreadyExists(err) && stored.WithEra(0).WithRevision(0) != wanted {
		stored, err = s.store.ReplaceEnrollment(s.stopper.Context(), wanted.WithRevision(stored.Revision()))
	}
	if err != nil && !trace.IsAlreadyExists(err) {
		return err
	}
	s.storedEnrollment = stored
	return nil
}

// RemoveEnrollment stops the PlatformSync and removes the enrollment, since the upstream has ended. It
// repeats failed attempts until shutdownReserve before the end of the grace period. If all attempts fail,
// balancers remove the enrollment.
func (s *PlatformSync) RemoveEnrollment() {
	s.stopper.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), max(s.settings.Grace()-shutdownReserve, 0))
	defer cancel()
	for ctx.Err() == nil {
		err := s.tryRemoveEnrollment(ctx)
		if err == nil {
			s.telemetry.Log().Info("enrollment taken back", "revision", s.storedEnrollment.Revision())
			return
		}
		s.telemetry.Log().Info("enrollment cannot be taken back", "error", err.Error())
		common.SleepContext(ctx, enrollRetryPause)
	}
}
