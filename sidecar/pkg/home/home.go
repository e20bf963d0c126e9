// Package home announces the target to its home balancer and takes the news from it.
package home

import (
	"context"
	"slices"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/control"
	"github.com/crocuslanding/crocuslanding/core/pkg/loader"
	"github.com/crocuslanding/crocuslanding/core/pkg/roster"
	"github.com/crocuslanding/crocuslanding/sidecar/pkg/keeper"
)

// avoidBeats is the number of heartbeats for which a balancer that did not answer is asked last. It is
// short against the time that a balancer gives its new targets to turn to it.
const avoidBeats = 2

// Home sends heartbeats.
type Home struct {
	common   common.Telemetry
	keeper   *keeper.ControlThread
	loader   *loader.Loader
	pool     *control.Pool
	seeds    []string
	interval time.Duration
	failed   map[string]time.Time
	ctx      context.Context
	cancel   context.CancelFunc
	done     *common.Stopper
}

// New returns a home that sends a heartbeat at each interval. The seeds are control
// addresses of balancers that are asked while no other is known.
func New(c common.Telemetry, k *keeper.ControlThread, p *control.Pool, seeds []string, interval time.Duration) *Home {
	ctx, cancel := context.WithCancel(context.Background())
	return &Home{
		common:   c,
		keeper:   k,
		loader:   loader.New(),
		pool:     p,
		seeds:    seeds,
		interval: interval,
		failed:   map[string]time.Time{},
		ctx:      ctx,
		cancel:   cancel,
		done:     common.NewStopper(),
	}
}

// Start starts the heartbeats.
func (h *Home) Start() {
	h.done.Go(h.run)
}

// Stop announces that the target has left, ends all calls and waits for the goroutine.
func (h *Home) Stop() {
	h.done.Close()
	h.done.Wait()
	t := h.keeper.Snapshot().Target()
	h.beat(t.WithPhase(landing.PhaseLeft).WithChange(t.Change() + 1))
	h.cancel()
}

// Kill ends all calls and waits for the goroutine, without an announcement.
func (h *Home) Kill() {
	h.done.Close()
	h.cancel()
	h.done.Wait()
}

func (h *Home) run() {
	ticker := time.NewTicker(h.interval)
	defer ticker.Stop()
	for {
		h.beat(h.keeper.Snapshot().Target())
		select {
		case <-h.done.C():
			return
		case <-h.keeper.Changed():
		case <-ticker.C:
		}
	}
}

// beat sends one heartbeat to the first balancer that answers.
func (h *Home) beat(t landing.Target) {
	for _, address := range h.addresses() {
		if h.beatTo(address, t) {
			return
		}
		h.failed[address] = time.Now()
		h.common.Counters().Counter("retried.heartbeat").Inc(1)
	}
}

// addresses returns the control addresses of the balancers in the order in which they are asked:
// the home first, those that did not answer lately last.
func (h *Home) addresses() []string {
	s := h.keeper.Snapshot()
	var good, bad []string
	for _, m := range roster.RankBalancers(s.Balancers(), s.Target().Instance()) {
		if time.Since(h.failed[m.Control()]) < avoidBeats*h.interval {
			bad = append(bad, m.Control())
		} else {
			good = append(good, m.Control())
		}
	}
	h.pool.CloseExcept(slices.Concat(good, bad, h.seeds)...)
	if len(good) == 0 {
		good = h.seeds
	}
	return append(good, bad...)
}

func (h *Home) beatTo(address string, t landing.Target) bool {
	client, err := h.pool.Client(address)
	if err != nil {
		return false
	}
	heartbeat := landing.SidecarHeartbeat{}.
		WithTarget(t).
		WithDigest(h.keeper.Snapshot().Digest())
	news, err := client.Announce(h.ctx, heartbeat)
	if err != nil {
		h.pool.Drop(address)
		return false
	}
	h.keeper.Post(landing.HeartbeatAnswered{}.WithUpdate(news))
	h.load(client, news.Root())
	return true
}

func (h *Home) load(client *control.Client, root landing.ListsRoot) {
	if root.Serial() <= h.keeper.Snapshot().Root().Serial() {
		return
	}
	l, err := h.loader.Load(h.ctx, root, loader.Peer{Client: client})
	if err != nil {
		h.common.Counters().Counter("retried.chunks").Inc(1)
		return
	}
	h.loader.Retain(root)
	h.keeper.Post(landing.ListsLoaded{}.WithRoot(root).WithLists(l))
}
