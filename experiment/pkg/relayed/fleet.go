// Package relayed is a deployment on a stand-in for the users' platform, in one process over loopback: a store, balancers,
// sidecars and upstreams that end flows themselves.
package relayed

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	balancer "github.com/crocuslanding/crocuslanding/balancer/pkg/relay"
	"github.com/crocuslanding/crocuslanding/core/gen/codec"
	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/counter"
	"github.com/crocuslanding/crocuslanding/core/pkg/serve"
	"github.com/crocuslanding/crocuslanding/platform/standin/endpoint"
	"github.com/crocuslanding/crocuslanding/platform/standin/store"
	sidecar "github.com/crocuslanding/crocuslanding/sidecar/pkg/relay"
)

// Ports of a deployment, the same on all its instances, counted from its first one.
const (
	portFront = iota
	portFleet
	portReadiness
	portStore
	portOutbound
	portLocal
	portApp
	portCount
)

const (
	firstPort = 23000
	// grace is the time that a process has to stop.
	grace = 2 * time.Second
	// leave is the time for which a balancer that stops goes on serving; there are no routers here to wait for.
	leave = 10 * time.Millisecond
	// apply and exclude are the times of the smaller deployments.
	apply   = 3 * time.Second
	exclude = 5 * time.Second
)

// networks numbers the deployments of this process, so that each has addresses of its own.
var networks atomic.Uint32

// Listener is the address at which callers reach the deployment's service.
var Listener = netip.MustParseAddrPort("198.18.0.1:8080")

// Fleet is a deployment.
type Fleet struct {
	network   uint32
	port      uint16
	binaries  string
	store     *store.Store
	server    *serve.Server
	balancers []*running
	sidecars  []*Beside
	callers   atomic.Uint32
}

// running is a balancer or sidecar that runs, in this process or in one of its own.
type running struct {
	// stop asks it to stop and waits for its end.
	stop func()
	// kill ends it without a word to anybody.
	kill func()
	// signal sends a signal to a process of its own.
	signal func(os.Signal)
}

// Beside is a sidecar with its upstream.
type Beside struct {
	instance  string
	service   string
	zone      string
	ip        netip.Addr
	process   *running
	upstream  *endpoint.Upstream
	upstreams int
}

// New returns a deployment in this process with balancers and one service with upstreams in zones a and b by turns. It
// returns an error when an address cannot be used.
func New(balancers, sidecars int) (*Fleet, error) {
	return NewFrom("", balancers, sidecars)
}

// NewFrom is New with processes of their own, started from the programs in the folder binaries.
func NewFrom(binaries string, balancers, sidecars int) (*Fleet, error) {
	f := &Fleet{network: networks.Add(1), store: store.New(), binaries: binaries}
	f.port = firstPort + uint16(os.Getpid()%100)*portCount*3
	server, err := serve.New(f.at(f.ip(250, 1), portStore).String(), f.store.Handler())
	if err != nil {
		return nil, err
	}
	server.Start()
	f.server = server
	f.SetRules(1, "desk")
	for range balancers {
		f.balancers = append(f.balancers, nil)
		if err := f.StartBalancer(len(f.balancers) - 1); err != nil {
			return nil, err
		}
	}
	for i := range sidecars {
		zone := string(rune('a' + i%2))
		b := &Beside{instance: "side-" + strconv.Itoa(i), service: "desk", zone: zone, ip: f.ip(1, i+1)}
		f.sidecars = append(f.sidecars, b)
		if err := f.StartUpstream(i); err != nil {
			return nil, err
		}
		if err := f.StartSidecar(i); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) ip(kind, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(20 + f.network), byte(kind), byte(number)})
}

func (f *Fleet) at(ip netip.Addr, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(ip, f.port+port)
}

// Store returns the stand-in for the platform's store.
func (f *Fleet) Store() *store.Store {
	return f.store
}

// SetRules writes a configuration in which the listener leads to this service.
func (f *Fleet) SetRules(version int, service string) {
	f.store.Put("config", "main", map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r", "host": Listener.Addr().String(), "path_prefix": fmt.Sprintf("/%d/", Listener.Port()), "service": service,
		}},
		"services": []any{map[string]any{"name": "desk", "max_conns": 2000, "cold_start_s": 1}},
		"limits":   map[string]any{"idle_timeout_ms": 15000},
	})
}

// StartBalancer starts a balancer that is not running.
func (f *Fleet) StartBalancer(i int) error {
	var r *running
	var err error
	if settings := f.balancerSettings(i); f.binaries != "" {
		r, err = f.startProcess("balancer", settings.Instance(), codec.EncodeRelayBalancerSettings(settings))
	} else {
		r, err = startBalancer(settings)
	}
	f.balancers[i] = r
	return err
}

