// Package app assembles a sidecar that terminates the flows of callers.
package app

import (
	"context"
	"os"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"

	"github.com/crocuslanding/crocuslanding/core/gen/codec"
	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/gen/landingpb"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/control"
	"github.com/crocuslanding/crocuslanding/core/pkg/counter"
	"github.com/crocuslanding/crocuslanding/core/pkg/identity"
	"github.com/crocuslanding/crocuslanding/core/pkg/program"
	"github.com/crocuslanding/crocuslanding/core/pkg/retry"
	"github.com/crocuslanding/crocuslanding/core/pkg/scrape"
	"github.com/crocuslanding/crocuslanding/core/pkg/settings"
	"github.com/crocuslanding/crocuslanding/core/pkg/weight"
	"github.com/crocuslanding/crocuslanding/sidecar/pkg/front"
	"github.com/crocuslanding/crocuslanding/sidecar/pkg/gate"
	"github.com/crocuslanding/crocuslanding/sidecar/pkg/home"
	"github.com/crocuslanding/crocuslanding/sidecar/pkg/keeper"
	"github.com/crocuslanding/crocuslanding/sidecar/pkg/local"
	"github.com/crocuslanding/crocuslanding/sidecar/pkg/requests"
	"github.com/crocuslanding/crocuslanding/sidecar/pkg/stream"
)

const (
	// frontWorkers is the number of workers that receive datagrams.
	frontWorkers = 2
	// drainPollInterval is the interval between two checks whether all flows have ended.
	drainPollInterval = 100 * time.Millisecond
)

// Run runs the program until it receives a stop signal, and then exits the process.
func Run() {
	message := &landingpb.SidecarSettings{}
	program.ReadSettings("sidecar", os.Args[1:], message, func(report func(place, fault string)) {
		settings.CheckSidecar(codec.DecodeSidecarSettings(message), report)
	})
	s := codec.DecodeSidecarSettings(message)
	c := common.New(common.NewLogger(os.Stderr, s.Instance(), int(s.Verbosity())), counter.New())
	ctx, cancel := program.SignalContext()
	defer cancel()
	program.Exit(Serve(ctx, c, s))
}

// Serve runs a sidecar until ctx ends, and then drains and stops it. It returns an error when an address
// in the settings cannot be used.
func Serve(ctx context.Context, c common.Telemetry, s landing.SidecarSettings) error {
	sc, err := New(c, s)
	if err != nil {
		return err
	}
	sc.Start()
	c.Log().Info("sidecar started", "front", s.Front(), "service", s.Service(), "zone", s.Zone())
	<-ctx.Done()
	sc.Drain()
	sc.Stop()
	c.Log().Info("sidecar stopped")
	return nil
}

// Sidecar is a sidecar with all its parts.
type Sidecar struct {
	telemetry     common.Telemetry
	settings      landing.SidecarSettings
	controlThread *keeper.ControlThread
	gate          *gate.Gate
	forwarder     *front.Forwarder
	announcer     *home.Announcer
	pool          *control.Pool
	local         *local.Server
	scrape        *scrape.Server
	requests      *requests.Handler
	stream        *stream.Handler
	stopper       *common.Stopper
}

// New returns a sidecar whose sockets are open. Start must be called. New returns an error when an address
// or the identity in the settings cannot be used.
func New(c common.Telemetry, s landing.SidecarSettings) (*Sidecar, error) {
	creds, err := identity.New(s.Identity(), c.Counters())
	if err != nil {
		return nil, err
	}
	controlThread := keeper.New(c, newTarget(s, time.Now()))
	g := gate.New(s.Slots(), s.Queue())
	resetAdmission := func() { g.HandleEvent(landing.UpstreamStarted{}.WithObservedAt(time.Now())) }
	f, err := front.New(c, s, controlThread.Snapshot, g.IsBusy, resetAdmission)
	if err != nil {
		return nil, err
	}
	pool := control.NewPool(creds)
	sc := &Sidecar{
		telemetry:     c,
		settings:      s,
		controlThread: controlThread,
		gate:          g,
		forwarder:     f,
		announcer:     home.New(c, controlThread, pool, s.Balancers(), s.Heartbeat()),
		pool:          pool,
		requests:      requests.New(c, s, g, f.Table(), retry.Decide),
		stream:        stream.New(c, s, g, f.Table()),
		stopper:       common.NewStopper(),
	}
	sc.local, err = local.New(c, s.Local(), sc.handleAnnouncement)
	if err != nil {
		f.Stop()
		return nil, err
	}
	sc.scrape, err = scrape.New(s.Metrics(), c.Counters())
	if err != nil {
		f.Stop()
		sc.local.Stop()
		return nil, err
	}
	return sc, nil
}

