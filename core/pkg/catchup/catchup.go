// Package catchup reads what a process lacks of the operators' objects, from the cheapest source that is new enough.
package catchup

import (
	"context"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/policy"
)

// Store is the platform.
type Store interface {
	// ReadRules returns the rules and the revision up to which they are known to hold.
	ReadRules(ctx context.Context, f landing.Freshness) (landing.RoutingRules, uint64, error)
	// ReadExclusions returns the exclusions. Known are those known before.
	ReadExclusions(ctx context.Context, known landing.ZoneExclusions, f landing.Freshness) (landing.ZoneExclusions, error)
}

// Peers are the other processes of the fleet.
type Peers interface {
	// Picture returns what one of the processes at these addresses knows, or one of the seeds.
	FetchSnapshot(ctx context.Context, hops []uint64) (landing.PlatformSnapshot, error)
}

// ControlThread is the control thread of the process.
type ControlThread interface {
	// Policy returns what is in force.
	Policy() policy.Policy
	// Ahead returns the addresses of processes that have shown newer revisions.
	PeersAhead() []uint64
	// Post hands a change to the control thread.
	Post(landing.RelayEvent)
	// Await returns when all that was posted before has been taken in.
	Await()
}

// Reader reads what is behind.
type Reader struct {
	common common.Telemetry
	store  Store
	peers  Peers
	keeper ControlThread
}

// New returns a reader for this control thread.
func New(c common.Telemetry, store Store, peers Peers, k ControlThread) Reader {
	return Reader{common: c, store: store, peers: peers, keeper: k}
}

// CatchUp reads what others have shown to be newer, and all when the process is alone, since nobody shows it anything. It
// returns false when the process is still behind, or nothing answers.
func (r Reader) CatchUp(ctx context.Context, isAlone bool) bool {
	for _, source := range policy.ReadSources() {
		before := r.keeper.Policy()
		err := r.readFrom(ctx, source, before, isAlone)
		if ctx.Err() != nil {
			return false
		}
		if err != nil {
			r.common.Log().V(1).Info("source cannot be read", "source", nameOf(source), "error", err.Error())
			continue
		}
		r.keeper.Await()
		if !r.keeper.Policy().IsBehind() {
			r.common.Counters().Counter("caught_up." + nameOf(source)).Inc(1)
			return true
		}
	}
	return false
}

func (r Reader) readFrom(ctx context.Context, source landing.ReadSource, before policy.Policy, isAlone bool) error {
	switch source.(type) {
	case landing.StaleRead:
		return r.readStore(ctx, landing.FreshnessRecent, before, isAlone)
	case landing.PeerRead:
		return r.ReadFromPeers(ctx)
	case landing.ConsistentRead:
		err := r.readStore(ctx, landing.FreshnessNewest, before, isAlone)
		if err == nil {
			r.keeper.Post(landing.ConsistentReadEnded{}.WithWantedAtStart(before.WantedRevisions()))
		}
		return err
	}
	return nil
}

func (r Reader) readStore(ctx context.Context, f landing.Freshness, p policy.Policy, isAlone bool) error {
	if isAlone || p.WantedRevisions().Rules() > p.KnownRevisions().Rules() {
		rules, _, err := r.store.ReadRules(ctx, f)
		if err != nil {
			return err
		}
		r.keeper.Post(landing.RulesReceived{}.WithRules(rules))
	}
	if isAlone || p.WantedRevisions().Exclusions() > p.KnownRevisions().Exclusions() {
		exclusions, err := r.store.ReadExclusions(ctx, p.Exclusions(), f)
		if err != nil {
			return err
		}
		r.keeper.Post(landing.ExclusionsReceived{}.WithExclusions(exclusions))
	}
	return nil
}

// ReadFromPeers takes what another process knows: rules, exclusions and the roll.
func (r Reader) ReadFromPeers(ctx context.Context) error {
	picture, err := r.peers.FetchSnapshot(ctx, r.keeper.PeersAhead())
	if err != nil {
		return err
	}
	r.keeper.Post(landing.RulesReceived{}.WithRules(picture.Rules()))
	r.keeper.Post(landing.ExclusionsReceived{}.WithExclusions(picture.Exclusions()))
	r.keeper.Post(landing.EnrollmentsReceived{}.WithEnrollmentList(picture.EnrollmentList()))
	return nil
}

func nameOf(source landing.ReadSource) string {
	switch source.(type) {
	case landing.StaleRead:
		return "copy"
	case landing.PeerRead:
		return "peer"
	case landing.ConsistentRead:
		return "original"
	}
	return ""
}
