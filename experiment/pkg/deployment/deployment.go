// Package deployment runs a small deployment in this process, on loopback addresses: stand-ins for the platform, the
// fabric and the upstreams, and real balancers and sidecars.
//
// The platform is the service outside the fleet that stores versioned objects. The fabric is the network between callers
// and balancers. The lists are the configuration that operators edit: services, customers and plans.
package deployment

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/counter"
	platformclient "github.com/crocuslanding/crocuslanding/core/pkg/platform"
	"github.com/crocuslanding/crocuslanding/landingctl/pkg/config"
	"github.com/crocuslanding/crocuslanding/standin/pkg/fabric"
	"github.com/crocuslanding/crocuslanding/standin/pkg/platform"
)

const (
	// Region is the name of the only region.
	Region = "khomas"

	// gossipInterval is the interval between two gossip rounds of a balancer.
	gossipInterval = 100 * time.Millisecond
	// targetTimeout is the time without a heartbeat after which a target, an upstream as the roster lists it, is removed
	// from the roster.
	targetTimeout = 1500 * time.Millisecond
	// heartbeatInterval is the interval between two heartbeats of a sidecar.
	heartbeatInterval = 200 * time.Millisecond
	// pollInterval is the time between two checks of Await.
	pollInterval = 10 * time.Millisecond
	// platformWritesPerSecond and platformReadsPerSecond are the rates above which the stand-in platform refuses calls.
	platformWritesPerSecond = 300
	platformReadsPerSecond  = 2000
)

// Deployment is a running deployment.
type Deployment struct {
	plan      Plan
	logOutput io.Writer
	platform  *platform.Server
	fabric    *fabric.Fabric
	balancers []*Balancer
	nodes     []*Node
}

// New starts the deployment described by plan, writes its logs to logOutput, and waits as AwaitReady does. It stops
// everything and returns an error when an address cannot be used or the deployment is not ready in time.
func New(plan Plan, logOutput io.Writer) (*Deployment, error) {
	d := &Deployment{plan: plan, logOutput: logOutput}
	if err := d.start(); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

// start starts all parts of the plan and waits until they are ready.
func (d *Deployment) start() error {
	var err error
	settings := landing.PlatformSettings{}.
		WithListen(newAddress()).
		WithWrites(platformWritesPerSecond).
		WithReads(platformReadsPerSecond)
	if d.platform, err = platform.New(settings); err != nil {
		return err
	}
	d.platform.Start()
	if d.fabric, err = fabric.New(d.newTelemetry("fabric"), landing.FabricSettings{}.WithFront(newAddress()).WithSeed(d.plan.fabricSeed)); err != nil {
		return err
	}
	d.fabric.Start()
	for i := range d.plan.balancerCount {
		if _, err := d.AddBalancer(i); err != nil {
			return err
		}
	}
	if err := d.applyLists(); err != nil {
		return err
	}
	for _, s := range d.plan.services {
		for i := range s.upstreamCount {
			if _, err := d.AddNode(s, i); err != nil {
				return err
			}
		}
	}
	return d.AwaitReady()
}

// applyLists writes the lists of the plan to the platform.
func (d *Deployment) applyLists() error {
	c := d.NewPlatformClient()
	_, err := config.Write(context.Background(), c, config.Config{}, d.plan.Lists(), "experiment", time.Now())
	return err
}

// NewPlatformClient returns a client of the stand-in platform.
func (d *Deployment) NewPlatformClient() *platformclient.Client {
	return platformclient.New(d.platform.Address())
}

// Platform returns the stand-in platform.
func (d *Deployment) Platform() *platform.Server {
	return d.platform
}

// Fabric returns the stand-in fabric.
func (d *Deployment) Fabric() *fabric.Fabric {
	return d.fabric
}

// Balancers returns the running balancers.
func (d *Deployment) Balancers() []*Balancer {
	return d.balancers
}

// Nodes returns the running nodes.
func (d *Deployment) Nodes() []*Node {
	return d.nodes
}

// ControlAddresses returns the addresses of the control services of all running balancers.
func (d *Deployment) ControlAddresses() []string {
	var list []string
	for _, b := range d.balancers {
		list = append(list, b.ControlAddress())
	}
	return list
}

// AwaitReady waits until every balancer has lists and a roster of exactly the running nodes, and every sidecar is ready.
// It returns the error of Await.
func (d *Deployment) AwaitReady() error {
	return Await(func() bool {
		for _, b := range d.balancers {
			s := b.Snapshot()
			if s.Root().Serial() == 0 || s.Roster().TargetsLen() != len(d.nodes) || !containsAll(s.Roster(), d.nodes) {
				return false
			}
		}
		for _, n := range d.nodes {
			if !n.Snapshot().IsReady() {
				return false
			}
		}
		return true
	})
}

// containsAll reports whether the roster lists every node as a target that has not left.
func containsAll(r landing.Roster, nodes []*Node) bool {
	for _, n := range nodes {
		found := false
		for _, t := range r.Targets() {
			found = found || t.Instance() == n.Instance() && t.Phase() != landing.PhaseLeft
		}
		if !found {
			return false
		}
	}
	return true
}

// Await polls isMet until it returns true. It returns trace.LimitExceeded after awaitTimeout.
func Await(isMet func() bool) error {
	const awaitTimeout = 30 * time.Second
	deadline := time.Now().Add(awaitTimeout)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !isMet() {
		if time.Now().After(deadline) {
			return trace.LimitExceeded("condition was not met within %s", awaitTimeout)
		}
		<-ticker.C
	}
	return nil
}

// NewClient returns an HTTP client that connects through the fabric from the address of this customer. It opens a new
// connection, and thereby a new flow, for each request.
func (d *Deployment) NewClient(customer int) *http.Client {
	return d.NewClientFromPort(customer, 0)
}

// NewClientFromPort returns a client like that of NewClient, but with this source port for all connections. Port 0 means a
// free port for each connection.
func (d *Deployment) NewClientFromPort(customer int, port uint16) *http.Client {
	caller := netip.AddrPortFrom(d.plan.CallerAddress(customer), port)
	return &http.Client{Transport: &http.Transport{
		DisableCompression: true,
		DisableKeepAlives:  true,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			service, err := netip.ParseAddrPort(address)
			if err != nil {
				return nil, err
			}
			return d.fabric.Stack().Dial(ctx, caller, service)
		},
	}}
}

// Stop stops the whole deployment. Nodes are killed without a drain.
func (d *Deployment) Stop() {
	for _, n := range d.nodes {
		n.Kill()
	}
	for _, b := range d.balancers {
		b.Stop()
	}
	if d.fabric != nil {
		d.fabric.Stop()
	}
	if d.platform != nil {
		d.platform.Stop()
	}
}

func (d *Deployment) newTelemetry(instance string) common.Telemetry {
	return common.New(common.NewLogger(d.logOutput, instance, 0), counter.New())
}
