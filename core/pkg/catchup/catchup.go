// Package catchup reads the routing rules and zone exclusions (the policy) that a process lacks,
// from the cheapest source that is current enough. The sources are other processes of the fleet
// (all balancers and sidecars) and the platform, the service outside the fleet that stores these
// objects. A revision is a value of the platform's counter that orders changes of the objects.
package catchup

import (
	"context"
	"sync"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/policy"
)

// Store reads from the platform.
type Store interface {
	// ReadRules returns the rules and the position up to which they are known to be current.
	ReadRules(ctx context.Context, freshness landing.Freshness) (landing.RoutingRules, landing.StorePosition, error)
	// ReadExclusions returns the exclusions. It compares them with the known ones to find out
	// whether they have changed.
	ReadExclusions(ctx context.Context, known landing.ZoneExclusions, freshness landing.Freshness) (landing.ZoneExclusions, error)
}

// Peers reads from other processes of the fleet.
type Peers interface {
	// FetchSnapshot returns a snapshot of what one of the processes at these addresses, or else a
	// configured seed, has read from the platform. It returns an error when none responds.
	FetchSnapshot(ctx context.Context, addresses []uint64) (landing.PlatformSnapshot, error)
}

// ControlThread is the control thread of the process, which owns the policy.
type ControlThread interface {
	// Policy returns the policy in force.
	Policy() policy.Policy
	// PeersAhead returns the addresses of processes that have advertised newer revisions than this
	// process has. When there are no such processes, it may return the addresses of other ones.
	PeersAhead() []uint64
	// Post queues an event for the control thread.
	Post(landing.RelayEvent)
	// AwaitPosted returns when the control thread has handled all events that were posted before.
	AwaitPosted()
}

// Reader reads the rules and exclusions that the control thread lacks and posts them to it.
type Reader struct {
	telemetry common.Telemetry
	store     Store
	peers     Peers
	control   ControlThread
}

// New returns a reader that posts to this control thread.
func New(telemetry common.Telemetry, store Store, peers Peers, control ControlThread) Reader {
	return Reader{telemetry: telemetry, store: store, peers: peers, control: control}
}

// CatchUp reads the objects of which other processes have advertised newer revisions, from one
// source after the other until the process is no longer behind. An isolated process, to which no
// other process advertises its revisions, reads everything. CatchUp returns false when ctx is done,
// no source responds, or the process is still behind.
func (r Reader) CatchUp(ctx context.Context, isIsolated bool) bool {
	for _, source := range policy.ReadSources() {
		before := r.control.Policy()
		err := r.readFrom(ctx, source, before, isIsolated)
		if ctx.Err() != nil {
			return false
		}
		if err != nil {
			r.telemetry.Log().V(1).Info("source cannot be read", "source", policy.SourceLabel(source), "error", err.Error())
			continue
		}
		r.control.AwaitPosted()
		if !r.control.Policy().IsBehind() {
			r.telemetry.Counters().Counter("caught_up." + policy.SourceLabel(source)).Inc(1)
			return true
		}
	}
	return false
}

// ReadFirst reads the rules and exclusions of a process that has none, and returns true when it has
// them. When the platform has not responded after the pause, it reads from peers at the same time, since
// either may not respond, and repeats failed reads after the pause. It returns false when ctx is done
// before.
//
// The load pattern that it answers is the start of all processes after a power loss while the platform
// is unavailable: the seeds do not respond, and until the process has read the rules it refuses the
// callers who come back.
func (r Reader) ReadFirst(ctx context.Context, pause time.Duration) bool {
	reading, cancel := context.WithCancel(ctx)
	var readers sync.WaitGroup
	readUntilComplete := func(read func(context.Context) error) {
		for reading.Err() == nil {
			if err := read(reading); err != nil {
				r.telemetry.Log().V(1).Info("source cannot be read", "error", err.Error())
			}
			r.control.AwaitPosted()
			if r.control.Policy().IsComplete() {
				cancel()
				return
			}
			common.SleepContext(reading, pause)
		}
	}
	readers.Go(func() {
		// The peers are the same for many processes, which may all start at the same time.
		common.SleepContext(reading, pause)
		readUntilComplete(r.ReadFromPeers)
	})
	readUntilComplete(func(ctx context.Context) error {
		return r.readStore(ctx, landing.FreshnessRecent, r.control.Policy(), true) // true: everything is missing
	})
	cancel()
	readers.Wait()
	return ctx.Err() == nil
}

// readFrom reads from one source and posts the result. Before is the policy before the read.
func (r Reader) readFrom(ctx context.Context, source landing.ReadSource, before policy.Policy, isIsolated bool) error {
	switch source.(type) {
	case landing.StaleRead:
		return r.readStore(ctx, landing.FreshnessRecent, before, isIsolated)
	case landing.PeerRead:
		return r.ReadFromPeers(ctx)
	case landing.ConsistentRead:
		err := r.readStore(ctx, landing.FreshnessNewest, before, isIsolated)
		if err == nil {
			r.control.Post(landing.ConsistentReadEnded{}.WithWantedAtStart(before.WantedRevisions()))
		}
		return err
	case landing.WatchRead: // watches are run by the balancers' PlatformSync
	}
	return nil
}

// readStore reads objects from the platform and posts them: those of which the policy before the
// read wants a newer revision than it knows, or all objects if the process is isolated.
//
// A stale response can be older than the platform's return from an older copy and state the era of
// after it, so that its revision is higher than those given out since. Rules are ordered by their
// version. Exclusions are therefore not read stale from a platform that states eras: a process that has
// peers reads them there, and an isolated one reads the current state.
func (r Reader) readStore(ctx context.Context, freshness landing.Freshness, before policy.Policy, isIsolated bool) error {
	statesEra := before.Exclusions().Era() > 0
	if isIsolated || before.LacksRules() {
		rules, at, err := r.store.ReadRules(ctx, freshness)
		if err != nil {
			return err
		}
		statesEra = statesEra || at.Era() > 0
		r.control.Post(landing.RulesReceived{}.WithRules(rules).WithSource(storeSource(freshness)))
	}
	if freshness == landing.FreshnessRecent && statesEra {
		if !isIsolated {
			return nil
		}
		freshness = landing.FreshnessNewest
	}
	if isIsolated || before.LacksExclusions() {
		exclusions, err := r.store.ReadExclusions(ctx, before.Exclusions(), freshness)
		if err != nil {
			return err
		}
		r.control.Post(landing.ExclusionsReceived{}.WithExclusions(exclusions))
	}
	return nil
}

// storeSource returns the source of a read from the platform with this freshness.
func storeSource(freshness landing.Freshness) landing.ReadSource {
	if freshness == landing.FreshnessNewest {
		return landing.ConsistentRead{}
	}
	return landing.StaleRead{}
}

// ReadFromPeers reads rules, exclusions and the list of enrolled sidecars from another process and
// posts them to the control thread.
func (r Reader) ReadFromPeers(ctx context.Context) error {
	snapshot, err := r.peers.FetchSnapshot(ctx, r.control.PeersAhead())
	if err != nil {
		return err
	}
	r.control.Post(landing.RulesReceived{}.WithRules(snapshot.Rules()).WithSource(landing.PeerRead{}))
	r.control.Post(landing.ExclusionsReceived{}.WithExclusions(snapshot.Exclusions()))
	r.control.Post(landing.EnrollmentsReceived{}.WithEnrollmentList(snapshot.EnrollmentList()))
	return nil
}
