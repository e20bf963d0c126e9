// Package relay implements the balancer of the relay path. On this path upstreams terminate TCP themselves, and the
// balancer forwards whole IP packets along chains of sidecars.
//
// The fleet is all balancers and sidecars. The platform is the service outside the fleet that stores the routing rules,
// the zone exclusions and an enrollment for each sidecar, its entry in the list of sidecars. Rules and exclusions together
// are the policy. A revision is a value of the counter with which the platform orders changes; processes advertise the
// revisions that they have in force in the datagrams that they send.
//
// A chain lists the sidecars, called hops, to which a packet goes one after another until one accepts it. A long chain is
// divided into parts, between which the packet returns to the balancer. A walk is a chain over all sidecars, which finds
// the one that holds a flow. A sidecar claims a flow when it tells a balancer that its upstream holds the flow. A copy is
// one transmission of an opening packet (a SYN) by the caller, the first one or a repetition.
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
	"github.com/crocuslanding/crocuslanding/core/pkg/clock"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/finding"
	"github.com/crocuslanding/crocuslanding/core/pkg/launch"
	"github.com/crocuslanding/crocuslanding/core/pkg/pace"
	"github.com/crocuslanding/crocuslanding/core/pkg/peer"
	"github.com/crocuslanding/crocuslanding/core/pkg/reader"
	"github.com/crocuslanding/crocuslanding/core/pkg/scrape"
	"github.com/crocuslanding/crocuslanding/core/pkg/serve"
	"github.com/crocuslanding/crocuslanding/core/pkg/settings"
	"github.com/crocuslanding/crocuslanding/platform"
)

// Run runs the program until it receives a signal to stop, and then exits the process.
func Run() {
	var path string
	var s landing.RelayBalancerSettings
	launch.Run(launch.Program{
		Name: "balancer",
		Read: func(settingsPath string) (string, uint32, []landing.Finding) {
			var findings []landing.Finding
			path = settingsPath
			s, findings = readSettings(path)
			return s.Instance(), s.Verbosity(), findings
		},
		Serve: func(ctx context.Context, telemetry common.Telemetry, reload <-chan os.Signal) error {
			reread := func() (landing.RelayBalancerSettings, []landing.Finding) { return readSettings(path) }
			return Serve(ctx, telemetry, s, SettingsReload{Requests: reload, Read: reread})
		},
	}, os.Args[1:])
}

// readSettings reads and checks the settings file. It returns a finding for each fault.
func readSettings(path string) (landing.RelayBalancerSettings, []landing.Finding) {
	r := reader.Open(path)
	s := form.ReadRelayBalancerSettings(r)
	settings.CheckRelayBalancer(s, r.AddFinding)
	return s, r.Findings()
}

// SettingsReload tells a running balancer when and how to reload its settings.
type SettingsReload struct {
	// Requests receives a signal for each request to reload the settings.
	Requests <-chan os.Signal
	// Read reads and checks the settings. It returns a finding for each fault.
	Read func() (landing.RelayBalancerSettings, []landing.Finding)
}

// Serve runs a balancer until ctx ends. It then drains the balancer for the leave time of the settings, in which the
// routers between callers and balancers stop sending packets to it. It returns an error when an address cannot be used.
func Serve(ctx context.Context, telemetry common.Telemetry, s landing.RelayBalancerSettings, reload SettingsReload) error {
	b, err := New(telemetry, s)
	if err != nil {
		return err
	}
	b.Start()
	telemetry.Log().Info("balancer started", "front", s.Front(), "fleet", s.Fleet())
	for {
		select {
		case <-reload.Requests:
			b.applySettings(reload.Read())
		case <-ctx.Done():
			b.Drain(s.Leave())
			b.Stop()
			telemetry.Log().Info("balancer stopped")
			return nil
		}
	}
}

