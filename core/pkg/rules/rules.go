// Package rules looks up the listener and the services of a new flow in the operators' routing
// rules.
package rules

import (
	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/position"
)

// Index finds listeners and upstream pools (the limits for the upstreams of a service) in routing
// rules. It is immutable. A nil index contains no rules.
type Index struct {
	rules     landing.RoutingRules
	listeners map[endpoint]landing.Listener
	pools     map[string]landing.UpstreamPool
}

// endpoint is an IPv4 address and TCP port that callers connect to.
type endpoint struct {
	address uint32
	port    uint32
}

// New returns the index of the rules.
func New(rules landing.RoutingRules) *Index {
	index := &Index{rules: rules, listeners: map[endpoint]landing.Listener{}, pools: map[string]landing.UpstreamPool{}}
	for i := range rules.ListenersLen() {
		listener := rules.ListenersAt(i)
		index.listeners[endpoint{listener.Address(), listener.Port()}] = listener
	}
	for i := range rules.PoolsLen() {
		index.pools[rules.PoolsAt(i).Service()] = rules.PoolsAt(i)
	}
	return index
}

// Rules returns the rules from which the index was made, or the zero value for a nil index.
func (i *Index) Rules() landing.RoutingRules {
	if i == nil {
		return landing.RoutingRules{}
	}
	return i.rules
}

// FindListener returns the listener at the destination of the flow and whether there is one.
func (i *Index) FindListener(key landing.FlowKey) (landing.Listener, bool) {
	if i == nil {
		return landing.Listener{}, false
	}
	listener, found := i.listeners[endpoint{key.DestinationAddress(), key.DestinationPort()}]
	return listener, found
}

// Pool returns the limits for the upstreams of a service, or the zero value when the rules contain
// no pool for it.
func (i *Index) Pool(service string) landing.UpstreamPool {
	if i == nil {
		return landing.UpstreamPool{}
	}
	return i.pools[service]
}

// Allows reports whether new flows of the listener may go to the service.
func Allows(listener landing.Listener, service string) bool {
	for i := range listener.SharesLen() {
		if listener.SharesAt(i).Service() == service && listener.SharesAt(i).Weight() > 0 {
			return true
		}
	}
	return false
}

// ServiceOrder returns the services of a listener in the order in which they are tried for the flow
// with this hash. The first is drawn in proportion to the weights. Each further one is tried when
// no sidecar of the services before it can get the flow. Services with weight 0 are left out.
func ServiceOrder(listener landing.Listener, hash uint64) []string {
	first := drawByWeight(listener, hash)
	services := []string{}
	for i := range listener.SharesLen() {
		share := listener.SharesAt((first + i) % listener.SharesLen())
		if share.Weight() > 0 {
			services = append(services, share.Service())
		}
	}
	return services
}

// drawByWeight returns the index of the share that the hash selects in proportion to the weights,
// or 0 when the sum of the weights is 0.
func drawByWeight(listener landing.Listener, hash uint64) int {
	total := uint64(0)
	for i := range listener.SharesLen() {
		total += uint64(listener.SharesAt(i).Weight())
	}
	if total == 0 {
		return 0
	}
	// The same hash also determines the order of the sidecars within a service. The draw uses only
	// the high 32 bits.
	point := (hash >> 32) % total
	for i := range listener.SharesLen() {
		weight := uint64(listener.SharesAt(i).Weight())
		if point < weight {
			return i
		}
		point -= weight
	}
	return 0
}

// IsNewer reports whether a has a higher version than b or, if both have the same one, was accepted
// later by the platform, the service outside the fleet that stores the rules. Operators only increase
// versions. The platform can come back from an older copy, whose rules were accepted later by the count
// of its eras and have a lower version.
func IsNewer(a, b landing.RoutingRules) bool {
	if a.Version() != b.Version() {
		return a.Version() > b.Version()
	}
	return position.IsLater(position.OfRules(a), position.OfRules(b))
}
