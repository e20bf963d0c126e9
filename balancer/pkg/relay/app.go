// Package relay is the balancer on a platform whose upstreams end flows themselves: packets pass whole, along
// chains of sidecars.
package relay

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/form"
	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/finding"
	"github.com/crocuslanding/crocuslanding/core/pkg/launch"
	"github.com/crocuslanding/crocuslanding/core/pkg/peer"
	"github.com/crocuslanding/crocuslanding/core/pkg/reader"
	"github.com/crocuslanding/crocuslanding/core/pkg/scrape"
	"github.com/crocuslanding/crocuslanding/core/pkg/serve"
	"github.com/crocuslanding/crocuslanding/core/pkg/settings"
	"github.com/crocuslanding/crocuslanding/platform"
)

// Run runs the program until it is asked to stop, and ends the process.
func Run() {
	var path string
	var s landing.RelayBalancerSettings
	launch.Run(launch.Program{
		Name: "balancer",
		Read: func(at string) (string, uint32, []landing.Finding) {
			var findings []landing.Finding
			path = at
			s, findings = readSettings(path)
			return s.Instance(), s.Verbosity(), findings
		},
		Serve: func(ctx context.Context, c common.Telemetry, reload <-chan os.Signal) error {
			again := func() (landing.RelayBalancerSettings, []landing.Finding) { return readSettings(path) }
			return Serve(ctx, c, s, SettingsReload{Requests: reload, Read: again})
		},
	}, os.Args[1:])
}

// readSettings reads and checks the settings file.
func readSettings(path string) (landing.RelayBalancerSettings, []landing.Finding) {
	r := reader.Open(path)
	s := form.ReadRelayBalancerSettings(r)
	settings.CheckRelayBalancer(s, r.AddFinding)
	return s, r.Findings()
}

// SettingsReload is how a balancer reads its settings again.
type SettingsReload struct {
	// Asked receives when the settings have changed.
	Requests <-chan os.Signal
	// Read reads them.
	Read func() (landing.RelayBalancerSettings, []landing.Finding)
}

// Serve runs a balancer until ctx ends, and then for as long as the routers may take to turn away.
// It returns an error when an address cannot be used.
func Serve(ctx context.Context, c common.Telemetry, s landing.RelayBalancerSettings, reload SettingsReload) error {
	b, err := New(c, s)
	if err != nil {
		return err
	}
	b.Start()
	c.Log().Info("balancer started", "front", s.Front(), "fleet", s.Fleet())
	for {
		select {
		case <-reload.Requests:
			b.reload(reload.Read())
		case <-ctx.Done():
			b.Drain(s.Leave())
			b.Stop()
			c.Log().Info("balancer stopped")
			return nil
		}
	}
}

// reload takes over what can change while the process runs: the seeds. All else holds from the next start.
func (b *Balancer) reload(s landing.RelayBalancerSettings, findings []landing.Finding) {
	for _, f := range findings {
		b.common.Log().Info("settings cannot be used", "finding", finding.Format(f))
	}
	if len(findings) == 0 {
		b.sync.peers.SetSeeds(s.Seeds())
		b.common.Log().Info("settings read again", "seeds", s.Seeds())
	}
}

// Balancer is one balancer with all its parts.
type Balancer struct {
	common  common.Telemetry
	keeper  *ControlThread
	traffic *Forwarder
	sync    *PlatformSync
	prover  *OrphanResetter
	reaper  *Reaper
	store   *platform.StoreClient
	servers []*serve.Server
	scrape  *scrape.Server
}

// New returns a balancer whose sockets are open. It returns an error when an address cannot be used.
func New(c common.Telemetry, s landing.RelayBalancerSettings) (*Balancer, error) {
	fleet, err := netip.ParseAddrPort(s.Fleet())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	b := &Balancer{common: c}
	b.keeper = NewControlThread(c, address.PackAddrPort(fleet), func(hop, born uint64) { b.traffic.resetLost(hop, born) })
	nobodies := make(chan nobody, maxProofs)
	traffic, err := NewForwarder(c, s, b.keeper, nobodies)
	if err != nil {
		return nil, err
	}
	b.traffic = traffic
	if err := b.listen(s); err != nil {
		traffic.Stop()
		return nil, err
	}
	count := func(call, outcome string) { c.Counters().Counter("store." + call + "." + outcome).Inc(1) }
	malformed := func(err error) { c.Log().Info("object cannot be read", "error", err.Error()) }
	b.store = platform.NewStoreClient(s.Platform(), count, malformed)
	b.sync = NewPlatformSync(c, s, b.keeper, b.store, traffic)
	b.prover = NewOrphanResetter(c, b.keeper, b.store, traffic, nobodies)
	b.reaper = NewReaper(c, b.keeper, b.store, traffic)
	return b, nil
}

func (b *Balancer) listen(s landing.RelayBalancerSettings) error {
	handlers := map[string]http.Handler{
		s.Readiness(): platform.NewReadinessHandler(func() bool { return b.keeper.Snapshot().IsReady(time.Now()) }),
		s.Fleet(): peer.NewHandler(func() (landing.PlatformSnapshot, bool) {
			snapshot := b.keeper.Snapshot()
			return snapshot.PlatformSnapshot(), snapshot.HasInitialState()
		}),
	}
	for address, handler := range handlers {
		server, err := serve.New(address, handler)
		if err != nil {
			b.stopServers()
			return err
		}
		b.servers = append(b.servers, server)
	}
	metrics, err := scrape.New(s.Metrics(), b.common.Counters())
	b.scrape = metrics
	if err != nil {
		b.stopServers()
	}
	return err
}

// Start starts all parts.
func (b *Balancer) Start() {
	b.keeper.Start()
	b.traffic.Start()
	for _, s := range b.servers {
		s.Start()
	}
	b.scrape.Start()
	b.sync.Start()
	b.prover.Start()
	b.reaper.Start()
}

// Drain tells the routers to turn away and goes on serving for this time.
func (b *Balancer) Drain(d time.Duration) {
	b.common.Log().Info("balancer leaves", "after", d.String())
	b.keeper.Update(Snapshot.WithDraining)
	timer := time.NewTimer(d)
	defer timer.Stop()
	<-timer.C
}

// Stop stops all parts and waits for them.
func (b *Balancer) Stop() {
	b.sync.Stop()
	b.prover.Stop()
	b.reaper.Stop()
	b.stopServers()
	b.scrape.Stop()
	b.traffic.Stop()
	b.keeper.Stop()
	b.store.Close()
}

func (b *Balancer) stopServers() {
	for _, s := range b.servers {
		s.Stop()
	}
}
