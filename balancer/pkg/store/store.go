// Package store connects a balancer to the platform, the service outside the fleet that stores versioned objects. It
// watches the objects of the fleet, performs the reads and writes that the control thread requests, and saves exclusion
// marks on its own. An outage of the platform only delays this.
//
// The objects are the roster of the region (its targets, that is upstreams, and its balancers), the lease that decides
// which balancer writes the roster and saves the marks, the root of the lists that operators edit, the exclusion marks
// that take zones or upstreams out of service, and the keyring for signing datagrams. Enrollments are objects of the
// relay path and are not handled here.
package store

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/balancer/pkg/keeper"
	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/lease"
	"github.com/crocuslanding/crocuslanding/core/pkg/loader"
	"github.com/crocuslanding/crocuslanding/core/pkg/mark"
	"github.com/crocuslanding/crocuslanding/core/pkg/object"
	"github.com/crocuslanding/crocuslanding/core/pkg/platform"
	"github.com/crocuslanding/crocuslanding/core/pkg/roster"
)

const (
	pauseAfterFailure = 300 * time.Millisecond
	saveMarksInterval = time.Second
	// roleCheckInterval is the interval at which a balancer that does not watch an object checks whether it must now.
	roleCheckInterval = time.Second
	// rosterWatchers is the number of balancers in a region that watch its roster at the platform.
	rosterWatchers = 3
)

// PlatformSync posts changes of the platform's objects to the control thread, performs the reads and writes that the
// control thread requests (tasks), and saves exclusion marks.
type PlatformSync struct {
	telemetry common.Telemetry
	client    *platform.Client
	control   *keeper.ControlThread
	loader    *loader.Loader
	region    string
	ctx       context.Context
	cancel    context.CancelFunc
	stopper   *common.Stopper
}

// New returns a PlatformSync for a balancer of this region. Stop closes the client.
func New(telemetry common.Telemetry, client *platform.Client, control *keeper.ControlThread, l *loader.Loader, region string) *PlatformSync {
	ctx, cancel := context.WithCancel(context.Background())
	return &PlatformSync{
		telemetry: telemetry,
		client:    client,
		control:   control,
		loader:    l,
		region:    region,
		ctx:       ctx,
		cancel:    cancel,
		stopper:   common.NewStopper(),
	}
}

// Start starts the goroutines that watch objects, run tasks and save exclusion marks.
func (s *PlatformSync) Start() {
	s.stopper.Go(func() { s.watchWhile(s.isRosterWatcher, object.RosterName(s.region), s.postRoster) })
	s.stopper.Go(func() { s.watch(object.LeaseName(s.region), s.postLease) })
	s.stopper.Go(func() { s.watch(object.RootName, s.loadLists) })
	s.stopper.Go(func() { s.watch(object.MarksName, s.postMarks) })
	s.stopper.Go(func() { s.watch(object.KeyringName, s.postKeyring) })
	s.stopper.Go(s.runTasks)
	s.stopper.Go(s.saveMarks)
}

// Stop cancels all calls, and waits until the goroutines have ended.
func (s *PlatformSync) Stop() {
	s.stopper.Close()
	s.cancel()
	s.stopper.Wait()
}

// isRosterWatcher reports whether this balancer watches the roster at the platform. Only rosterWatchers balancers of a
// region do, and those that have no roster yet. The others receive the changes from other balancers by gossip; a change
// is far smaller than the whole roster.
func (s *PlatformSync) isRosterWatcher() bool {
	snapshot := s.control.Snapshot()
	order := roster.RankBalancers(snapshot.Roster().Members(), object.RosterName(s.region))
	if snapshot.Roster().Serial() == 0 || len(order) == 0 {
		return true
	}
	for _, m := range order[:min(len(order), rosterWatchers)] {
		if m.Instance() == snapshot.Membership().Self().Instance() {
			return true
		}
	}
	return false
}

// watch calls handle with the object of this name, now and after each change.
func (s *PlatformSync) watch(name string, handle func(platform.Object) error) {
	s.watchWhile(func() bool { return true }, name, handle)
}

