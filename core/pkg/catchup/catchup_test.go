package catchup

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/counter"
	"github.com/crocuslanding/crocuslanding/core/pkg/policy"
	"github.com/crocuslanding/crocuslanding/core/pkg/position"
)

// fakePlatform is a store whose stale reads may lag behind its newest state and which may be
// unavailable.
type fakePlatform struct {
	recent, newest              landing.PolicyRevisions
	isUnavailable               bool
	consistentReads, staleReads int
}

func (p *fakePlatform) read(f landing.Freshness) (landing.PolicyRevisions, error) {
	if p.isUnavailable {
		return landing.PolicyRevisions{}, trace.ConnectionProblem(nil, "platform is unavailable")
	}
	if f == landing.FreshnessRecent {
		p.staleReads++
		return p.recent, nil
	}
	p.consistentReads++
	return p.newest, nil
}

func (p *fakePlatform) ReadRules(_ context.Context, f landing.Freshness) (landing.RoutingRules, landing.StorePosition, error) {
	r, err := p.read(f)
	return landing.RoutingRules{}.WithRevision(r.Rules()), position.New(r.Era(), r.Rules()), err
}

func (p *fakePlatform) ReadExclusions(_ context.Context, _ landing.ZoneExclusions, f landing.Freshness) (landing.ZoneExclusions, error) {
	r, err := p.read(f)
	return landing.ZoneExclusions{}.WithRevision(r.Exclusions()).WithEra(r.Era()), err
}

// fakeProcess is one process of the fleet: its control thread and its connection to a peer. A nil
// peer does not respond.
type fakeProcess struct {
	policy    policy.Policy
	peer      *fakeProcess
	peerReads int
}

func (p *fakeProcess) Policy() policy.Policy { return p.policy }
func (p *fakeProcess) PeersAhead() []uint64  { return []uint64{1} }
func (p *fakeProcess) AwaitPosted()          {}

func (p *fakeProcess) Post(event landing.RelayEvent) {
	switch event := event.(type) {
	case landing.RulesReceived:
		p.policy = p.policy.WithRules(event.Rules())
	case landing.ExclusionsReceived:
		p.policy = p.policy.WithExclusions(event.Exclusions())
	case landing.ConsistentReadEnded:
		p.policy = p.policy.WithConsistentRead(event.WantedAtStart())
	case landing.RevisionsSeen:
		p.policy = p.policy.WithRevisionsSeen(event.Revisions())
	case landing.SubscriptionReceived, landing.ProbesSent, landing.EnrollmentsReceived, landing.UpstreamEventObserved,
		landing.StatusesReceived, landing.ProbeAckReceived:
	}
}

func (p *fakeProcess) FetchSnapshot(context.Context, []uint64) (landing.PlatformSnapshot, error) {
	p.peerReads++
	if p.peer == nil {
		return landing.PlatformSnapshot{}, trace.ConnectionProblem(nil, "no peer")
	}
	known := p.peer.policy
	return landing.PlatformSnapshot{}.WithRules(known.Rules().Rules()).WithExclusions(known.Exclusions()), nil
}

// revisions returns this revision of both rules and exclusions.
func revisions(revision uint64) landing.PolicyRevisions {
	return landing.PolicyRevisions{}.WithRules(revision).WithExclusions(revision)
}

// policyAt returns a policy with rules and exclusions of this revision.
func policyAt(revision uint64) policy.Policy {
	return policy.Policy{}.
		WithRules(landing.RoutingRules{}.WithRevision(revision)).
		WithExclusions(landing.ZoneExclusions{}.WithRevision(revision))
}

func catchUp(process *fakeProcess, platform *fakePlatform, isIsolated bool) bool {
	return New(common.New(logr.Discard(), counter.New()), platform, process, process).CatchUp(context.Background(), isIsolated)
}

// The platform's cheap stale reads show a change late. Guards against processes that all make two
// consistent reads in the same second, although a peer has the change.
func TestCatchUp_NoConsistentReadWhilePeerHasChange(t *testing.T) {
	is := is.New(t)
	const processCount = 300
	platform := &fakePlatform{recent: revisions(4), newest: revisions(5)}
	current := &fakeProcess{policy: policyAt(5)}
	for range processCount {
		process := &fakeProcess{policy: policyAt(4).WithRevisionsSeen(revisions(5)), peer: current}
		is.True(catchUp(process, platform, false))
		is.Equal(process.policy.KnownRevisions(), revisions(5))
	}
	is.Equal(platform.consistentReads, 0)
	is.Equal(platform.staleReads, 2*processCount)
}

