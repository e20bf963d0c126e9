// Package app puts the parts of a balancer together.
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

// Run runs the program until it is asked to stop, and ends the process.
func Run() {
	m := &landingpb.BalancerSettings{}
	program.ReadSettings("balancer", os.Args[1:], m, func(report func(place, fault string)) {
		settings.CheckBalancer(codec.DecodeBalancerSettings(m), report)
	})
	s := codec.DecodeBalancerSettings(m)
	c := common.New(common.NewLogger(os.Stderr, s.Instance(), int(s.Verbosity())), counter.New())
	ctx, cancel := program.SignalContext()
	defer cancel()
	program.Exit(Serve(ctx, c, s))
}

// Serve runs a balancer until ctx ends. It returns an error when an address cannot be used.
func Serve(ctx context.Context, c common.Telemetry, s landing.BalancerSettings) error {
	b, err := New(c, s)
	if err != nil {
		return err
	}
	b.Start()
	c.Log().Info("balancer started", "front", s.Front(), "control", s.Control())
	<-ctx.Done()
	b.Stop()
	c.Log().Info("balancer stopped")
	return nil
}

// Balancer is one balancer with all its parts.
type Balancer struct {
	settings landing.BalancerSettings
	keeper   *keeper.ControlThread
	front    *front.Forwarder
	store    *store.PlatformSync
	gossip   *gossip.Gossip
	pool     *control.Pool
	scrape   *scrape.Server
	listener net.Listener
	grpc     *grpc.Server
	done     *common.Stopper
}

// New returns a balancer whose sockets are open. It returns an error when an address cannot be used.
func New(c common.Telemetry, s landing.BalancerSettings) (*Balancer, error) {
	creds, err := identity.New(s.Identity(), c.Counters())
	if err != nil {
		return nil, err
	}
	now := time.Now()
	self := landing.Balancer{}.
		WithInstance(s.Instance()).
		WithZone(s.Zone()).
		WithControl(s.Control()).
		WithIncarnation(uint64(now.UnixNano()))
	k := keeper.New(c, membership.New(self, s.Region(), s.Expiry()))
	f, err := front.New(c, s.Front(), func() (*route.View, *envelope.Keys) {
		s := k.Snapshot()
		return s.View(), s.Keys()
	})
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", s.Control())
	if err != nil {
		f.Stop()
		return nil, trace.Wrap(err)
	}
	metrics, err := scrape.New(s.Metrics(), c.Counters())
	if err != nil {
		f.Stop()
		_ = listener.Close()
		return nil, err
	}
	l := loader.New()
	pool := control.NewPool(creds)
	server := control.NewGRPCServer(creds, serve.New(c, k, l))
	return &Balancer{
		settings: s,
		keeper:   k,
		front:    f,
		store:    store.New(c, platform.New(s.Platform()), k, l, s.Region()),
		gossip:   gossip.New(c, k, l, pool, s.Peers(), s.Gossip()),
		pool:     pool,
		scrape:   metrics,
		listener: listener,
		grpc:     server,
		done:     common.NewStopper(),
	}, nil
}

// Start starts all parts.
func (b *Balancer) Start() {
	b.keeper.Start()
	b.scrape.Start()
	b.store.Start()
	b.gossip.Start()
	b.done.Go(func() { _ = b.grpc.Serve(b.listener) })
	b.front.Start(workerCount(b.settings))
}

// Stop stops all parts and waits for them.
func (b *Balancer) Stop() {
	b.front.Stop()
	b.gossip.Stop()
	b.grpc.Stop()
	b.done.Wait()
	b.store.Stop()
	b.pool.Close()
	b.scrape.Stop()
	b.keeper.Stop()
}

// Snapshot returns the control state.
func (b *Balancer) Snapshot() keeper.Snapshot {
	return b.keeper.Snapshot()
}

func workerCount(s landing.BalancerSettings) int {
	if s.Workers() > 0 {
		return int(s.Workers())
	}
	return max(runtime.NumCPU()/coresPerWorker, 1)
}
