// Package deployment runs a small deployment with all its parts in one process, on loopback:
// the stand-ins for platform, fabric and upstreams, and real balancers and sidecars.
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
	client "github.com/crocuslanding/crocuslanding/core/pkg/platform"
	"github.com/crocuslanding/crocuslanding/landingctl/pkg/config"
	"github.com/crocuslanding/crocuslanding/standin/pkg/fabric"
	"github.com/crocuslanding/crocuslanding/standin/pkg/platform"
)

const (
	// Region is the name of the only region.
	Region = "khomas"

	gossipInterval    = 100 * time.Millisecond
	expiry            = 1500 * time.Millisecond
	heartbeatInterval = 200 * time.Millisecond
	pollInterval      = 10 * time.Millisecond
	platformWrites    = 300
	platformReads     = 2000
)

// Deployment is a running deployment.
type Deployment struct {
	plan      Plan
	out       io.Writer
	platform  *platform.Server
	fabric    *fabric.Fabric
	balancers []*Balancer
	nodes     []*Node
}

// New starts the deployment of this plan, whose logs go to out. It returns when every balancer has
// the lists and all upstreams, or an error when that takes too long or an address cannot be used.
func New(plan Plan, out io.Writer) (*Deployment, error) {
	d := &Deployment{plan: plan, out: out}
	if err := d.start(); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start() error {
	var err error
	settings := landing.PlatformSettings{}.
		WithListen(newAddress()).
		WithWrites(platformWrites).
		WithReads(platformReads)
	if d.platform, err = platform.New(settings); err != nil {
		return err
	}
	d.platform.Start()
	if d.fabric, err = fabric.New(d.common("fabric"), landing.FabricSettings{}.WithFront(newAddress()).WithSeed(d.plan.seed)); err != nil {
		return err
	}
	d.fabric.Start()
	for i := range d.plan.balancers {
		if _, err := d.AddBalancer(i); err != nil {
			return err
		}
	}
	if err := d.apply(); err != nil {
		return err
	}
	for _, s := range d.plan.services {
		for i := range s.count {
			if _, err := d.AddNode(s, i); err != nil {
				return err
			}
		}
	}
	return d.AwaitReady()
}

func (d *Deployment) apply() error {
	c := d.NewPlatformClient()
	defer c.Close()
	_, err := config.Write(context.Background(), c, config.Config{}, d.plan.Lists(), "experiment", time.Now())
	return err
}

// NewPlatformClient returns a client of the stand-in platform.
func (d *Deployment) NewPlatformClient() *client.Client {
	return client.New(d.platform.Address())
}

// Platform returns the stand-in platform.
func (d *Deployment) Platform() *platform.Server {
	return d.platform
}

// Fabric returns the stand-in fabric.
func (d *Deployment) Fabric() *fabric.Fabric {
	return d.fabric
}

// Balancers returns the balancers that run.
func (d *Deployment) Balancers() []*Balancer {
	return d.balancers
}

// Nodes returns the upstreams that run, with their sidecars.
func (d *Deployment) Nodes() []*Node {
	return d.nodes
}

// Controls returns the control addresses of all balancers that run.
func (d *Deployment) Controls() []string {
	var list []string
	for _, b := range d.balancers {
		list = append(list, b.Control())
	}
	return list
}

// AwaitReady waits until every balancer has lists and all upstreams that run, and no others.
func (d *Deployment) AwaitReady() error {
	return Await(func() bool {
		for _, b := range d.balancers {
			s := b.Snapshot()
			if s.Root().Serial() == 0 || s.Roster().TargetsLen() != len(d.nodes) || !hasAll(s.Roster(), d.nodes) {
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

func hasAll(r landing.Roster, nodes []*Node) bool {
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

// Await waits until the state is as wanted. It returns trace.LimitExceeded after a long time.
func Await(isReached func() bool) error {
	const longest = 30 * time.Second
	deadline := time.Now().Add(longest)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !isReached() {
		if time.Now().After(deadline) {
			return trace.LimitExceeded("the wanted state was not reached in %s", longest)
		}
		<-ticker.C
	}
	return nil
}

// Client returns an HTTP client of this customer's, whose connections go through the fabric.
func (d *Deployment) Client(customer int) *http.Client {
	return d.ClientFrom(customer, 0)
}

// ClientFrom returns an HTTP client as Client does, whose connections all come from this port.
func (d *Deployment) ClientFrom(customer int, port uint16) *http.Client {
	caller := netip.AddrPortFrom(d.plan.Caller(customer), port)
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

// Stop stops everything at once.
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

func (d *Deployment) common(instance string) common.Telemetry {
	return common.New(common.NewLogger(d.out, instance, 0), counter.New())
}
