// Package rules finds the service of a new flow by the operators' rules.
package rules

import (
	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// Index is an index over rules. It is immutable; nil stands for no rules.
type Index struct {
	rules     landing.RoutingRules
	listeners map[place]landing.Listener
	pools     map[string]landing.UpstreamPool
}

// place is an address and port at which callers arrive.
type place struct {
	address uint32
	port    uint32
}

// New returns the index over r.
func New(r landing.RoutingRules) *Index {
	v := &Index{rules: r, listeners: map[place]landing.Listener{}, pools: map[string]landing.UpstreamPool{}}
	for i := range r.ListenersLen() {
		l := r.ListenersAt(i)
		v.listeners[place{l.Address(), l.Port()}] = l
	}
	for i := range r.PoolsLen() {
		v.pools[r.PoolsAt(i).Service()] = r.PoolsAt(i)
	}
	return v
}

// Rules returns the rules.
func (v *Index) Rules() landing.RoutingRules {
	if v == nil {
		return landing.RoutingRules{}
	}
	return v.rules
}

// FindListener returns the listener of flow k.
func (v *Index) FindListener(k landing.FlowKey) (landing.Listener, bool) {
	if v == nil {
		return landing.Listener{}, false
	}
	l, found := v.listeners[place{k.DestinationAddress(), k.DestinationPort()}]
	return l, found
}

// Pool returns what the rules say of the upstreams of a service.
func (v *Index) Pool(service string) landing.UpstreamPool {
	if v == nil {
		return landing.UpstreamPool{}
	}
	return v.pools[service]
}

// Allows says whether new flows of the listener may go to the service.
func Allows(l landing.Listener, service string) bool {
	for i := range l.SharesLen() {
		if l.SharesAt(i).Service() == service && l.SharesAt(i).Weight() > 0 {
			return true
		}
	}
	return false
}

// ServiceOrder returns the services of a listener in the order in which the flow with this hash is offered to them.
// The first is drawn by weight; the others follow for the case that it has no upstream.
func ServiceOrder(l landing.Listener, hash uint64) []string {
	first := draw(l, hash)
	services := []string{}
	for i := range l.SharesLen() {
		s := l.SharesAt((first + i) % l.SharesLen())
		if s.Weight() > 0 {
			services = append(services, s.Service())
		}
	}
	return services
}

func draw(l landing.Listener, hash uint64) int {
	total := uint64(0)
	for i := range l.SharesLen() {
		total += uint64(l.SharesAt(i).Weight())
	}
	if total == 0 {
		return 0
	}
	// The low bits of the hash order the sidecars, so the draw takes the high ones.
	point := (hash >> 32) % total
	for i := range l.SharesLen() {
		weight := uint64(l.SharesAt(i).Weight())
		if point < weight {
			return i
		}
		point -= weight
	}
	return 0
}

// IsNewer says whether a was accepted after b.
func IsNewer(a, b landing.RoutingRules) bool {
	return a.Revision() > b.Revision()
}