// newTarget returns the target that a sidecar announces when it starts at now. A target is an upstream as the
// roster, the list of targets and balancers of a region, contains it: reached through its sidecar.
func newTarget(s landing.SidecarSettings, now time.Time) landing.Target {
	return landing.Target{}.
		WithInstance(s.Instance()).
		WithService(s.Service()).
		WithZone(s.Zone()).
		WithFront(s.Front()).
		WithWeight(weight.FromLatency(s.Slots(), 0)).
		WithPhase(landing.PhaseServing).
		WithIncarnation(uint64(now.UnixNano()))
}

// Start starts all parts.
func (sc *Sidecar) Start() {
	sc.controlThread.Start()
	sc.requests.Start()
	sc.forwarder.Start(frontWorkers, sc.handleFlow)
	sc.local.Start()
	sc.scrape.Start()
	sc.announcer.Start()
	sc.stopper.Go(sc.measureWeight)
}

// Drain stops the admission of new flows and returns when all open flows have ended or the drain time in
// the settings has passed. A drain time of 0 means no limit.
func (sc *Sidecar) Drain() {
	sc.controlThread.Post(landing.StopRequested{})
	sc.requests.CloseAfterNextResponse()
	start := time.Now()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for sc.forwarder.Table().Len() > 0 {
		timeout := sc.settings.Drain() // 0: no limit
		if timeout > 0 && time.Since(start) >= timeout {
			sc.telemetry.Log().Info("flows cut at the end of the drain", "flows", sc.forwarder.Table().Len())
			return
		}
		<-ticker.C
	}
}

// Stop announces that the target has left, stops all parts and waits for them.
func (sc *Sidecar) Stop() {
	sc.announcer.Stop()
	sc.stopParts()
}

// Kill stops all parts without announcing that the target has left.
func (sc *Sidecar) Kill() {
	sc.announcer.Kill()
	sc.stopParts()
}

func (sc *Sidecar) stopParts() {
	sc.local.Stop()
	sc.scrape.Stop()
	sc.stopper.Close()
	sc.stopper.Wait()
	sc.requests.Stop()
	sc.forwarder.Stop()
	sc.pool.Close()
	sc.controlThread.Stop()
}

// Snapshot returns the latest snapshot of the control state.
func (sc *Sidecar) Snapshot() keeper.Snapshot {
	return sc.controlThread.Snapshot()
}

// FlowCount returns the number of flows that the sidecar holds.
func (sc *Sidecar) FlowCount() int {
	return sc.forwarder.Table().Len()
}

// AdmissionState returns the current state of the admission.
func (sc *Sidecar) AdmissionState() landing.AdmissionState {
	return sc.gate.AdmissionState()
}

// handleFlow passes a new flow to the handler for the kind of its service, or refuses it.
func (sc *Sidecar) handleFlow(r *tcp.ForwarderRequest) {
	k := flowKey(r)
	if !sc.forwarder.Table().AwaitsConnection(k) {
		// The SYN was delivered to an earlier flow on the same port, which has ended since then. So this flow
		// was never admitted. The caller sends its SYN again.
		sc.telemetry.Counters().Counter("opened_late").Inc(1)
		r.Complete(false) // without a reset
		return
	}
	access, refusal := sc.controlThread.Snapshot().Authorize(k)
	if refusal != landing.RefusalUnspecified {
		sc.telemetry.Counters().CountRefusal(refusal)
		sc.forwarder.Table().Remove(k)
		r.Complete(true) // with a reset
		return
	}
	switch access.Service().Kind() {
	case landing.KindRequests:
		sc.requests.Handle(r, k)
	case landing.KindStream, landing.KindUnspecified:
		sc.stream.Handle(r, k)
	}
}
