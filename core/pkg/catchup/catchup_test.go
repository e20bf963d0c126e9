package catchup

import (
	"context"
	"testing"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/counter"
	"github.com/crocuslanding/crocuslanding/core/pkg/policy"
)

// platform is a store whose recent state lags behind, and which may be away.
type platform struct {
	recent, newest landing.PolicyRevisions
	isAway         bool
	full, cheap    int
}

func (p *platform) read(f landing.Freshness) (landing.PolicyRevisions, error) {
	if p.isAway {
		return landing.PolicyRevisions{}, trace.ConnectionProblem(nil, "away")
	}
	if f == landing.FreshnessRecent {
		p.cheap++
		return p.recent, nil
	}
	p.full++
	return p.newest, nil
}

func (p *platform) ReadRules(_ context.Context, f landing.Freshness) (landing.RoutingRules, uint64, error) {
	r, err := p.read(f)
	return landing.RoutingRules{}.WithRevision(r.Rules()), r.Rules(), err
}

func (p *platform) ReadExclusions(_ context.Context, _ landing.ZoneExclusions, f landing.Freshness) (landing.ZoneExclusions, error) {
	r, err := p.read(f)
	return landing.ZoneExclusions{}.WithRevision(r.Exclusions()), err
}

// process is one process of the fleet, with its control thread and the way to a peer.
type process struct {
	policy policy.Policy
	peer   *process
	asked  int
}

func (p *process) Policy() policy.Policy { return p.policy }
func (p *process) PeersAhead() []uint64  { return []uint64{1} }
func (p *process) Await()                {}

func (p *process) Post(c landing.RelayEvent) {
	switch c := c.(type) {
	case landing.RulesReceived:
		p.policy = p.policy.WithRules(c.Rules())
	case landing.ExclusionsReceived:
		p.policy = p.policy.WithExclusions(c.Exclusions())
	case landing.ConsistentReadEnded:
		p.policy = p.policy.WithConsistentRead(c.WantedAtStart())
	case landing.SubscriptionReceived, landing.ProbesSent, landing.RevisionsSeen, landing.EnrollmentsReceived, landing.UpstreamEventObserved,
		landing.StatusesReceived, landing.ProbeAckReceived:
	}
}

func (p *process) FetchSnapshot(context.Context, []uint64) (landing.PlatformSnapshot, error) {
	p.asked++
	if p.peer == nil {
		return landing.PlatformSnapshot{}, trace.ConnectionProblem(nil, "no peer")
	}
	known := p.peer.policy
	return landing.PlatformSnapshot{}.WithRules(known.Rules().Rules()).WithExclusions(known.Exclusions()), nil
}

func at(revision uint64) landing.PolicyRevisions {
	return policy.NewRevisions(revision, revision)
}

func knowing(revision uint64) policy.Policy {
	return policy.Policy{}.
		WithRules(landing.RoutingRules{}.WithRevision(revision)).
		WithExclusions(landing.ZoneExclusions{}.WithRevision(revision))
}

func read(p *process, s *platform, isAlone bool) bool {
	return New(common.New(logr.Discard(), counter.New()), s, p, p).CatchUp(context.Background(), isAlone)
}

// A change comes to a fleet whose platform shows it late to those who take a cheap answer: each of the processes that
// were behind made two full calls, all in the same second.
func TestChangeCostsThePlatformNoFullCallWhileAPeerHasIt(t *testing.T) {
	is := is.New(t)
	const fleet = 300
	s := &platform{recent: at(4), newest: at(5)}
	first := &process{policy: knowing(5)}
	for range fleet {
		p := &process{policy: knowing(4).WithRevisionsSeen(at(5)), peer: first}
		is.True(read(p, s, false))
		is.Equal(p.policy.KnownRevisions(), at(5))
	}
	is.Equal(s.full, 0)
	is.Equal(s.cheap, 2*fleet)
}

func TestRecentCopyThatIsNewEnoughEndsTheSearch(t *testing.T) {
	is := is.New(t)
	s := &platform{recent: at(5), newest: at(5)}
	p := &process{policy: knowing(4).WithRevisionsSeen(at(5))}
	is.True(read(p, s, false))
	is.Equal(p.asked, 0)
	is.Equal(s.full, 0)
}

func TestPlatformIsReadWhenNoPeerHasTheChange(t *testing.T) {
	is := is.New(t)
	s := &platform{recent: at(4), newest: at(5)}
	p := &process{policy: knowing(4).WithRevisionsSeen(at(5)), peer: &process{policy: knowing(4)}}
	is.True(read(p, s, false))
	is.Equal(p.policy.KnownRevisions(), at(5))
}

func TestProcessThatIsAloneReadsAll(t *testing.T) {
	is := is.New(t)
	s := &platform{recent: at(5), newest: at(5)}
	p := &process{}
	is.True(read(p, s, true))
	is.True(p.policy.IsComplete())
	is.Equal(s.full, 0)
}

func TestPeerIsAskedWhileThePlatformIsAway(t *testing.T) {
	is := is.New(t)
	p := &process{peer: &process{policy: knowing(5)}}
	is.True(read(p, &platform{isAway: true}, true))
	is.Equal(p.policy.KnownRevisions(), at(5))
	is.True(!read(&process{}, &platform{isAway: true}, true))
}

func TestRevisionOfAStrangerIsLookedForOnce(t *testing.T) {
	is := is.New(t)
	s := &platform{recent: at(5), newest: at(5)}
	p := &process{policy: knowing(5).WithRevisionsSeen(at(1 << 60)), peer: &process{policy: knowing(5)}}
	is.True(read(p, s, false))
	is.True(!p.policy.IsBehind())
	is.Equal(s.full, 2)
}
