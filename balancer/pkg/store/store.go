// Package store is the side of a balancer that talks to the platform: it watches the objects of
// the system and carries out the tasks of the control thread. An outage of the platform only
// delays it.
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
	marksInterval     = time.Second
	// pauseWhileUnwanted is the time between two looks whether an object must be watched.
	pauseWhileUnwanted = time.Second
	// rosterWatchers is the number of balancers of a region that watch its roster at the platform.
	rosterWatchers = 3
)

// PlatformSync keeps the control thread and the platform in step.
type PlatformSync struct {
	common common.Telemetry
	client *platform.Client
	keeper *keeper.ControlThread
	loader *loader.Loader
	region string
	ctx    context.Context
	cancel context.CancelFunc
	done   *common.Stopper
}

// New returns a store for the roster of this region.
func New(c common.Telemetry, client *platform.Client, k *keeper.ControlThread, l *loader.Loader, region string) *PlatformSync {
	ctx, cancel := context.WithCancel(context.Background())
	return &PlatformSync{
		common: c,
		client: client,
		keeper: k,
		loader: l,
		region: region,
		ctx:    ctx,
		cancel: cancel,
		done:   common.NewStopper(),
	}
}

// Start starts the watches and the tasks.
func (s *PlatformSync) Start() {
	s.done.Go(func() { s.watchWhile(s.isRosterWatcher, object.RosterName(s.region), s.takeRoster) })
	s.done.Go(func() { s.watch(object.LeaseName(s.region), s.takeLease) })
	s.done.Go(func() { s.watch(object.RootName, s.takeRoot) })
	s.done.Go(func() { s.watch(object.MarksName, s.takeMarks) })
	s.done.Go(func() { s.watch(object.KeyringName, s.takeKeyring) })
	s.done.Go(s.runTasks)
	s.done.Go(s.saveMarks)
}

// Stop ends all calls and waits for the goroutines.
func (s *PlatformSync) Stop() {
	s.done.Close()
	s.cancel()
	s.done.Wait()
	s.client.Close()
}

// isRosterWatcher says whether this balancer watches the roster at the platform. Only the first few of a
// region do; the others are told by gossip what changed, which is far less than the whole roster.
func (s *PlatformSync) isRosterWatcher() bool {
	snapshot := s.keeper.Snapshot()
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

// watch reads the object of this name whenever it changes, and hands it to take.
func (s *PlatformSync) watch(name string, take func(platform.Object) error) {
	s.watchWhile(func() bool { return true }, name, take)
}

// watchWhile watches as long as isWanted says so, and asks it again and again.
// When take fails the same version is read again.
func (s *PlatformSync) watchWhile(isWanted func() bool, name string, take func(platform.Object) error) {
	after := uint64(0)
	for s.ctx.Err() == nil {
		if !isWanted() {
			s.pause(pauseWhileUnwanted)
			continue
		}
		o, err := s.client.Watch(s.ctx, name, after)
		if err == nil {
			err = take(o)
		}
		switch {
		case err == nil:
			after = o.Version()
		case trace.IsLimitExceeded(err) && after != 0:
			s.pause(pauseAfterFailure / 10)
		default:
			s.common.Counters().Counter("retried.watch").Inc(1)
			s.pause(pauseAfterFailure)
		}
	}
}

func (s *PlatformSync) takeRoster(o platform.Object) error {
	r, err := object.DecodeRoster(o.Value())
	if err != nil {
		s.common.Counters().CountRefusal(landing.RefusalMalformed)
		return err
	}
	s.keeper.Post(landing.RosterRead{}.WithRoster(r).WithRosterVersion(o.Version()).WithReadAt(time.Now()))
	return nil
}

func (s *PlatformSync) takeLease(o platform.Object) error {
	l, err := object.DecodeLease(o.Value())
	if err != nil {
		s.common.Counters().CountRefusal(landing.RefusalMalformed)
		return err
	}
	s.keeper.Post(landing.LeaseRead{}.WithLease(l).WithLeaseVersion(o.Version()).WithReadAt(time.Now()))
	return nil
}

func (s *PlatformSync) takeRoot(o platform.Object) error {
	r, err := object.DecodeRoot(o.Value())
	if err != nil {
		s.common.Counters().CountRefusal(landing.RefusalMalformed)
		return err
	}
	if r.Serial() <= s.keeper.Snapshot().Root().Serial() {
		return nil
	}
	l, err := s.loader.Load(s.ctx, r, loader.Platform{Client: s.client})
	if err != nil {
		return err
	}
	s.loader.Retain(r)
	s.keeper.Post(landing.ListsLoaded{}.WithRoot(r).WithLists(l))
	return nil
}

func (s *PlatformSync) takeMarks(o platform.Object) error {
	m, err := object.DecodeMarks(o.Value())
	if err != nil {
		s.common.Counters().CountRefusal(landing.RefusalMalformed)
		return err
	}
	s.keeper.Post(landing.ExclusionMarksReceived{}.WithMarks(m))
	return nil
}

func (s *PlatformSync) takeKeyring(o platform.Object) error {
	r, err := object.DecodeKeyring(o.Value())
	if err != nil {
		s.common.Counters().CountRefusal(landing.RefusalMalformed)
		return err
	}
	s.keeper.Post(landing.KeyringReceived{}.WithKeyring(r))
	return nil
}

// saveMarks lets the holder of the lease write marks that reached the fleet while the platform was down.
func (s *PlatformSync) saveMarks() {
	saved := uint64(0)
	for s.ctx.Err() == nil {
		s.pause(marksInterval)
		snapshot := s.keeper.Snapshot()
		digest := mark.Digest(snapshot.View().Marks())
		isHolder := lease.IsHeldBy(snapshot.Membership().RegionState().Lease(), snapshot.Membership().Self())
		if digest == saved || !isHolder {
			continue
		}
		if _, err := platform.MergeMarks(s.ctx, s.client, snapshot.View().Marks()); err == nil {
			saved = digest
		}
	}
}

// pause waits for about d, or until the store stops.
func (s *PlatformSync) pause(d time.Duration) {
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.done.C():
	}
}
