// Package app assembles a balancer from its control thread, its forwarder and its connections to the platform and to
// other balancers. The platform is the service outside the fleet that stores the shared objects.
package app

import (
	"context"
	"net"
	"os"
	"runtime"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/grpc"

	"github.com/crocuslanding/crocuslanding/balancer/pkg/front"
	"github.com/crocuslanding/crocuslanding/balancer/pkg/gossip"
	"github.com/crocuslanding/crocuslanding/balancer/pkg/keeper"
	"github.com/crocuslanding/crocuslanding/balancer/pkg/serve"
	"github.com/crocuslanding/crocuslanding/balancer/pkg/store"
	"github.com/crocuslanding/crocuslanding/core/gen/codec"
	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/gen/landingpb"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/control"
	"github.com/crocuslanding/crocuslanding/core/pkg/counter"
	"github.com/crocuslanding/crocuslanding/core/pkg/envelope"
	"github.com/crocuslanding/crocuslanding/core/pkg/identity"
	"github.com/crocuslanding/crocuslanding/core/pkg/loader"
	"github.com/crocuslanding/crocuslanding/core/pkg/membership"
	"github.com/crocuslanding/crocuslanding/core/pkg/platform"
	"github.com/crocuslanding/crocuslanding/core/pkg/program"
	"github.com/crocuslanding/crocuslanding/core/pkg/route"
	"github.com/crocuslanding/crocuslanding/core/pkg/scrape"
	"github.com/crocuslanding/crocuslanding/core/pkg/settings"
)

const coresPerWorker = 2

// Run runs the program until it receives a signal to stop, and then exits the process.
func Run() {
	m := &landingpb.BalancerSettings{}
	program.ReadSettings("balancer", os.Args[1:], m, func(report func(place, fault string)) {
		settings.CheckBalancer(codec.DecodeBalancerSettings(m), report)
	})
	s := codec.DecodeBalancerSettings(m)
	telemetry := common.New(common.NewLogger(os.Stderr, s.Instance(), int(s.Verbosity())), counter.New())
	ctx, cancel := program.SignalContext()
	defer cancel()
	program.Exit(Serve(ctx, telemetry, s))
}

// Serve runs a balancer until ctx ends. It returns an error when an address cannot be used.
func Serve(ctx context.Context, telemetry common.Telemetry, s landing.BalancerSettings) error {
	b, err := New(telemetry, s)
	if err != nil {
		return err
	}
	b.Start()
	telemetry.Log().Info("balancer started", "front", s.Front(), "control", s.Control())
	<-ctx.Done()
	b.Stop()
	telemetry.Log().Info("balancer stopped")
	return nil
}

// Balancer is one balancer: its control thread, its sockets and the goroutines that use them.
type Balancer struct {
	settings     landing.BalancerSettings
	control      *keeper.ControlThread
	forwarder    *front.Forwarder
	platformSync *store.PlatformSync
	gossip       *gossip.Gossip
	pool         *control.Pool
	metrics      *scrape.Server
	listener     net.Listener
	server       *grpc.Server
	stopper      *common.Stopper
}

// New returns a balancer whose sockets are open. It returns an error when an address cannot be used.
func New(telemetry common.Telemetry, s landing.BalancerSettings) (*Balancer, error) {
	creds, err := identity.New(s.Identity(), telemetry.Counters())
	if err != nil {
		return nil, err
	}
	now := time.Now()
	self := landing.Balancer{}.
		WithInstance(s.Instance()).
		WithZone(s.Zone()).
		WithControl(s.Control()).
		WithIncarnation(uint64(now.UnixNano()))
	controlThread := keeper.New(telemetry, membership.New(self, s.Region(), s.Expiry()))
	forwarder, err := front.New(telemetry, s.Front(), func() (*route.View, *envelope.Keys) {
		snapshot := controlThread.Snapshot()
		return snapshot.View(), snapshot.Keys()
	})
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", s.Control())
	if err != nil {
		forwarder.Stop()
		return nil, trace.Wrap(err)
	}
	metrics, err := scrape.New(s.Metrics(), telemetry.Counters())
	if err != nil {
		forwarder.Stop()
		_ = listener.Close()
		return nil, err
	}
	l := loader.New()
	pool := control.NewPool(creds)
	server := control.NewGRPCServer(creds, serve.New(telemetry, controlThread, l))
	return &Balancer{
		settings:     s,
		control:      controlThread,
		forwarder:    forwarder,
		platformSync: store.New(telemetry, platform.New(s.Platform()), controlThread, l, s.Region()),
		gossip:       gossip.New(telemetry, controlThread, l, pool, s.Peers(), s.Gossip()),
		pool:         pool,
		metrics:      metrics,
		listener:     listener,
		server:       server,
		stopper:      common.NewStopper(),
	}, nil
}

// Start starts the control thread, the servers and all goroutines. The workers that forward packets start last.
func (b *Balancer) Start() {
	b.control.Start()
	b.metrics.Start()
	b.platformSync.Start()
	b.gossip.Start()
	b.stopper.Go(func() { _ = b.server.Serve(b.listener) })
	b.forwarder.Start(workerCount(b.settings))
}

// Stop stops everything that Start started and waits until it has ended. The workers stop first, and the control thread
// last.
func (b *Balancer) Stop() {
	b.forwarder.Stop()
	b.gossip.Stop()
	b.server.Stop()
	b.stopper.Wait()
	b.platformSync.Stop()
	b.pool.Close()
	b.metrics.Stop()
	b.control.Stop()
}

// Snapshot returns the newest control state.
func (b *Balancer) Snapshot() keeper.Snapshot {
	return b.control.Snapshot()
}

// workerCount returns the configured number of workers. By default it is half the number of CPU cores, but at least one.
func workerCount(s landing.BalancerSettings) int {
	if s.Workers() > 0 {
		return int(s.Workers())
	}
	return max(runtime.NumCPU()/coresPerWorker, 1)
}
