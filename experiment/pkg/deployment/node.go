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
	// KeepaliveIdle is the idle time after which keepalive probes are sent to both ends of a flow.
	KeepaliveIdle = time.Second

	// maxConnections is the largest number of flows that may be open at an upstream.
	maxConnections = 2000
	// drainTimeout is the longest time that a planned stop of a sidecar waits for open flows to end.
	drainTimeout = 20 * time.Second
)

// Node is an upstream with the sidecar that runs next to it.
type Node struct {
	*sidecar.Sidecar
	upstream  *upstream.Server
	settings  landing.SidecarSettings
	telemetry common.Telemetry
}

// Instance returns the instance name of the sidecar and its upstream.
func (n *Node) Instance() string {
	return n.settings.Instance()
}

// Zone returns the availability zone of the sidecar and its upstream.
func (n *Node) Zone() string {
	return n.settings.Zone()
}

// Service returns the name of the service that the upstream provides.
func (n *Node) Service() string {
	return n.settings.Service()
}

// Upstream returns the stand-in upstream.
func (n *Node) Upstream() *upstream.Server {
	return n.upstream
}

// Counters returns the metrics of the sidecar.
func (n *Node) Counters() *counter.Set {
	return n.telemetry.Counters()
}

// Kill stops the sidecar and the upstream abruptly, without an announcement.
func (n *Node) Kill() {
	n.Sidecar.Kill()
	n.upstream.Kill()
}

// AddNode starts upstream number i of the service s, and its sidecar. No running upstream of s may have this number.
func (d *Deployment) AddNode(s Service, i int) (*Node, error) {
	instance := numberedName(s.name, i)
	local := newAddress()
	upstreamServer, err := upstream.New(d.newTelemetry(instance), landing.UpstreamSettings{}.
		WithInstance(instance).
		WithListen(newAddress()).
		WithSidecar(local).
		WithSlots(s.slots).
		WithCold(s.coldSlots).
		WithWarmup(s.warmup).
		WithService(s.serviceTimeOf(i)).
		WithPack(landing.ByteSize{}.WithBytes(s.downloadBytes)))
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
		WithBalancers(d.ControlAddresses()...).
		WithFabric(d.fabric.ReplyAddress()).
		WithUpstream(upstreamServer.Address()).
		WithSlots(s.slots).
		WithConnections(maxConnections).
		WithHeartbeat(heartbeatInterval).
		WithQueue(d.plan.queueTimeout).
		WithDeadline(d.plan.responseTimeout).
		WithKeepalive(KeepaliveIdle).
		WithDrain(drainTimeout)
	telemetry := d.newTelemetry(instance)
	sidecarApp, err := sidecar.New(telemetry, settings)
	if err != nil {
		upstreamServer.Kill()
		return nil, err
	}
	sidecarApp.Start()
	upstreamServer.Start()
	n := &Node{Sidecar: sidecarApp, upstream: upstreamServer, settings: settings, telemetry: telemetry}
	d.nodes = append(d.nodes, n)
	return n, nil
}

// StopNode stops a node as in a planned stop: the upstream announces to the sidecar that it leaves, and the sidecar waits
// for the end of the open flows, at most for drainTimeout, before both stop.
func (d *Deployment) StopNode(n *Node) {
	n.upstream.AnnounceLeaving()
	n.Drain()
	n.Stop()
	n.upstream.Stop()
	d.detachNode(n)
}

// KillNode stops a node abruptly and removes it from the deployment.
func (d *Deployment) KillNode(n *Node) {
	n.Kill()
	d.detachNode(n)
}

// detachNode removes a node from the list of running nodes.
func (d *Deployment) detachNode(n *Node) {
	for i, other := range d.nodes {
		if other == n {
			d.nodes = append(d.nodes[:i:i], d.nodes[i+1:]...)
			return
		}
	}
}
