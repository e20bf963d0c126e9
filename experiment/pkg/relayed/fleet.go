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
	portOffsetFront = iota
	portOffsetFleet
	portOffsetReadiness
	portOffsetStore
	portOffsetOutbound
	portOffsetLocal
	portOffsetUpstream
	portsPerFleet
)

const (
	firstPort = 23000
	// grace is the time that a process has to stop.
	stopGrace = 2 * time.Second
	// leave is the time for which a balancer that stops goes on serving; there are no routers here to wait for.
	serveAfterStop = 10 * time.Millisecond
	// apply and exclude are the times of the smaller deployments.
	rulesTimeLimit     = 3 * time.Second
	exclusionTimeLimit = 5 * time.Second
)

// networks numbers the deployments of this process, so that each has addresses of its own.
var fleetCount atomic.Uint32

// Listener is the address at which callers reach the deployment's service.
var Listener = netip.MustParseAddrPort("198.18.0.1:8080")

// Fleet is a deployment.
type Fleet struct {
	number       uint32
	basePort     uint16
	binaryFolder string
	store        *store.Store
	server       *serve.Server
	balancers    []*handle
	nodes        []*node
	callerCount  atomic.Uint32
}

// running is a balancer or sidecar that runs, in this process or in one of its own.
type handle struct {
	// stop asks it to stop and waits for its end.
	stop func()
	// kill ends it without a word to anybody.
	kill func()
	// signal sends a signal to a process of its own.
	signal func(os.Signal)
}

// Beside is a sidecar with its upstream.
type node struct {
	instance     string
	service      string
	zone         string
	ip           netip.Addr
	sidecar      *handle
	upstream     *endpoint.Upstream
	incarnations int
}

// New returns a deployment in this process with balancers and one service with upstreams in zones a and b by turns. It
// returns an error when an address cannot be used.
func New(balancerCount, nodes int) (*Fleet, error) {
	return NewFromBinaries("", balancerCount, nodes)
}

// NewFrom is New with processes of their own, started from the programs in the folder binaries.
func NewFromBinaries(binaryFolder string, balancerCount, nodeCount int) (*Fleet, error) {
	f := &Fleet{number: fleetCount.Add(1), store: store.New(), binaryFolder: binaryFolder}
	f.basePort = firstPort + uint16(os.Getpid()%100)*portsPerFleet*3
	server, err := serve.New(f.address(f.ip(250, 1), portOffsetStore).String(), f.store.Handler())
	if err != nil {
		return nil, err
	}
	server.Start()
	f.server = server
	f.SetRules(1, "desk")
	for range balancerCount {
		f.balancers = append(f.balancers, nil)
		if err := f.StartBalancer(len(f.balancers) - 1); err != nil {
			return nil, err
		}
	}
	for i := range nodeCount {
		zone := string(rune('a' + i%2))
		n := &node{instance: "side-" + strconv.Itoa(i), service: "desk", zone: zone, ip: f.ip(1, i+1)}
		f.nodes = append(f.nodes, n)
		if err := f.StartUpstream(i); err != nil {
			return nil, err
		}
		if err := f.StartSidecar(i); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) ip(subnet, host int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(20 + f.number), byte(subnet), byte(host)})
}

func (f *Fleet) address(ip netip.Addr, portOffset uint16) netip.AddrPort {
	return netip.AddrPortFrom(ip, f.basePort+portOffset)
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
	var h *handle
	var err error
	if settings := f.balancerSettings(i); f.binaryFolder != "" {
		h, err = f.startProcess("balancer", settings.Instance(), codec.EncodeRelayBalancerSettings(settings))
	} else {
		h, err = startBalancer(settings)
	}
	f.balancers[i] = h
	return err
}

func (f *Fleet) balancerSettings(i int) landing.RelayBalancerSettings {
	ip := f.ip(0, i+1)
	return landing.RelayBalancerSettings{}.
		WithInstance("edge-"+strconv.Itoa(i)).
		WithZone("a").
		WithFront(f.address(ip, portOffsetFront).String()).
		WithReadiness(f.address(ip, portOffsetReadiness).String()).
		WithFleet(f.address(ip, portOffsetFleet).String()).
		WithPlatform(f.address(f.ip(250, 1), portOffsetStore).String()).
		WithSeeds(f.address(f.ip(0, 1), portOffsetFleet).String(), f.address(f.ip(0, 2), portOffsetFleet).String()).
		WithGrace(stopGrace).
		WithLeave(serveAfterStop).
		WithApply(rulesTimeLimit).
		WithExclude(exclusionTimeLimit)
}