func TestCatchUp_StopsAfterCurrentStaleRead(t *testing.T) {
	is := is.New(t)
	platform := &fakePlatform{recent: revisions(5), newest: revisions(5)}
	process := &fakeProcess{policy: policyAt(4).WithRevisionsSeen(revisions(5))}
	is.True(catchUp(process, platform, false))
	is.Equal(process.peerReads, 0)
	is.Equal(platform.consistentReads, 0)
}

func TestCatchUp_ReadsPlatformWhenNoPeerHasChange(t *testing.T) {
	is := is.New(t)
	platform := &fakePlatform{recent: revisions(4), newest: revisions(5)}
	process := &fakeProcess{policy: policyAt(4).WithRevisionsSeen(revisions(5)), peer: &fakeProcess{policy: policyAt(4)}}
	is.True(catchUp(process, platform, false))
	is.Equal(process.policy.KnownRevisions(), revisions(5))
}

func TestCatchUp_IsolatedProcessReadsEverything(t *testing.T) {
	is := is.New(t)
	platform := &fakePlatform{recent: revisions(5), newest: revisions(5)}
	process := &fakeProcess{}
	is.True(catchUp(process, platform, true))
	is.True(process.policy.IsComplete())
	is.Equal(platform.consistentReads, 0)
}

func TestCatchUp_ReadsFromPeerWhilePlatformIsUnavailable(t *testing.T) {
	is := is.New(t)
	process := &fakeProcess{peer: &fakeProcess{policy: policyAt(5)}}
	is.True(catchUp(process, &fakePlatform{isUnavailable: true}, true))
	is.Equal(process.policy.KnownRevisions(), revisions(5))
	is.True(!catchUp(&fakeProcess{}, &fakePlatform{isUnavailable: true}, true))
}

// A process outside the fleet advertises a revision that the platform does not have. Only one
// consistent read of rules and exclusions looks for it.
func TestCatchUp_LooksForUnknownRevisionOnce(t *testing.T) {
	is := is.New(t)
	platform := &fakePlatform{recent: revisions(5), newest: revisions(5)}
	process := &fakeProcess{policy: policyAt(5).WithRevisionsSeen(revisions(1 << 60)), peer: &fakeProcess{policy: policyAt(5)}}
	is.True(catchUp(process, platform, false))
	is.True(!process.policy.IsBehind())
	is.Equal(platform.consistentReads, 2)
}

// Guards against a process without subscribers that takes a stale response of before the platform's return for one of after it:
// the process ignored all exclusions until the platform had passed its revision, and other processes read the response from it
// (found by the histories of package position).
func TestCatchUp_StaleReadOfLaterEraIsNotUsed(t *testing.T) {
	is := is.New(t)
	platform := &fakePlatform{recent: revisions(9).WithEra(2), newest: revisions(5).WithEra(2)}
	process := &fakeProcess{policy: policyAt(9), peer: &fakeProcess{policy: policyAt(9)}}
	is.True(catchUp(process, platform, true))
	is.Equal(process.policy.KnownRevisions().Exclusions(), uint64(5))
	is.Equal(process.policy.KnownRevisions().Era(), uint64(2))
}

// Guards against the same at a process that has just started: the balancers took over its revision, and no later exclusion came
// into force anywhere.
func TestReadFirst_StaleReadOfLaterEraIsNotUsed(t *testing.T) {
	is := is.New(t)
	platform := &fakePlatform{recent: revisions(9).WithEra(2), newest: revisions(5).WithEra(2)}
	process := &fakeProcess{}
	reader := New(common.New(logr.Discard(), counter.New()), platform, process, process)
	is.True(reader.ReadFirst(context.Background(), time.Millisecond))
	is.Equal(process.policy.KnownRevisions().Exclusions(), uint64(5))
	is.Equal(platform.staleReads, 1) // the rules, which are ordered by their version
}