// watchWhile calls handle with the object of this name, now and after each change, until Stop is called. It calls isNeeded
// before each read, and does not read while isNeeded returns false. When handle fails, the same version is read again. It ends when
// the platform has lost acknowledged writes: the balancer goes on with what is in force.
func (s *PlatformSync) watchWhile(isNeeded func() bool, name string, handle func(platform.Object) error) {
	seenVersion := uint64(0)
	for s.ctx.Err() == nil {
		if !isNeeded() {
			s.pause(roleCheckInterval)
			continue
		}
		o, err := s.client.Watch(s.ctx, name, seenVersion)
		if err == nil {
			err = handle(o)
		}
		switch {
		case err == nil:
			seenVersion = o.Version()
		case trace.IsLimitExceeded(err) && seenVersion != 0:
			// The watch timed out without a change, or the platform limits the rate of calls. Neither is counted as a
			// retry, and the pause is shorter.
			s.pause(pauseAfterFailure / 10)
		case s.client.Err() != nil:
			s.telemetry.Log().Info("platform no longer followed", "object", name, "error", s.client.Err().Error())
			return
		default:
			s.telemetry.Counters().Counter("retried.watch").Inc(1)
			s.pause(pauseAfterFailure)
		}
	}
}

func (s *PlatformSync) postRoster(o platform.Object) error {
	r, err := object.DecodeRoster(o.Value())
	if err != nil {
		s.telemetry.Counters().CountRefusal(landing.RefusalMalformed)
		return err
	}
	s.control.Post(landing.RosterRead{}.WithRoster(r).WithRosterVersion(o.Version()).WithReadAt(time.Now()))
	return nil
}

func (s *PlatformSync) postLease(o platform.Object) error {
	l, err := object.DecodeLease(o.Value())
	if err != nil {
		s.telemetry.Counters().CountRefusal(landing.RefusalMalformed)
		return err
	}
	s.control.Post(landing.LeaseRead{}.WithLease(l).WithLeaseVersion(o.Version()).WithReadAt(time.Now()))
	return nil
}

// loadLists loads and posts the lists of the root in o if that root is newer than the one in force.
func (s *PlatformSync) loadLists(o platform.Object) error {
	r, err := object.DecodeRoot(o.Value())
	if err != nil {
		s.telemetry.Counters().CountRefusal(landing.RefusalMalformed)
		return err
	}
	if r.Serial() <= s.control.Snapshot().Root().Serial() {
		return nil
	}
	l, err := s.loader.Load(s.ctx, r, loader.Platform{Client: s.client})
	if err != nil {
		return err
	}
	s.loader.Retain(r)
	s.control.Post(landing.ListsLoaded{}.WithRoot(r).WithLists(l))
	return nil
}

func (s *PlatformSync) postMarks(o platform.Object) error {
	m, err := object.DecodeMarks(o.Value())
	if err != nil {
		s.telemetry.Counters().CountRefusal(landing.RefusalMalformed)
		return err
	}
	s.control.Post(landing.ExclusionMarksReceived{}.WithMarks(m))
	return nil
}

func (s *PlatformSync) postKeyring(o platform.Object) error {
	r, err := object.DecodeKeyring(o.Value())
	if err != nil {
		s.telemetry.Counters().CountRefusal(landing.RefusalMalformed)
		return err
	}
	s.control.Post(landing.KeyringReceived{}.WithKeyring(r))
	return nil
}

// saveMarks checks at about every saveMarksInterval whether the exclusion marks in force differ from those that it last
// saved. If so, and if this balancer holds the lease, it merges them into those of the platform. Marks that were set while
// the platform was unavailable are thus written later.
func (s *PlatformSync) saveMarks() {
	savedDigest := uint64(0)
	for s.ctx.Err() == nil {
		s.pause(saveMarksInterval)
		snapshot := s.control.Snapshot()
		digest := mark.Digest(snapshot.View().Marks())
		isHolder := lease.IsHeldBy(snapshot.Membership().RegionState().Lease(), snapshot.Membership().Self())
		if digest == savedDigest || !isHolder {
			continue
		}
		if _, err := platform.MergeMarks(s.ctx, s.client, snapshot.View().Marks()); err == nil {
			savedDigest = digest
		}
	}
}

// pause waits for a random time between half of d and one and a half times d, or until Stop is called.
func (s *PlatformSync) pause(d time.Duration) {
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.stopper.C():
	}
}
