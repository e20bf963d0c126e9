package deployment

import (
	balancer "github.com/crocuslanding/crocuslanding/balancer/pkg/app"
	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/counter"
)

// Balancer is one balancer of the deployment.
type Balancer struct {
	*balancer.Balancer
	settings landing.BalancerSettings
	common   common.Telemetry
}

// Front returns the UDP address of the balancer.
func (b *Balancer) Front() string {
	return b.settings.Front()
}

// Control returns the control address of the balancer.
func (b *Balancer) Control() string {
	return b.settings.Control()
}

// Counters returns the counters of the balancer.
func (b *Balancer) Counters() *counter.Set {
	return b.common.Counters()
}

// AddBalancer starts balancer number i and lets the fabric use it.
func (d *Deployment) AddBalancer(i int) (*Balancer, error) {
	s := landing.BalancerSettings{}.
		WithInstance(nameOf("balancer", i)).
		WithRegion(Region).
		WithZone(d.plan.zoneOf(i)).
		WithFront(newAddress()).
		WithControl(newAddress()).
		WithPlatform(d.platform.Address()).
		WithPeers(d.Controls()...).
		WithWorkers(1).
		WithGossip(gossipInterval).
		WithExpiry(expiry)
	c := d.common(s.Instance())
	b, err := balancer.New(c, s)
	if err != nil {
		return nil, err
	}
	b.Start()
	added := &Balancer{Balancer: b, settings: s, common: c}
	d.balancers = append(d.balancers, added)
	d.aimFabric()
	return added, nil
}

// RemoveBalancer stops a balancer. The fabric stops using it only afterwards, so packets are lost.
func (d *Deployment) RemoveBalancer(b *Balancer) {
	b.Stop()
	d.forgetBalancer(b)
}

func (d *Deployment) forgetBalancer(b *Balancer) {
	for i, other := range d.balancers {
		if other == b {
			d.balancers = append(d.balancers[:i:i], d.balancers[i+1:]...)
			break
		}
	}
	d.aimFabric()
}

// StopBalancer stops a balancer as planned: the fabric stops using it first.
func (d *Deployment) StopBalancer(b *Balancer) {
	d.forgetBalancer(b)
	b.Stop()
}

func (d *Deployment) aimFabric() {
	var fronts []string
	for _, b := range d.balancers {
		fronts = append(fronts, b.Front())
	}
	d.fabric.SetBalancers(fronts)
}