func (f *Fleet) balancerSettings(i int) landing.RelayBalancerSettings {
	ip := f.ip(0, i+1)
	return landing.RelayBalancerSettings{}.
		WithInstance("edge-"+strconv.Itoa(i)).
		WithZone("a").
		WithFront(f.at(ip, portFront).String()).
		WithReadiness(f.at(ip, portReadiness).String()).
		WithFleet(f.at(ip, portFleet).String()).
		WithPlatform(f.at(f.ip(250, 1), portStore).String()).
		WithSeeds(f.at(f.ip(0, 1), portFleet).String(), f.at(f.ip(0, 2), portFleet).String()).
		WithGrace(grace).
		WithLeave(leave).
		WithApply(apply).
		WithExclude(exclude)
}

func startBalancer(s landing.RelayBalancerSettings) (*running, error) {
	b, err := balancer.New(common.New(logr.Discard(), counter.New()), s)
	if err != nil {
		return nil, err
	}
	b.Start()
	return &running{stop: b.Stop, kill: b.Stop}, nil
}

// StopBalancer stops a balancer.
func (f *Fleet) StopBalancer(i int) {
	f.balancers[i].stop()
	f.balancers[i] = nil
}

// StartSidecar starts a sidecar that is not running.
func (f *Fleet) StartSidecar(i int) error {
	var r *running
	var err error
	if settings := f.sidecarSettings(f.sidecars[i]); f.binaries != "" {
		r, err = f.startProcess("sidecar", settings.Instance(), codec.EncodeRelaySidecarSettings(settings))
	} else {
		r, err = startSidecar(settings)
	}
	f.sidecars[i].process = r
	return err
}

func (f *Fleet) sidecarSettings(b *Beside) landing.RelaySidecarSettings {
	return landing.RelaySidecarSettings{}.
		WithInstance(b.instance).
		WithZone(b.zone).
		WithService(b.service).
		WithFront(f.at(b.ip, portFront).String()).
		WithOutbound(f.at(b.ip, portOutbound).String()).
		WithLocal(f.at(b.ip, portLocal).String()).
		WithUpstream(f.at(b.ip, portApp).String()).
		WithReadiness(f.at(b.ip, portReadiness).String()).
		WithFleet(f.at(b.ip, portFleet).String()).
		WithPlatform(f.at(f.ip(250, 1), portStore).String()).
		WithSeeds(f.at(f.ip(0, 1), portFleet).String()).
		WithHeartbeat(endpoint.HeartbeatInterval).
		WithGrace(grace)
}

func startSidecar(s landing.RelaySidecarSettings) (*running, error) {
	sc, err := sidecar.New(common.New(logr.Discard(), counter.New()), s)
	if err != nil {
		return nil, err
	}
	sc.Start()
	return &running{stop: sc.Stop, kill: sc.Kill}, nil
}

// KillSidecar ends a sidecar without a word to anybody.
func (f *Fleet) KillSidecar(i int) {
	f.sidecars[i].process.kill()
	f.sidecars[i].process = nil
}

// StopSidecar stops a sidecar as the platform does.
func (f *Fleet) StopSidecar(i int) {
	f.sidecars[i].process.stop()
	f.sidecars[i].process = nil
}

// StartUpstream starts an incarnation of an upstream that is not running.
func (f *Fleet) StartUpstream(i int) error {
	b := f.sidecars[i]
	b.upstreams++
	id := fmt.Sprintf("i-%d-%d", i, b.upstreams)
	u, err := endpoint.NewUpstream(id, b.service, f.at(b.ip, portApp), f.at(b.ip, portOutbound), f.at(b.ip, portLocal).String())
	b.upstream = u
	return err
}

// CrashUpstream ends an upstream without a word.
func (f *Fleet) CrashUpstream(i int) {
	f.sidecars[i].upstream.Crash()
	f.sidecars[i].upstream = nil
}

// Upstream returns an upstream that is running.
func (f *Fleet) Upstream(i int) *endpoint.Upstream {
	return f.sidecars[i].upstream
}

// IsReady says whether a balancer tells the platform that it is ready.
func (f *Fleet) IsReady(i int) bool {
	resp, err := http.Get("http://" + f.at(f.ip(0, i+1), portReadiness).String() + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Through returns a route that leads to one balancer.
func (f *Fleet) Through(i int) endpoint.Route {
	return func() netip.AddrPort { return f.at(f.ip(0, i+1), portFront) }
}

// Open opens a flow of a caller of its own along route.
func (f *Fleet) Open(route endpoint.Route, patience time.Duration) (*endpoint.Flow, error) {
	n := f.callers.Add(1)
	at := f.at(f.ip(int(2+n/200), int(n%200)+1), portFront)
	return endpoint.OpenFlow(at, uint16(1024+n), Listener, route, patience)
}

// Stop stops everything.
func (f *Fleet) Stop() {
	for _, b := range f.sidecars {
		if b.upstream != nil {
			b.upstream.Crash()
		}
		if b.process != nil {
			b.process.kill()
		}
	}
	for _, b := range f.balancers {
		if b != nil {
			b.kill()
		}
	}
	f.server.Stop()
}