func startBalancer(s landing.RelayBalancerSettings) (*handle, error) {
	b, err := balancer.New(common.New(logr.Discard(), counter.New()), s)
	if err != nil {
		return nil, err
	}
	b.Start()
	return &handle{stop: b.Stop, kill: b.Stop}, nil
}

// StopBalancer stops a balancer.
func (f *Fleet) StopBalancer(i int) {
	f.balancers[i].stop()
	f.balancers[i] = nil
}

// StartSidecar starts a sidecar that is not running.
func (f *Fleet) StartSidecar(i int) error {
	var h *handle
	var err error
	if settings := f.sidecarSettings(f.nodes[i]); f.binaryFolder != "" {
		h, err = f.startProcess("sidecar", settings.Instance(), codec.EncodeRelaySidecarSettings(settings))
	} else {
		h, err = startSidecar(settings)
	}
	f.nodes[i].sidecar = h
	return err
}

func (f *Fleet) sidecarSettings(n *node) landing.RelaySidecarSettings {
	return landing.RelaySidecarSettings{}.
		WithInstance(n.instance).
		WithZone(n.zone).
		WithService(n.service).
		WithFront(f.address(n.ip, portOffsetFront).String()).
		WithOutbound(f.address(n.ip, portOffsetOutbound).String()).
		WithLocal(f.address(n.ip, portOffsetLocal).String()).
		WithUpstream(f.address(n.ip, portOffsetUpstream).String()).
		WithReadiness(f.address(n.ip, portOffsetReadiness).String()).
		WithFleet(f.address(n.ip, portOffsetFleet).String()).
		WithPlatform(f.address(f.ip(250, 1), portOffsetStore).String()).
		WithSeeds(f.address(f.ip(0, 1), portOffsetFleet).String()).
		WithHeartbeat(endpoint.BeatInterval).
		WithGrace(stopGrace)
}

func startSidecar(s landing.RelaySidecarSettings) (*handle, error) {
	sc, err := sidecar.New(common.New(logr.Discard(), counter.New()), s)
	if err != nil {
		return nil, err
	}
	sc.Start()
	return &handle{stop: sc.Stop, kill: sc.Kill}, nil
}

// KillSidecar ends a sidecar without a word to anybody.
func (f *Fleet) KillSidecar(i int) {
	f.nodes[i].sidecar.kill()
	f.nodes[i].sidecar = nil
}

// StopSidecar stops a sidecar as the platform does.
func (f *Fleet) StopSidecar(i int) {
	f.nodes[i].sidecar.stop()
	f.nodes[i].sidecar = nil
}

// StartUpstream starts an incarnation of an upstream that is not running.
func (f *Fleet) StartUpstream(i int) error {
	n := f.nodes[i]
	n.incarnations++
	upstreamID := fmt.Sprintf("i-%d-%d", i, n.incarnations)
	u, err := endpoint.NewUpstream(upstreamID, n.service, f.address(n.ip, portOffsetUpstream), f.address(n.ip, portOffsetOutbound), f.address(n.ip, portOffsetLocal).String())
	n.upstream = u
	return err
}

// CrashUpstream ends an upstream without a word.
func (f *Fleet) CrashUpstream(i int) {
	f.nodes[i].upstream.Crash()
	f.nodes[i].upstream = nil
}

// Upstream returns an upstream that is running.
func (f *Fleet) Upstream(i int) *endpoint.Upstream {
	return f.nodes[i].upstream
}

// IsReady says whether a balancer tells the platform that it is ready.
func (f *Fleet) IsReady(i int) bool {
	resp, err := http.Get("http://" + f.address(f.ip(0, i+1), portOffsetReadiness).String() + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Through returns a route that leads to one balancer.
func (f *Fleet) RouteThrough(i int) endpoint.Route {
	return func() netip.AddrPort { return f.address(f.ip(0, i+1), portOffsetFront) }
}

// Open opens a flow of a caller of its own along route.
func (f *Fleet) OpenFlow(route endpoint.Route, timeout time.Duration) (*endpoint.Flow, error) {
	number := f.callerCount.Add(1)
	callerAddress := f.address(f.ip(int(2+number/200), int(number%200)+1), portOffsetFront)
	return endpoint.Open(callerAddress, uint16(1024+number), Listener, route, timeout)
}

// Stop stops everything.
func (f *Fleet) Stop() {
	for _, n := range f.nodes {
		if n.upstream != nil {
			n.upstream.Crash()
		}
		if n.sidecar != nil {
			n.sidecar.kill()
		}
	}
	for _, b := range f.balancers {
		if b != nil {
			b.kill()
		}
	}
	f.server.Stop()
}
