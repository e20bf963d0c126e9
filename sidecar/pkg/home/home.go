// Package home sends heartbeats to the sidecar's home balancer, and passes the control state in the
// responses to the control thread. A heartbeat contains the target, which describes the upstream as the
// roster of the region lists it. The home balancer is the balancer of the region that ranks first for this
// sidecar. When it does not answer, the others are tried in the order of their rank.
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

// avoidHeartbeats is the number of heartbeat intervals for which a balancer that did not answer is tried
// last. This is short compared with the time in which a balancer expects the first heartbeat of a target
// whose home it has become.
const avoidHeartbeats = 2

// Announcer sends the heartbeats of a sidecar.
type Announcer struct {
	telemetry     common.Telemetry
	controlThread *keeper.ControlThread
	loader        *loader.Loader
	pool          *control.Pool
	seeds         []string
	interval      time.Duration
	// failedAt holds the time of the last failed heartbeat to each control address.
	failedAt map[string]time.Time
	ctx      context.Context
	cancel   context.CancelFunc
	stopper  *common.Stopper
}

// New returns an announcer that sends a heartbeat at each interval and whenever the target changes. The
// seeds are control addresses of balancers. They are tried first while the control state contains no
// balancer, or only balancers that recently did not answer.
func New(c common.Telemetry, controlThread *keeper.ControlThread, pool *control.Pool, seeds []string, interval time.Duration) *Announcer {
	ctx, cancel := context.WithCancel(context.Background())
	return &Announcer{
		telemetry:     c,
		controlThread: controlThread,
		loader:        loader.New(),
		pool:          pool,
		seeds:         seeds,
		interval:      interval,
		failedAt:      map[string]time.Time{},
		ctx:           ctx,
		cancel:        cancel,
		stopper:       common.NewStopper(),
	}
}

// Start starts the heartbeats.
func (a *Announcer) Start() {
	a.stopper.Go(a.run)
}

// Stop ends the periodic heartbeats, waits for one in progress and announces that the target has left.
func (a *Announcer) Stop() {
	a.stopper.Close()
	a.stopper.Wait()
	t := a.controlThread.Snapshot().Target()
	a.sendHeartbeat(t.WithPhase(landing.PhaseLeft).WithChange(t.Change() + 1))
	a.cancel()
}

// Kill ends the heartbeats, also one in progress, without announcing that the target has left, and waits
// for the goroutine.
func (a *Announcer) Kill() {
	a.stopper.Close()
	a.cancel()
	a.stopper.Wait()
}

func (a *Announcer) run() {
	ticker := time.NewTicker(a.interval)
	defer ticker.Stop()
	for {
		a.sendHeartbeat(a.controlThread.Snapshot().Target())
		select {
		case <-a.stopper.C():
			return
		case <-a.controlThread.TargetChanged():
		case <-ticker.C:
		}
	}
}

// sendHeartbeat sends a heartbeat to one balancer after the other until one answers.
func (a *Announcer) sendHeartbeat(target landing.Target) {
	for _, address := range a.addresses() {
		if a.sendHeartbeatTo(address, target) {
			return
		}
		a.failedAt[address] = time.Now()
		a.telemetry.Counters().Counter("retried.heartbeat").Inc(1)
	}
}

// addresses returns the control addresses of the balancers in the order in which they are tried: the home
// balancer first, and last those that recently did not answer. It closes connections to other addresses.
func (a *Announcer) addresses() []string {
	s := a.controlThread.Snapshot()
	var answering, failing []string
	for _, balancer := range roster.RankBalancers(s.Balancers(), s.Target().Instance()) {
		if time.Since(a.failedAt[balancer.Control()]) < avoidHeartbeats*a.interval {
			failing = append(failing, balancer.Control())
		} else {
			answering = append(answering, balancer.Control())
		}
	}
	a.pool.CloseExcept(slices.Concat(answering, failing, a.seeds)...)
	if len(answering) == 0 {
		answering = a.seeds
	}
	return append(answering, failing...)
}

// sendHeartbeatTo sends a heartbeat to the balancer at this control address and passes the balancer's
// response to the control thread. It returns false when the balancer does not answer.
func (a *Announcer) sendHeartbeatTo(address string, t landing.Target) bool {
	client, err := a.pool.Client(address)
	if err != nil {
		return false
	}
	heartbeat := landing.SidecarHeartbeat{}.
		WithTarget(t).
		WithDigest(a.controlThread.Snapshot().Digest())
	update, err := client.Announce(a.ctx, heartbeat)
	if err != nil {
		a.pool.Drop(address)
		return false
	}
	a.controlThread.Post(landing.HeartbeatAnswered{}.WithUpdate(update))
	a.loadLists(client, update.Root())
	return true
}

// loadLists loads from the balancer the lists whose chunks root names, if they are newer than those in force.
func (a *Announcer) loadLists(client *control.Client, root landing.ListsRoot) {
	if root.Serial() <= a.controlThread.Snapshot().Root().Serial() {
		return
	}
	lists, err := a.loader.Load(a.ctx, root, loader.Peer{Client: client})
	if err != nil {
		a.telemetry.Counters().Counter("retried.chunks").Inc(1)
		return
	}
	a.loader.Retain(root)
	a.controlThread.Post(landing.ListsLoaded{}.WithRoot(root).WithLists(lists))
}
