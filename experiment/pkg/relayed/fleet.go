// Package relayed runs deployments of the relay path for tests, on loopback addresses: a stand-in for the platform's
// object store, stand-in upstreams, and real balancers and sidecars, in this process or in processes of their own. On the
// relay path, balancers and sidecars pass packets on whole to upstreams that terminate TCP themselves.
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
	"github.com/crocuslanding/crocuslanding/platform/standin/proxy"
	"github.com/crocuslanding/crocuslanding/platform/standin/store"
	sidecar "github.com/crocuslanding/crocuslanding/sidecar/pkg/relay"
)

// Offsets of an instance's ports from Fleet.basePort. All instances of a deployment use the same ports, each at an IP
// address of its own.
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
	// stopGrace is the time that a process has to stop after a stop request.
	stopGrace = 2 * time.Second
	// serveAfterStop is the time for which a balancer continues to serve after a stop request. It is short because these
	// deployments have no routers to wait for.
	serveAfterStop = 10 * time.Millisecond
	// rulesTimeLimit and exclusionTimeLimit are the times within which a change of the routing rules and the exclusion of
	// a zone must be in force. They are those of the users' smaller deployments.
	rulesTimeLimit     = 3 * time.Second
	exclusionTimeLimit = 5 * time.Second
	// maxStretch is the time by which a change may be late on these deployments while the store is unstable.
	maxStretch = 12 * time.Second
)

// fleetCount is the number of deployments that this process has created. Their numbers give each its own IP addresses.
var fleetCount atomic.Uint32

// Listener is the address and port to which callers open flows. The routing rules assign it to a service.
var Listener = netip.MustParseAddrPort("198.18.0.1:8080")

// Config describes a deployment.
type Config struct {
	// BinaryFolder is the folder of the programs. When it is an empty string, balancers and sidecars run in this process.
	BinaryFolder string
	Balancers    int
	// Sidecars is the number of sidecars, each with an upstream, alternately in the zones a and b.
	Sidecars int
	// Slots is the number of requests that an upstream processes at once; 0 for endpoint.DefaultSlots.
	Slots int
	// ServiceTime is the time that an upstream takes for a request. When it is 0, requests are answered at once.
	ServiceTime time.Duration
	// ResponseAim and RequestTimeout are the fields aim_ms and timeout_ms of the route; 0 when they are not stated.
	ResponseAim    time.Duration
	RequestTimeout time.Duration
	// HasStoreProxy reports whether balancers and sidecars reach the store through a proxy, see Fleet.SilenceStore.
	HasStoreProxy bool
}

// Fleet is a running deployment of the relay path, with its store and upstreams.
type Fleet struct {
	number uint32
	// basePort is the first port of every instance. It depends on the process ID.
	basePort uint16
	cfg      Config
	store    *store.Store
	server   *serve.Server
	// storeProxy is nil unless the configuration asks for it.
	storeProxy *proxy.Proxy
	balancers  []*handle
	nodes      []*node
	// platforms holds the addresses at which instances reach the platform, by name, where it is not that of the store.
	platforms   map[string]netip.AddrPort
	callerCount atomic.Uint32
}

// handle controls a running balancer or sidecar, which runs in this process or in a process of its own.
type handle struct {
	// stop requests a planned stop and waits for its end.
	stop func()
	// kill ends the balancer or sidecar abruptly and waits for its end. For a balancer in this process it does the same as
	// stop.
	kill func()
	// signal sends a signal to the process of the balancer or sidecar. It is nil when that is this process.
	signal func(os.Signal)
}

// node is a sidecar with its upstream. sidecar and upstream are nil while they are not running.
type node struct {
	instance string
	service  string
	zone     string
	ip       netip.Addr
	sidecar  *handle
	upstream *endpoint.Upstream
	// incarnations is the number of times that the upstream was started.
	incarnations int
}

// New starts a deployment in this process with balancerCount balancers and a service with nodeCount sidecars and
// upstreams, alternately in the zones a and b. It returns an error when an address cannot be used.
func New(balancerCount, nodeCount int) (*Fleet, error) {
	return NewFromConfig(Config{Balancers: balancerCount, Sidecars: nodeCount})
}

// NewFromBinaries does the same as New, but starts a process for each balancer and sidecar from the programs in
// binaryFolder. Upstreams and the store run in this process.
func NewFromBinaries(binaryFolder string, balancerCount, nodeCount int) (*Fleet, error) {
	return NewFromConfig(Config{BinaryFolder: binaryFolder, Balancers: balancerCount, Sidecars: nodeCount})
}

