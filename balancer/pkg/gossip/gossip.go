// Package gossip exchanges versions and news with the other balancers of the region, so that
// lists, marks and rosters reach every balancer also while the platform is down.
package gossip

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/crocuslanding/crocuslanding/balancer/pkg/keeper"
	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/control"
	"github.com/crocuslanding/crocuslanding/core/pkg/loader"
	"github.com/crocuslanding/crocuslanding/core/pkg/membership"
	"github.com/crocuslanding/crocuslanding/core/pkg/roster"
)

// roundsPerHolder is the number of rounds after which the holder of the lease is met in any case.
const roundsPerHolder = 3

// Gossip meets one peer after another.
type Gossip struct {
	common   common.Telemetry
	keeper   *keeper.ControlThread
	loader   *loader.Loader
	pool     *control.Pool
	seeds    []string
	interval time.Duration
	ctx      context.Context
	cancel   context.CancelFunc
	done     *common.Stopper
}

// New returns a gossip that meets a peer at each interval. The seeds are control addresses
// that are met while the roster names no other balancer.
func New(c common.Telemetry, k *keeper.ControlThread, l *loader.Loader, p *control.Pool, seeds []string, interval time.Duration) *Gossip {
	ctx, cancel := context.WithCancel(context.Background())
	return &Gossip{
		common:   c,
		keeper:   k,
		loader:   l,
		pool:     p,
		seeds:    seeds,
		interval: interval,
		ctx:      ctx,
		cancel:   cancel,
		done:     common.NewStopper(),
	}
}

// Start starts the rounds.
func (g *Gossip) Start() {
	g.done.Go(g.run)
}

// Stop ends all calls and waits for the goroutine.
func (g *Gossip) Stop() {
	g.done.Close()
	g.cancel()
	g.done.Wait()
}

func (g *Gossip) run() {
	ticker := time.NewTicker(g.interval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		g.keeper.Post(landing.Tick{}.WithNow(time.Now()))
		for _, address := range g.peersOf(round) {
			g.meet(address)
		}
		select {
		case <-g.done.C():
			return
		case <-ticker.C:
		}
	}
}

// peersOf returns the control addresses to meet in this round.
func (g *Gossip) peersOf(round int) []string {
	s := g.keeper.Snapshot()
	others, holder := othersOf(s)
	g.pool.CloseExcept(slices.Concat(others, g.seeds)...)
	if len(others) == 0 || round == 0 {
		return g.seeds
	}
	chosen := []string{others[rand.IntN(len(others))]}
	isDue := round%roundsPerHolder == 0 || len(membership.TargetUpdates(s.Membership())) > 0
	if isDue && holder != "" && holder != chosen[0] {
		chosen = append(chosen, holder)
	}
	if round%roundsPerHolder == 0 && holder == "" {
		chosen = append(chosen, g.seeds...)
	}
	return chosen
}

// othersOf returns the control addresses of the other balancers, and that of the lease holder among them.
func othersOf(s keeper.Snapshot) ([]string, string) {
	var others []string
	holder := ""
	for _, m := range s.Roster().Members() {
		if m.Instance() == s.Membership().Self().Instance() {
			continue
		}
		others = append(others, m.Control())
		if m.Instance() == s.Membership().RegionState().Lease().Holder() {
			holder = m.Control()
		}
	}
	return others, holder
}

func (g *Gossip) meet(address string) {
	client, err := g.pool.Client(address)
	if err != nil {
		g.common.Log().Error(err, "peer cannot be met", "address", address)
		return
	}
	s := g.keeper.Snapshot()
	x := landing.GossipRequest{}.
		WithSender(s.Membership().Self()).
		WithDigest(s.Digest()).
		WithTargetUpdates(membership.TargetUpdates(s.Membership())...).
		WithMarks(s.View().Marks())
	news, err := client.Gossip(g.ctx, x)
	if err != nil {
		g.pool.Drop(address)
		g.common.Counters().Counter("retried.gossip").Inc(1)
		return
	}
	g.take(client, news)
}

// rosterOf returns the roster that the news make of the present one; false when they bring none.
func rosterOf(news landing.StateUpdate, present landing.Roster) (landing.Roster, bool) {
	if news.RosterDelta().Serial() > 0 {
		return roster.Apply(present, news.RosterDelta())
	}
	return news.Roster(), news.Roster().Serial() > 0
}

func (g *Gossip) take(client *control.Client, news landing.StateUpdate) {
	if news.Marks().MarksLen() > 0 {
		g.keeper.Post(landing.ExclusionMarksReceived{}.WithMarks(news.Marks()))
	}
	if news.Keyring().Serial() > 0 {
		g.keeper.Post(landing.KeyringReceived{}.WithKeyring(news.Keyring()))
	}
	if r, isNew := rosterOf(news, g.keeper.Snapshot().Roster()); isNew {
		g.keeper.Post(landing.RosterRead{}.WithRoster(r).WithFromPeer(true).WithReadAt(time.Now()))
	}
	if news.Root().Serial() <= g.keeper.Snapshot().Root().Serial() {
		return
	}
	l, err := g.loader.Load(g.ctx, news.Root(), loader.Peer{Client: client})
	if err != nil {
		g.common.Counters().Counter("retried.chunks").Inc(1)
		return
	}
	g.loader.Retain(news.Root())
	g.keeper.Post(landing.ListsLoaded{}.WithRoot(news.Root()).WithLists(l))
}
