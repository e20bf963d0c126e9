// Package gossip exchanges control state with the other balancers of the region, so that lists, exclusion marks, keyrings
// and rosters reach every balancer even while the platform is unavailable.
//
// Lists are the configuration that operators edit; their root names the chunks that they consist of. An exclusion mark
// takes an availability zone or an upstream out of service or puts it back. The roster contains the targets (upstreams)
// and balancers of the region. The lease decides which balancer, its holder, writes the roster to the platform, the
// service that stores these objects.
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

// holderContactRounds is the interval, in rounds, of the exchanges with the holder of the lease that take place even when
// there are no target updates for the holder, which removes balancers that it has no contact with.
const holderContactRounds = 3

// Gossip exchanges state with a few other balancers in each round.
type Gossip struct {
	telemetry common.Telemetry
	control   *keeper.ControlThread
	loader    *loader.Loader
	pool      *control.Pool
	seeds     []string
	interval  time.Duration
	ctx       context.Context
	cancel    context.CancelFunc
	stopper   *common.Stopper
}

// New returns a Gossip that starts a round at each interval. The seeds are control addresses of balancers. They are
// contacted in the first round, in each round while the roster contains no other balancer, and every holderContactRounds
// rounds while the holder of the lease is not among the other balancers of the roster.
func New(telemetry common.Telemetry, controlThread *keeper.ControlThread, l *loader.Loader, p *control.Pool, seeds []string, interval time.Duration) *Gossip {
	ctx, cancel := context.WithCancel(context.Background())
	return &Gossip{
		telemetry: telemetry,
		control:   controlThread,
		loader:    l,
		pool:      p,
		seeds:     seeds,
		interval:  interval,
		ctx:       ctx,
		cancel:    cancel,
		stopper:   common.NewStopper(),
	}
}

// Start starts the goroutine that runs the rounds.
func (g *Gossip) Start() {
	g.stopper.Go(g.run)
}

// Stop cancels the call in progress and waits until the goroutine has ended.
func (g *Gossip) Stop() {
	g.stopper.Close()
	g.cancel()
	g.stopper.Wait()
}

// run posts a tick to the control thread in each round and then exchanges state with the peers of that round.
func (g *Gossip) run() {
	ticker := time.NewTicker(g.interval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		g.control.Post(landing.Tick{}.WithNow(time.Now()))
		for _, address := range g.peersForRound(round) {
			g.exchangeState(address)
		}
		select {
		case <-g.stopper.C():
			return
		case <-ticker.C:
		}
	}
}

// peersForRound returns the control addresses of the balancers to contact in this round: usually a random one, and the
// holder of the lease when there are target updates for it or its regular contact is due. The seeds are contacted as New
// describes. peersForRound also closes connections to balancers that are neither in the roster nor seeds.
func (g *Gossip) peersForRound(round int) []string {
	s := g.control.Snapshot()
	others, holder := otherBalancers(s)
	g.pool.CloseExcept(slices.Concat(others, g.seeds)...)
	if len(others) == 0 || round == 0 {
		return g.seeds
	}
	chosen := []string{others[rand.IntN(len(others))]}
	isHolderDue := round%holderContactRounds == 0 || len(membership.TargetUpdates(s.Membership())) > 0
	if isHolderDue && holder != "" && holder != chosen[0] {
		chosen = append(chosen, holder)
	}
	if round%holderContactRounds == 0 && holder == "" {
		chosen = append(chosen, g.seeds...)
	}
	return chosen
}

// otherBalancers returns the control addresses of the other balancers in the roster, and the control address of the holder
// of the lease. The second result is empty when the holder is not one of the other balancers.
func otherBalancers(s keeper.Snapshot) ([]string, string) {
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

// exchangeState sends this balancer's digest, target updates and exclusion marks to a peer, and applies the update that
// the peer returns.
func (g *Gossip) exchangeState(address string) {
	client, err := g.pool.Client(address)
	if err != nil {
		g.telemetry.Log().Error(err, "peer cannot be met", "address", address)
		return
	}
	s := g.control.Snapshot()
	request := landing.GossipRequest{}.
		WithSender(s.Membership().Self()).
		WithDigest(s.Digest()).
		WithTargetUpdates(membership.TargetUpdates(s.Membership())...).
		WithMarks(s.View().Marks())
	update, err := client.Gossip(g.ctx, request)
	if err != nil {
		g.pool.Drop(address)
		g.telemetry.Counters().Counter("retried.gossip").Inc(1)
		return
	}
	g.applyUpdate(client, update)
}

// updatedRoster returns the roster that results from the update. It returns false when the update contains neither a
// roster nor a delta, or when the delta does not apply to the current roster.
func updatedRoster(update landing.StateUpdate, current landing.Roster) (landing.Roster, bool) {
	if update.RosterDelta().Serial() > 0 {
		return roster.Apply(current, update.RosterDelta())
	}
	return update.Roster(), update.Roster().Serial() > 0
}

// applyUpdate posts the state in the update to the control thread. Before it posts newer lists, it fetches their missing
// chunks from the peer.
func (g *Gossip) applyUpdate(client *control.Client, update landing.StateUpdate) {
	if update.Marks().MarksLen() > 0 {
		g.control.Post(landing.ExclusionMarksReceived{}.WithMarks(update.Marks()))
	}
	if update.Keyring().Serial() > 0 {
		g.control.Post(landing.KeyringReceived{}.WithKeyring(update.Keyring()))
	}
	if r, isNew := updatedRoster(update, g.control.Snapshot().Roster()); isNew {
		g.control.Post(landing.RosterRead{}.WithRoster(r).WithFromPeer(true).WithReadAt(time.Now()))
	}
	if update.Root().Serial() <= g.control.Snapshot().Root().Serial() {
		return
	}
	lists, err := g.loader.Load(g.ctx, update.Root(), loader.Peer{Client: client})
	if err != nil {
		g.telemetry.Counters().Counter("retried.chunks").Inc(1)
		return
	}
	g.loader.Retain(update.Root())
	g.control.Post(landing.ListsLoaded{}.WithRoot(update.Root()).WithLists(lists))
}