// NewFromConfig starts the deployment that cfg describes. It returns an error when an address cannot be used.
func NewFromConfig(cfg Config) (*Fleet, error) {
	f := &Fleet{number: fleetCount.Add(1), store: store.New(), cfg: cfg, platforms: map[string]netip.AddrPort{}}
	f.basePort = firstPort + uint16(os.Getpid()%100)*portsPerFleet*3
	server, err := serve.New(f.address(f.ip(250, 1), portOffsetStore).String(), f.store.Handler())
	if err != nil {
		return nil, err
	}
	server.Start()
	f.server = server
	if cfg.HasStoreProxy {
		f.storeProxy, err = proxy.New(f.address(f.ip(250, 2), portOffsetStore).String(), f.address(f.ip(250, 1), portOffsetStore).String())
		if err != nil {
			return nil, err
		}
	}
	f.SetRules(1, "desk")
	for range cfg.Balancers {
		if err := f.AddBalancer(); err != nil {
			return nil, err
		}
	}
	for range cfg.Sidecars {
		if err := f.AddSidecar(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// AddSidecar adds a sidecar with its upstream to the deployment and starts both.
func (f *Fleet) AddSidecar() error {
	i := len(f.nodes)
	zone := string(rune('a' + i%2))
	f.nodes = append(f.nodes, &node{instance: "side-" + strconv.Itoa(i), service: "desk", zone: zone, ip: f.ip(1, i+1)})
	if err := f.StartUpstream(i); err != nil {
		return err
	}
	return f.StartSidecar(i)
}

// ip returns a loopback address of this deployment. Subnet 0 contains the balancers, subnet 1 the sidecars with their
// upstreams, the subnets from 2 on the callers, and subnet 250 the store.
func (f *Fleet) ip(subnet, host int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(20 + f.number), byte(subnet), byte(host)})
}

// address returns the address and port of an instance for the port with this offset.
func (f *Fleet) address(ip netip.Addr, portOffset uint16) netip.AddrPort {
	return netip.AddrPortFrom(ip, f.basePort+portOffset)
}

// Store returns the stand-in for the platform's store.
func (f *Fleet) Store() *store.Store {
	return f.store
}

// SetRules writes a configuration with this version, in which all flows to Listener are routed to this service, to the
// store.
func (f *Fleet) SetRules(version int, service string) {
	f.SetRulesWithRoutes(version, service, 0)
}

// SetRulesWithRoutes does the same as SetRules, with this number of further routes to the service. In the platform's
// format, the host of a route is the IP address of a listener and the path prefix its port.
func (f *Fleet) SetRulesWithRoutes(version int, service string, further int) {
	routes := []any{map[string]any{
		"name": "r", "host": Listener.Addr().String(), "path_prefix": fmt.Sprintf("/%d/", Listener.Port()), "service": service,
		"aim_ms": f.cfg.ResponseAim.Milliseconds(), "timeout_ms": f.cfg.RequestTimeout.Milliseconds(),
	}}
	for i := range further {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r%d", i), "host": fmt.Sprintf("198.19.%d.%d", i/256, i%256), "path_prefix": "/443/", "service": service,
			"type": "safe", "aim_ms": 250, "timeout_ms": 2500, "priority": 2, "max_attempts": 2,
		})
	}
	f.store.Put("config", "main", map[string]any{
		"version":  version,
		"routes":   routes,
		"services": []any{map[string]any{"name": "desk", "max_conns": 2000, "cold_start_s": 1}},
		"limits":   map[string]any{"idle_timeout_ms": 15000},
	})
}

// AddBalancer adds a balancer to the deployment and starts it.
func (f *Fleet) AddBalancer() error {
	f.balancers = append(f.balancers, nil)
	return f.StartBalancer(len(f.balancers) - 1)
}

// StartBalancer starts balancer number i, which must not be running.
func (f *Fleet) StartBalancer(i int) error {
	var h *handle
	var err error
	if settings := f.balancerSettings(i); f.cfg.BinaryFolder != "" {
		h, err = f.startProcess("balancer", settings.Instance(), codec.EncodeRelayBalancerSettings(settings))
	} else {
		h, err = startBalancer(settings)
	}
	f.balancers[i] = h
	return err
}

func (f *Fleet) balancerSettings(i int) landing.RelayBalancerSettings {
	ip := f.ip(0, i+1)
	instance := "edge-" + strconv.Itoa(i)
	return landing.RelayBalancerSettings{}.
		WithInstance(instance).
		WithZone("a").
		WithFront(f.address(ip, portOffsetFront).String()).
		WithReadiness(f.address(ip, portOffsetReadiness).String()).
		WithFleet(f.address(ip, portOffsetFleet).String()).
		WithPlatform(f.platformOf(instance).String()).
		WithSeeds(f.address(f.ip(0, 1), portOffsetFleet).String(), f.address(f.ip(0, 2), portOffsetFleet).String()).
		WithGrace(stopGrace).
		WithLeave(serveAfterStop).
		WithApply(rulesTimeLimit).
		WithExclude(exclusionTimeLimit).
		WithStretch(maxStretch)
}

// platformOf returns the address at which an instance reaches the platform.
func (f *Fleet) platformOf(instance string) netip.AddrPort {
	if other, isOther := f.platforms[instance]; isOther {
		return other
	}
	return f.platformAddress()
}

func startBalancer(s landing.RelayBalancerSettings) (*handle, error) {
	b, err := balancer.New(common.New(logr.Discard(), counter.New()), s)
	if err != nil {
		return nil, err
	}
	b.Start()
	return &handle{stop: b.Stop, kill: b.Stop}, nil
}

