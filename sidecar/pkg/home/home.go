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
const avoidHeartbeats = 2

// Home sends heartbeats.
type Announcer struct {
	telemetry common.Telemetry
	control   *keeper.ControlThread
	loader    *loader.Loader
	pool      *control.Pool
	seeds     []string
	interval  time.Duration
	failedAt  map[string]time.Time
	ctx       context.Context
	cancel    context.CancelFunc
	stopper   *common.Stopper
}

// New returns a home that sends a heartbeat at each interval. The seeds are control
// addresses of balancers that are asked while no other is known.
func New(c common.Telemetry, k *keeper.ControlThread, p *control.Pool, seeds []string, interval time.Duration) *Announcer {
	ctx, cancel := context.WithCancel(context.Background())
	return &Announcer{
		telemetry: c,
		control:   k,
		loader:    loader.New(),
		pool:      p,
		seeds:     seeds,
		interval:  interval,
		failedAt:  map[string]time.Time{},
		ctx:       ctx,
		cancel:    cancel,
		stopper:   common.NewStopper(),
	}
}

// Start starts the heartbeats.
func (h *Announcer) Start() {
	h.stopper.Go(h.run)
}

// Stop announces that the target has left, ends all calls and waits for the goroutine.
func (h *Announcer) Stop() {
	h.stopper.Close()
	h.stopper.Wait()
	t := h.control.Snapshot().Target()
	h.sendHeartbeat(t.WithPhase(landing.PhaseLeft).WithChange(t.Change() + 1))
	h.cancel()
}

// Kill ends all calls and waits for the goroutine, without an announcement.
func (h *Announcer) Kill() {
	h.stopper.Close()
	h.cancel()
	h.stopper.Wait()
}

func (h *Announcer) run() {
	ticker := time.NewTicker(h.interval)
	defer ticker.Stop()
	for {
		h.sendHeartbeat(h.control.Snapshot().Target())
		select {
		case <-h.stopper.C():
			return
		case <-h.control.TargetChanged():
		case <-ticker.C:
		}
	}
}

// beat sends one heartbeat to the first balancer that answers.
func (h *Announcer) sendHeartbeat(t landing.Target) {
	for _, address := range h.addresses() {
		if h.sendHeartbeatTo(address, t) {
			return
		}
		h.failedAt[address] = time.Now()
		h.telemetry.Counters().Counter("retried.heartbeat").Inc(1)
	}
}

// addresses returns the control addresses of the balancers in the order in which they are asked:
// the home first, those that did not answer lately last.
func (h *Announcer) addresses() []string {
	s := h.control.Snapshot()
	var good, bad []string
	for _, m := range roster.RankBalancers(s.Balancers(), s.Target().Instance()) {
		if time.Since(h.failedAt[m.Control()]) < avoidHeartbeats*h.interval {
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

func (h *Announcer) sendHeartbeatTo(address string, t landing.Target) bool {
	client, err := h.pool.Client(address)
	if err != nil {
		return false
	}
	heartbeat := landing.SidecarHeartbeat{}.
		WithTarget(t).
		WithDigest(h.control.Snapshot().Digest())
	news, err := client.Announce(h.ctx, heartbeat)
	if err != nil {
		h.pool.Drop(address)
		return false
	}
	h.control.Post(landing.HeartbeatAnswered{}.WithUpdate(news))
	h.loadLists(client, news.Root())
	return true
}

func (h *Announcer) loadLists(client *control.Client, root landing.ListsRoot) {
	if root.Serial() <= h.control.Snapshot().Root().Serial() {
		return
	}
	l, err := h.loader.Load(h.ctx, root, loader.Peer{Client: client})
	if err != nil {
		h.telemetry.Counters().Counter("retried.chunks").Inc(1)
		return
	}
	h.loader.Retain(root)
	h.control.Post(landing.ListsLoaded{}.WithRoot(root).WithLists(l))
}
