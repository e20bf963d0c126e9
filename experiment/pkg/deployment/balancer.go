package deployment

import (
	balancer "github.com/crocuslanding/crocuslanding/balancer/pkg/app"
	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/counter"
)

// Balancer is a running balancer of the deployment.
type Balancer struct {
	*balancer.Balancer
	settings  landing.BalancerSettings
	telemetry common.Telemetry
}

// FrontAddress returns the UDP address on which the balancer receives packets.
func (b *Balancer) FrontAddress() string {
	return b.settings.Front()
}

// ControlAddress returns the TCP address of the balancer's control service.
func (b *Balancer) ControlAddress() string {
	return b.settings.Control()
}

// Counters returns the metrics of the balancer.
func (b *Balancer) Counters() *counter.Set {
	return b.telemetry.Counters()
}

// AddBalancer starts balancer number i and adds it to the fabric. No running balancer may have this number.
func (d *Deployment) AddBalancer(i int) (*Balancer, error) {
	s := landing.BalancerSettings{}.
		WithInstance(numberedName("balancer", i)).
		WithRegion(Region).
		WithZone(d.plan.zoneOf(i)).
		WithFront(newAddress()).
		WithControl(newAddress()).
		WithPlatform(d.platform.Address()).
		WithPeers(d.ControlAddresses()...).
		WithWorkers(1).
		WithGossip(gossipInterval).
		WithExpiry(targetTimeout)
	telemetry := d.newTelemetry(s.Instance())
	b, err := balancer.New(telemetry, s)
	if err != nil {
		return nil, err
	}
	b.Start()
	added := &Balancer{Balancer: b, settings: s, telemetry: telemetry}
	d.balancers = append(d.balancers, added)
	d.updateFabric()
	return added, nil
}

// FailBalancer stops a balancer while the fabric still sends packets to it. These packets are lost until the balancer has
// stopped and is removed from the fabric.
func (d *Deployment) FailBalancer(b *Balancer) {
	b.Stop()
	d.detachBalancer(b)
}

// detachBalancer removes a balancer from the deployment and from the fabric.
func (d *Deployment) detachBalancer(b *Balancer) {
	for i, other := range d.balancers {
		if other == b {
			d.balancers = append(d.balancers[:i:i], d.balancers[i+1:]...)
			break
		}
	}
	d.updateFabric()
}

// StopBalancer stops a balancer as in a planned stop: the fabric sends it no more packets before it stops.
func (d *Deployment) StopBalancer(b *Balancer) {
	d.detachBalancer(b)
	b.Stop()
}

// updateFabric makes the fabric distribute packets over the running balancers.
func (d *Deployment) updateFabric() {
	var fronts []string
	for _, b := range d.balancers {
		fronts = append(fronts, b.FrontAddress())
	}
	d.fabric.SetBalancers(fronts)
}