// StopBalancer stops balancer number i with a planned stop.
func (f *Fleet) StopBalancer(i int) {
	f.balancers[i].stop()
	f.balancers[i] = nil
}

// StartSidecar starts sidecar number i, which must not be running.
func (f *Fleet) StartSidecar(i int) error {
	var h *handle
	var err error
	if settings := f.sidecarSettings(f.nodes[i]); f.cfg.BinaryFolder != "" {
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
		WithPlatform(f.platformOf(n.instance).String()).
		WithSeeds(f.address(f.ip(0, 1), portOffsetFleet).String()).
		WithHeartbeat(endpoint.HeartbeatInterval).
		WithGrace(stopGrace).
		WithStretch(maxStretch)
}

func startSidecar(s landing.RelaySidecarSettings) (*handle, error) {
	sc, err := sidecar.New(common.New(logr.Discard(), counter.New()), s)
	if err != nil {
		return nil, err
	}
	sc.Start()
	return &handle{stop: sc.Stop, kill: sc.Kill}, nil
}

// KillSidecar ends sidecar number i abruptly, without a message to other processes.
func (f *Fleet) KillSidecar(i int) {
	f.nodes[i].sidecar.kill()
	f.nodes[i].sidecar = nil
}

// StopSidecar stops sidecar number i with a planned stop, as the platform does.
func (f *Fleet) StopSidecar(i int) {
	f.nodes[i].sidecar.stop()
	f.nodes[i].sidecar = nil
}

// StartUpstream starts the next incarnation of upstream number i, which must not be running.
func (f *Fleet) StartUpstream(i int) error {
	return f.startUpstream(i, endpoint.NewUpstream)
}

// StartSilentUpstream does the same as StartUpstream, but the upstream sends no heartbeats until its SetSilent is called.
func (f *Fleet) StartSilentUpstream(i int) error {
	return f.startUpstream(i, endpoint.NewSilentUpstream)
}

// startUpstream starts the next incarnation of upstream number i with one of the functions of package endpoint.
func (f *Fleet) startUpstream(i int, start func(id, service, zone string, address, outbound netip.AddrPort, heartbeats string) (*endpoint.Upstream, error)) error {
	n := f.nodes[i]
	n.incarnations++
	upstreamID := fmt.Sprintf("i-%d-%d", i, n.incarnations)
	u, err := start(upstreamID, n.service, n.zone, f.address(n.ip, portOffsetUpstream), f.address(n.ip, portOffsetOutbound), f.address(n.ip, portOffsetLocal).String())
	n.upstream = u
	if err != nil {
		return err
	}
	if f.cfg.Slots > 0 {
		u.SetSlots(f.cfg.Slots)
	}
	u.SetServiceTime(f.cfg.ServiceTime)
	return nil
}

// CrashUpstream ends upstream number i abruptly, without announcing it.
func (f *Fleet) CrashUpstream(i int) {
	f.nodes[i].upstream.Crash()
	f.nodes[i].upstream = nil
}

// Upstream returns upstream number i, or nil while it is not running.
func (f *Fleet) Upstream(i int) *endpoint.Upstream {
	return f.nodes[i].upstream
}

// Runs returns how often the running upstreams have begun to process a request with this text.
func (f *Fleet) Runs(request string) int {
	runs := 0
	for _, n := range f.nodes {
		if n.upstream != nil {
			runs += n.upstream.Runs(request)
		}
	}
	return runs
}

// PostHeartbeat sends a heartbeat of the upstream incarnation id to sidecar number i. It returns the status of the response,
// or an error if there is none.
func (f *Fleet) PostHeartbeat(i int, id string, body []byte) (int, error) {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	return endpoint.PostHeartbeat(client, f.address(f.nodes[i].ip, portOffsetLocal).String(), id, body)
}

// IsReady reports whether balancer number i responds to a readiness check of the platform with status 200.
func (f *Fleet) IsReady(i int) bool {
	resp, err := http.Get("http://" + f.address(f.ip(0, i+1), portOffsetReadiness).String() + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// RouteThrough returns a route that sends all packets to balancer number i.
func (f *Fleet) RouteThrough(i int) endpoint.Route {
	return func() netip.AddrPort { return f.address(f.ip(0, i+1), portOffsetFront) }
}

// OpenFlow opens a flow from a caller address of its own to Listener, by way of the balancer that route returns for each
// packet. It returns endpoint.ErrReset when the flow is refused and endpoint.ErrTimeout when there is no response within
// timeout.
func (f *Fleet) OpenFlow(route endpoint.Route, timeout time.Duration) (*endpoint.Flow, error) {
	number := f.callerCount.Add(1)
	callerAddress := f.address(f.ip(int(2+number/200), int(number%200)+1), portOffsetFront)
	return endpoint.OpenFlow(callerAddress, uint16(1024+number), Listener, route, timeout)
}

// Stop stops the whole deployment. Sidecars and upstreams are ended abruptly.
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
	if f.storeProxy != nil {
		f.storeProxy.Stop()
	}
	f.server.Stop()
}