// Guards against the same at a process that knows the era and has not learned that it began a moment ago.
func TestCatchUp_ExclusionsOfStoreWithErasAreReadFromPeers(t *testing.T) {
	is := is.New(t)
	platform := &fakePlatform{recent: revisions(9).WithEra(2), newest: revisions(6).WithEra(2)}
	known := policyAt(0).WithExclusions(landing.ZoneExclusions{}.WithEra(2).WithRevision(5))
	ahead := policyAt(0).WithExclusions(landing.ZoneExclusions{}.WithEra(2).WithRevision(6))
	process := &fakeProcess{policy: known.WithRevisionsSeen(ahead.KnownRevisions()), peer: &fakeProcess{policy: ahead}}
	is.True(catchUp(process, platform, false))
	is.Equal(process.policy.KnownRevisions().Exclusions(), uint64(6))
	is.Equal(platform.staleReads+platform.consistentReads, 0)
}

// silentPeers never respond.
type silentPeers struct{}

func (silentPeers) FetchSnapshot(ctx context.Context, _ []uint64) (landing.PlatformSnapshot, error) {
	<-ctx.Done()
	return landing.PlatformSnapshot{}, ctx.Err()
}

// silentPlatform never responds.
type silentPlatform struct{}

func (silentPlatform) ReadRules(ctx context.Context, _ landing.Freshness) (landing.RoutingRules, landing.StorePosition, error) {
	<-ctx.Done()
	return landing.RoutingRules{}, landing.StorePosition{}, ctx.Err()
}

func (silentPlatform) ReadExclusions(ctx context.Context, _ landing.ZoneExclusions, _ landing.Freshness) (landing.ZoneExclusions, error) {
	<-ctx.Done()
	return landing.ZoneExclusions{}, ctx.Err()
}

// returningPlatform fails a number of reads before it responds.
type returningPlatform struct {
	fakePlatform
	failures int
}

func (p *returningPlatform) ReadRules(ctx context.Context, f landing.Freshness) (landing.RoutingRules, landing.StorePosition, error) {
	p.failures--
	p.isUnavailable = p.failures >= 0
	return p.fakePlatform.ReadRules(ctx, f)
}

// lockedProcess is a process whose control thread is used by several goroutines.
type lockedProcess struct {
	mu sync.Mutex
	fakeProcess
}

func (p *lockedProcess) Policy() policy.Policy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.policy
}

func (p *lockedProcess) Post(event landing.RelayEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fakeProcess.Post(event)
}

// After a power loss with the platform unavailable the seeds did not respond either. A sidecar waited for them while the
// platform was back, and refused the callers for 0.6 s more (deployment nosa-lb-grown, day trouble-2).
func TestReadFirst_PlatformReturnsWhilePeersAreSilent(t *testing.T) {
	is := is.New(t)
	process := &lockedProcess{}
	platform := &returningPlatform{fakePlatform: fakePlatform{recent: revisions(5), newest: revisions(5)}, failures: 3}
	r := New(common.New(logr.Discard(), counter.New()), platform, silentPeers{}, process)
	is.True(r.ReadFirst(t.Context(), time.Millisecond))
	is.True(process.Policy().IsComplete())
	is.Equal(platform.consistentReads, 0)
}

func TestReadFirst_PeerRespondsWhilePlatformIsSilent(t *testing.T) {
	is := is.New(t)
	process := &lockedProcess{}
	peer := &fakeProcess{peer: &fakeProcess{policy: policyAt(5)}}
	is.True(New(common.New(logr.Discard(), counter.New()), silentPlatform{}, peer, process).ReadFirst(t.Context(), time.Millisecond))
	is.Equal(process.Policy().KnownRevisions(), revisions(5))
}

func TestReadFirst_EndsWithContext(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(!New(common.New(logr.Discard(), counter.New()), silentPlatform{}, silentPeers{}, &lockedProcess{}).ReadFirst(ctx, time.Millisecond))
}

// All sidecars start at the same time and have the same few seeds. While the platform responds they do not ask them.
func TestReadFirst_SparesPeersWhilePlatformResponds(t *testing.T) {
	is := is.New(t)
	process := &lockedProcess{}
	peer := &fakeProcess{peer: &fakeProcess{policy: policyAt(5)}}
	platform := &fakePlatform{recent: revisions(5), newest: revisions(5)}
	is.True(New(common.New(logr.Discard(), counter.New()), platform, peer, process).ReadFirst(t.Context(), time.Minute))
	is.Equal(peer.peerReads, 0)
}
