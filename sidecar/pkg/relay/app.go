// Package relay is the sidecar on a platform whose upstreams end flows themselves: packets pass whole, and the
// sidecar is the last gate in front of its upstream.
package relay

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/form"
	"github.com/crocuslanding/crocuslanding/core/gen/landing"
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
	var s landing.RelaySidecarSettings
	launch.Run(launch.Program{
		Name: "sidecar",
		Read: func(at string) (string, uint32, []landing.Finding) {
			var findings []landing.Finding
			path = at
			s, findings = readSettings(path)
			return s.Instance(), s.Verbosity(), findings
		},
		Serve: func(ctx context.Context, c common.Telemetry, reload <-chan os.Signal) error {
			again := func() (landing.RelaySidecarSettings, []landing.Finding) { return readSettings(path) }
			return Serve(ctx, c, s, Reload{Asked: reload, Read: again})
		},
	}, os.Args[1:])
}

// readSettings reads and checks the settings file.
func readSettings(path string) (landing.RelaySidecarSettings, []landing.Finding) {
	r := reader.Open(path)
	s := form.ReadRelaySidecarSettings(r)
	settings.CheckRelaySidecar(s, r.AddFinding)
	return s, r.Findings()
}

// Reload is how a sidecar reads its settings again.
type Reload struct {
	// Asked receives when the settings have changed.
	Asked <-chan os.Signal
	// Read reads them.
	Read func() (landing.RelaySidecarSettings, []landing.Finding)
}

// Serve runs a sidecar until ctx ends. It returns an error when an address cannot be used.
func Serve(ctx context.Context, c common.Telemetry, s landing.RelaySidecarSettings, reload Reload) error {
	sc, err := New(c, s)
	if err != nil {
		return err
	}
	sc.Start()
	c.Log().Info("sidecar started", "fleet", s.Fleet(), "service", s.Service(), "zone", s.Zone(), "upstream", s.Upstream())
	for {
		select {
		case <-reload.Asked:
			sc.reload(reload.Read())
		case <-ctx.Done():
			sc.Stop()
			c.Log().Info("sidecar stopped")
			return nil
		}
	}
}

// reload takes over what can change while the process runs: the seeds. All else holds from the next start.
func (sc *Sidecar) reload(s landing.RelaySidecarSettings, findings []landing.Finding) {
	for _, f := range findings {
		sc.common.Log().Info("settings cannot be used", "finding", finding.Format(f))
	}
	if len(findings) == 0 {
		sc.sync.peers.SetSeeds(s.Seeds())
		sc.common.Log().Info("settings read again", "seeds", s.Seeds())
	}
}

// Sidecar is one sidecar with all its parts.
type Sidecar struct {
	keeper  *ControlThread
	traffic *Forwarder
	sync    *PlatformSync
	record  *Recorder
	store   *platform.StoreClient
	servers []*serve.Server
	scrape  *scrape.Server
	common  common.Telemetry
}

// New returns a sidecar whose sockets are open. It returns an error when an address cannot be used.
func New(c common.Telemetry, s landing.RelaySidecarSettings) (*Sidecar, error) {
	sc := &Sidecar{common: c}
	sc.keeper = NewControlThread(c, s,
		func(at time.Time) { sc.traffic.resetLost(at) },
		func(p landing.UpstreamState) { sc.traffic.claimHeld(p) })
	traffic, err := NewForwarder(c, s, sc.keeper)
	if err != nil {
		return nil, err
	}
	sc.traffic = traffic
	if err := sc.listen(s); err != nil {
		traffic.Stop()
		return nil, err
	}
	count := func(call, outcome string) { c.Counters().Counter("store." + call + "." + outcome).Inc(1) }
	malformed := func(err error) { c.Log().Info("object cannot be read", "error", err.Error()) }
	sc.store = platform.NewStoreClient(s.Platform(), count, malformed)
	sc.sync = NewPlatformSync(c, s, sc.keeper, sc.store)
	sc.record = NewRecorder(c, s, sc.keeper, sc.store, traffic)
	return sc, nil
}

func (sc *Sidecar) listen(s landing.RelaySidecarSettings) error {
	local := platform.NewUpstreamHandler(platform.UpstreamCallbacks{
		OnHeartbeat: func(b landing.UpstreamHeartbeat) { sc.beat(s, b) },
		OnLeave: func(incarnation string) {
			sc.see(landing.UpstreamStopAnnounced{}.WithIncarnation(incarnation))
		},
		OnMalformedHeartbeat: func(err error) {
			sc.common.Counters().CountRefusal(landing.RefusalMalformed)
			sc.common.Log().Info("heartbeat cannot be read", "error", err.Error())
		},
	})
	ready := platform.NewReadinessHandler(func() bool { return true })
	picture := peer.NewHandler(func() (landing.PlatformSnapshot, bool) {
		snapshot := sc.keeper.Snapshot()
		return snapshot.Picture(), snapshot.policy.Rules() != nil
	})
	handlers := map[string]http.Handler{s.Local(): local, s.Readiness(): ready, s.Fleet(): picture}
	for address, handler := range handlers {
		server, err := serve.New(address, handler)
		if err != nil {
			sc.stopServers()
			return err
		}
		sc.servers = append(sc.servers, server)
	}
	metrics, err := scrape.New(s.Metrics(), sc.common.Counters())
	sc.scrape = metrics
	if err != nil {
		sc.stopServers()
	}
	return err
}

// beat takes a heartbeat of the upstream. One for another service or from another address is not its own.
func (sc *Sidecar) beat(s landing.RelaySidecarSettings, b landing.UpstreamHeartbeat) {
	if b.Service() != s.Service() || !sameHost(b.Address(), s.Upstream()) {
		sc.common.Counters().CountRefusal(landing.RefusalForeign)
		sc.common.Log().Info("heartbeat of another upstream", "upstream", b.Incarnation(), "address", b.Address())
		return
	}
	sc.see(landing.UpstreamHeartbeatReceived{}.WithHeartbeat(b).WithReceivedAt(time.Now()))
}

func (sc *Sidecar) see(s landing.UpstreamEvent) {
	sc.keeper.Post(landing.UpstreamEventObserved{}.WithEvent(s))
}

func sameHost(a, b string) bool {
	hostA, _, errA := net.SplitHostPort(a)
	hostB, _, errB := net.SplitHostPort(b)
	return errA == nil && errB == nil && hostA == hostB
}

// Start starts all parts.
func (sc *Sidecar) Start() {
	sc.keeper.Start()
	sc.traffic.Start()
	for _, s := range sc.servers {
		s.Start()
	}
	sc.scrape.Start()
	sc.sync.Start()
	sc.record.Start()
}

// Stop takes no new flow and stops all parts. When the upstream is gone, the enrollment is taken back; else this
// is a restart beside an upstream that lives, and its flows are found again.
func (sc *Sidecar) Stop() {
	s := sc.keeper.Snapshot()
	isGone := sc.traffic.hasEnded()
	sc.keeper.Update(Snapshot.WithStopping)
	sc.traffic.sayStopping(isGone)
	if isGone && !s.enrolled.IsZero() {
		sc.sync.Leave()
	}
	sc.Kill()
}

// Kill stops all parts without a word to anybody.
func (sc *Sidecar) Kill() {
	sc.sync.Stop()
	sc.record.Stop()
	sc.stopServers()
	sc.scrape.Stop()
	sc.traffic.Stop()
	sc.keeper.Stop()
	sc.store.Close()
}

func (sc *Sidecar) stopServers() {
	for _, s := range sc.servers {
		s.Stop()
	}
}
