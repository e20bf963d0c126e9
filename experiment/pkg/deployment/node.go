package deployment

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/counter"
	sidecar "github.com/crocuslanding/crocuslanding/sidecar/pkg/app"
	"github.com/crocuslanding/crocuslanding/standin/pkg/upstream"
)

const (
	// Keepalive is the idle time after which flows are probed.
	Keepalive = time.Second

	connections = 2000
	drainTime   = 20 * time.Second
)

// Node is one upstream with its sidecar.
type Node struct {
	*sidecar.Sidecar
	upstream *upstream.Server
	settings landing.SidecarSettings
	common   common.Telemetry
}

// Instance returns the instance name.
func (n *Node) Instance() string {
	return n.settings.Instance()
}

// Zone returns the availability zone.
func (n *Node) Zone() string {
	return n.settings.Zone()
}

// Service returns the name of the service.
func (n *Node) Service() string {
	return n.settings.Service()
}

// Upstream returns the upstream.
func (n *Node) Upstream() *upstream.Server {
	return n.upstream
}

// Counters returns the counters of the sidecar.
func (n *Node) Counters() *counter.Set {
	return n.common.Counters()
}

// Kill ends the sidecar and the upstream at once.
func (n *Node) Kill() {
	n.Sidecar.Kill()
	n.upstream.Kill()
}

// AddNode starts upstream number i of a service, and its sidecar.
func (d *Deployment) AddNode(s Service, i int) (*Node, error) {
	instance := nameOf(s.name, i)
	local := newAddress()
	up, err := upstream.New(d.common(instance), landing.UpstreamSettings{}.
		WithInstance(instance).
		WithListen(newAddress()).
		WithSidecar(local).
		WithSlots(s.slots).
		WithCold(s.cold).
		WithWarmup(s.warmup).
		WithService(s.timeOf(i)).
		WithPack(landing.ByteSize{}.WithBytes(s.download)))
	if err != nil {
		return nil, err
	}
	settings := landing.SidecarSettings{}.
		WithInstance(instance).
		WithRegion(Region).
		WithZone(d.plan.zoneOf(i)).
		WithService(s.name).
		WithFront(newAddress()).
		WithLocal(local).
		WithBalancers(d.Controls()...).
		WithFabric(d.fabric.ReplyAddress()).
		WithUpstream(up.Address()).
		WithSlots(s.slots).
		WithConnections(connections).
		WithHeartbeat(heartbeatInterval).
		WithQueue(d.plan.patience).
		WithDeadline(d.plan.deadline).
		WithKeepalive(Keepalive).
		WithDrain(drainTime)
	c := d.common(instance)
	side, err := sidecar.New(c, settings)
	if err != nil {
		up.Kill()
		return nil, err
	}
	side.Start()
	up.Start()
	n := &Node{Sidecar: side, upstream: up, settings: settings, common: c}
	d.nodes = append(d.nodes, n)
	return n, nil
}

// RemoveNode stops an upstream as planned: it announces that it leaves, and what it holds ends whole.
func (d *Deployment) RemoveNode(n *Node) {
	n.upstream.AnnounceLeaving()
	n.Drain()
	n.Stop()
	n.upstream.Stop()
	d.forget(n)
}

// KillNode ends an upstream and its sidecar at once.
func (d *Deployment) KillNode(n *Node) {
	n.Kill()
	d.forget(n)
}

func (d *Deployment) forget(n *Node) {
	for i, other := range d.nodes {
		if other == n {
			d.nodes = append(d.nodes[:i:i], d.nodes[i+1:]...)
			return
		}
	}
}