// applySettings applies the seeds, the only setting that can change while the process runs. All others take effect at
// the next start. When there are findings, it logs them and changes nothing.
func (b *Balancer) applySettings(s landing.RelayBalancerSettings, findings []landing.Finding) {
	for _, f := range findings {
		b.telemetry.Log().Info("settings cannot be used", "finding", finding.Format(f))
	}
	if len(findings) == 0 {
		b.platformSync.peers.SetSeeds(s.Seeds())
		b.telemetry.Log().Info("settings read again", "seeds", s.Seeds())
	}
}

// Balancer is one balancer: its control thread, its sockets and the goroutines that use them.
type Balancer struct {
	telemetry      common.Telemetry
	control        *ControlThread
	forwarder      *Forwarder
	platformSync   *PlatformSync
	orphanResetter *OrphanResetter
	reaper         *Reaper
	store          *platform.StoreClient
	servers        []*serve.Server
	metrics        *scrape.Server
}

// New returns a balancer whose sockets are open. It returns an error when an address cannot be used.
func New(telemetry common.Telemetry, s landing.RelayBalancerSettings) (*Balancer, error) {
	fleet, err := netip.ParseAddrPort(s.Fleet())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	b := &Balancer{telemetry: telemetry}
	b.control = NewControlThread(telemetry, address.PackAddrPort(fleet), pace.Retention(s.Stretch()), func(sidecarAddress, startMillis uint64) {
		b.forwarder.resetFlowsOfEndedProcesses(sidecarAddress, startMillis)
	})
	orphanCandidates := make(chan orphanCandidate, maxOrphanCandidates)
	forwarder, err := NewForwarder(telemetry, s, b.control, orphanCandidates)
	if err != nil {
		return nil, err
	}
	b.forwarder = forwarder
	if err := b.listen(s); err != nil {
		forwarder.Stop()
		return nil, err
	}
	count := func(call, outcome string) { telemetry.Counters().Counter("store." + call + "." + outcome).Inc(1) }
	reportMalformed := func(err error) { telemetry.Log().Info("object cannot be read", "error", err.Error()) }
	b.store = platform.NewStoreClient(s.Platform(), count, reportMalformed)
	b.platformSync = NewPlatformSync(telemetry, s, b.control, b.store, forwarder)
	b.orphanResetter = NewOrphanResetter(telemetry, b.control, b.store, forwarder, orphanCandidates)
	b.reaper = NewReaper(telemetry, b.control, b.store, forwarder)
	return b, nil
}

// listen opens the HTTP servers for readiness, for other processes of the fleet and for metrics.
func (b *Balancer) listen(s landing.RelayBalancerSettings) error {
	handlers := map[string]http.Handler{
		s.Readiness(): platform.NewReadinessHandler(func() bool { return b.control.Snapshot().IsReady(clock.Now()) }),
		s.Fleet(): peer.NewHandler(func() (landing.PlatformSnapshot, bool) {
			snapshot := b.control.Snapshot()
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
	metrics, err := scrape.New(s.Metrics(), b.telemetry.Counters())
	b.metrics = metrics
	if err != nil {
		b.stopServers()
	}
	return err
}

// Start starts the control thread, the servers and all goroutines.
func (b *Balancer) Start() {
	b.control.Start()
	b.forwarder.Start()
	for _, s := range b.servers {
		s.Start()
	}
	b.metrics.Start()
	b.platformSync.Start()
	b.orphanResetter.Start()
	b.reaper.Start()
}

// Drain reports the balancer as not ready, so that the routers stop sending packets to it, and returns after the
// duration d. The balancer serves until Stop is called.
func (b *Balancer) Drain(d time.Duration) {
	b.telemetry.Log().Info("balancer leaves", "after", d.String())
	b.control.Update(Snapshot.WithDraining)
	timer := time.NewTimer(d)
	defer timer.Stop()
	<-timer.C
}

// Stop stops everything that Start started and waits until it has ended.
func (b *Balancer) Stop() {
	b.platformSync.Stop()
	b.orphanResetter.Stop()
	b.reaper.Stop()
	b.stopServers()
	b.metrics.Stop()
	b.forwarder.Stop()
	b.control.Stop()
}

func (b *Balancer) stopServers() {
	for _, s := range b.servers {
		s.Stop()
	}
}
