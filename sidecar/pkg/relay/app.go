// Package relay implements the sidecar of the relay path. On this path upstreams terminate TCP themselves:
// the sidecar relays whole packets, and makes the final decision which new flows its upstream gets.
//
// The fleet is all balancers and sidecars. The platform is the service outside the fleet that stores the
// routing rules, the zone exclusions (both together are the policy), an enrollment for each sidecar, which
// is its entry in the list of sidecars, and records of long-lived flows. A revision is a value of the
// counter with which the platform orders changes. A chain lists the sidecars, called hops, to which a
// packet goes one after another. A claim tells a balancer that this sidecar's upstream holds a flow. A copy
// is one transmission of a SYN by the caller. Slots are the requests that an upstream processes at once,
// and cold start is the time after its start in which it can process little.
package relay

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/form"
	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/clock"
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

// Run runs the program until it receives a stop signal, and then exits the process.
func Run() {
	var path string
	var s landing.RelaySidecarSettings
	launch.Run(launch.Program{
		Name: "sidecar",
		Read: func(settingsPath string) (string, uint32, []landing.Finding) {
			var findings []landing.Finding
			path = settingsPath
			s, findings = readSettings(path)
			return s.Instance(), s.Verbosity(), findings
		},
		Serve: func(ctx context.Context, c common.Telemetry, reload <-chan os.Signal) error {
			readAgain := func() (landing.RelaySidecarSettings, []landing.Finding) { return readSettings(path) }
			return Serve(ctx, c, s, SettingsReload{Requests: reload, Read: readAgain})
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

// SettingsReload lets a running sidecar read its settings again.
type SettingsReload struct {
	// Requests receives a signal when the settings are to be read again.
	Requests <-chan os.Signal
	// Read reads the settings. They can be used only if there are no findings.
	Read func() (landing.RelaySidecarSettings, []landing.Finding)
}

// Serve runs a sidecar until ctx ends, and then stops it. It returns an error when an address in the
// settings cannot be used.
func Serve(ctx context.Context, c common.Telemetry, s landing.RelaySidecarSettings, reload SettingsReload) error {
	sc, err := New(c, s)
	if err != nil {
		return err
	}
	sc.Start()
	c.Log().Info("sidecar started", "fleet", s.Fleet(), "service", s.Service(), "zone", s.Zone(), "upstream", s.Upstream())
	for {
		select {
		case <-reload.Requests:
			sc.applySettings(reload.Read())
		case <-ctx.Done():
			sc.Stop()
			c.Log().Info("sidecar stopped")
			return nil
		}
	}
}

// applySettings applies the settings that can change while the process runs: the seeds. All other settings
// take effect at the next start. Settings with findings are not applied.
func (sc *Sidecar) applySettings(s landing.RelaySidecarSettings, findings []landing.Finding) {
	for _, f := range findings {
		sc.telemetry.Log().Info("settings cannot be used", "finding", finding.Format(f))
	}
	if len(findings) == 0 {
		sc.platformSync.peers.SetSeeds(s.Seeds())
		sc.telemetry.Log().Info("settings read again", "seeds", s.Seeds())
	}
}

// Sidecar is a sidecar with all its parts.
type Sidecar struct {
	controlThread *ControlThread
	forwarder     *Forwarder
	platformSync  *PlatformSync
	recorder      *Recorder
	store         *platform.StoreClient
	servers       []*serve.Server
	scrape        *scrape.Server
	telemetry     common.Telemetry
	// startedAt is a time before the sidecar has observed any packet of its upstream.
	startedAt time.Time
}

// New returns a sidecar whose sockets are open. Start must be called. New returns an error when an address
// in the settings cannot be used.
func New(c common.Telemetry, s landing.RelaySidecarSettings) (*Sidecar, error) {
	sc := &Sidecar{telemetry: c, startedAt: clock.Now()}
	sc.controlThread = NewControlThread(c, s,
		func(until time.Time) { sc.forwarder.resetLostFlows(until) },
		func(upstream landing.UpstreamState) { sc.forwarder.claimPendingFlows(upstream) })
	forwarder, err := NewForwarder(c, s, sc.controlThread)
	if err != nil {
		return nil, err
	}
	sc.forwarder = forwarder
	if err := sc.openServers(s); err != nil {
		forwarder.Stop()
		return nil, err
	}
	countCall := func(call, outcome string) { c.Counters().Counter("store." + call + "." + outcome).Inc(1) }
	logMalformed := func(err error) {
		c.Log().Info("object cannot be read", "field", platform.InvalidField(err), "error", err.Error())
	}
	sc.store = platform.NewStoreClient(s.Platform(), countCall, logMalformed)
	sc.platformSync = NewPlatformSync(c, s, sc.controlThread, sc.store)
	sc.recorder = NewRecorder(c, s, sc.controlThread, sc.store, forwarder)
	return sc, nil
}

// openServers opens the HTTP servers for the heartbeats of the upstream, for the readiness checks of the
// platform, for snapshots to other processes of the fleet, and for metrics.
func (sc *Sidecar) openServers(s landing.RelaySidecarSettings) error {
	upstreamHandler := platform.NewUpstreamHandler(platform.UpstreamCallbacks{
		OnHeartbeat: func(b landing.UpstreamHeartbeat) { sc.handleHeartbeat(s, b) },
		OnLeave: func(incarnation string) {
			sc.postUpstreamEvent(landing.UpstreamStopAnnounced{}.WithIncarnation(incarnation))
		},
		OnMalformedHeartbeat: func(err error) {
			sc.telemetry.Counters().CountRefusal(landing.RefusalMalformed)
			field := platform.InvalidField(err)
			sc.telemetry.Counters().Counter("heartbeat_malformed." + field).Inc(1)
			sc.telemetry.Log().Info("heartbeat cannot be read", "field", field, "error", err.Error())
		},
	})
	readinessHandler := platform.NewReadinessHandler(func() bool { return true })
	snapshotHandler := peer.NewHandler(func() (landing.PlatformSnapshot, bool) {
		current := sc.controlThread.Snapshot()
		return current.PlatformSnapshot(), current.policy.Rules() != nil
	})
	handlers := map[string]http.Handler{s.Local(): upstreamHandler, s.Readiness(): readinessHandler, s.Fleet(): snapshotHandler}
	for address, handler := range handlers {
		server, err := serve.New(address, handler)
		if err != nil {
			sc.stopServers()
			return err
		}
		sc.servers = append(sc.servers, server)
	}
	metrics, err := scrape.New(s.Metrics(), sc.telemetry.Counters())
	sc.scrape = metrics
	if err != nil {
		sc.stopServers()
	}
	return err
}

// handleHeartbeat handles a heartbeat of the upstream. A heartbeat with another service, zone or host comes
// from another upstream and is refused.
func (sc *Sidecar) handleHeartbeat(s landing.RelaySidecarSettings, heartbeat landing.UpstreamHeartbeat) {
	if heartbeat.Service() != s.Service() || heartbeat.Zone() != s.Zone() || !haveSameHost(heartbeat.Address(), s.Upstream()) {
		sc.telemetry.Counters().CountRefusal(landing.RefusalForeign)
		sc.telemetry.Log().Info("heartbeat of another upstream", "upstream", heartbeat.Incarnation(), "address", heartbeat.Address(), "zone", heartbeat.Zone())
		return
	}
	sc.postUpstreamEvent(landing.UpstreamHeartbeatReceived{}.
		WithHeartbeat(heartbeat).
		WithReceivedAt(clock.Now()).
		WithObservingSince(sc.startedAt))
}

func (sc *Sidecar) postUpstreamEvent(e landing.UpstreamEvent) {
	sc.controlThread.Post(landing.UpstreamEventObserved{}.WithEvent(e))
}

func haveSameHost(a, b string) bool {
	hostA, _, errA := net.SplitHostPort(a)
	hostB, _, errB := net.SplitHostPort(b)
	return errA == nil && errB == nil && hostA == hostB
}

// Start starts all parts.
func (sc *Sidecar) Start() {
	sc.controlThread.Start()
	sc.forwarder.Start()
	for _, s := range sc.servers {
		s.Start()
	}
	sc.scrape.Start()
	sc.platformSync.Start()
	sc.recorder.Start()
}

// Stop announces that no new flows are admitted and stops all parts. If the upstream has ended, the
// sidecar's enrollment is removed. Otherwise only the sidecar is restarted: the enrollment stays, and the
// next sidecar process finds the flows of the running upstream again.
func (sc *Sidecar) Stop() {
	s := sc.controlThread.Snapshot()
	hasUpstreamEnded := sc.forwarder.hasUpstreamEnded()
	if hasUpstreamEnded {
		sc.postUpstreamEvent(landing.UpstreamSocketClosed{}.WithDetectedAt(clock.Now()))
	}
	sc.controlThread.Update(Snapshot.WithStopping)
	sc.forwarder.announceStop(hasUpstreamEnded)
	if hasUpstreamEnded && s.confirmation.HasBeenConfirmed() {
		sc.platformSync.RemoveEnrollment()
	}
	sc.Kill()
}

// Kill stops all parts without an announcement to other processes.
func (sc *Sidecar) Kill() {
	sc.platformSync.Stop()
	sc.recorder.Stop()
	sc.stopServers()
	sc.scrape.Stop()
	sc.forwarder.Stop()
	sc.controlThread.Stop()
}

func (sc *Sidecar) stopServers() {
	for _, s := range sc.servers {
		s.Stop()
	}
}
