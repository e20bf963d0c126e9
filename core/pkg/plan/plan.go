// Package plan finds the customer and the service of a packet in the lists (the services, customers
// and plans that operators configure), and decides whether the customer's plan includes the
// service. A plan consists of grants, each of which permits the use of one service in some
// availability zones.
package plan

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
)

// Index is a lookup index over the lists. It is immutable. The maps and callerRanges refer to
// services, customers and grants by their index in the slices, and to plans by their index in the
// lists.
type Index struct {
	services          []landing.Service
	customers         []landing.Customer
	grants            []landing.Grant
	serviceByEndpoint map[endpoint]uint32
	callerRanges      []callerRange
	grantByKey        map[grantKey]uint32
	planByName        map[string]uint32
}

// endpoint is the IPv4 address and port of a service.
type endpoint struct {
	address uint32
	port    uint32
}

// callerRange is the range of IPv4 addresses of one prefix of a customer, from first to last
// inclusive.
type callerRange struct {
	first         uint32
	last          uint32
	customerIndex uint32
	planIndex     uint32
}

// grantKey identifies a grant by the indexes of its plan and its service in the lists.
type grantKey struct {
	planIndex    uint32
	serviceIndex uint32
}

// Access is the permission of a customer to use a service, with the grant that gives it.
type Access struct {
	index         *Index
	customerIndex uint32
	serviceIndex  uint32
	grantIndex    uint32
}

// Customer returns the customer that the caller belongs to.
func (a Access) Customer() landing.Customer {
	return a.index.customers[a.customerIndex]
}

// Service returns the service that the caller connects to.
func (a Access) Service() landing.Service {
	return a.index.services[a.serviceIndex]
}

// Grant returns the grant of the customer's plan for the service.
func (a Access) Grant() landing.Grant {
	return a.index.grants[a.grantIndex]
}

// GrantIndex returns the index of the grant in the result of Index.Grants.
func (a Access) GrantIndex() int {
	return int(a.grantIndex)
}

// New returns the index over l, which must be valid (lists.Check reports no finding). If there are
// entries with an invalid address, prefix or reference, they are skipped.
func New(l landing.Lists) *Index {
	x := &Index{
		services:          l.Services(),
		customers:         l.Customers(),
		serviceByEndpoint: make(map[endpoint]uint32, l.ServicesLen()),
		grantByKey:        map[grantKey]uint32{},
		planByName:        make(map[string]uint32, l.PlansLen()),
	}
	serviceByName := map[string]uint32{}
	for i, s := range x.services {
		serviceByName[s.Name()] = uint32(i)
		x.addServiceEndpoint(s, uint32(i))
	}
	for i, p := range l.Plans() {
		x.planByName[p.Name()] = uint32(i)
		x.addGrants(p, uint32(i), serviceByName)
	}
	for i, c := range x.customers {
		x.addCallerRanges(c, uint32(i))
	}
	slices.SortFunc(x.callerRanges, func(a, b callerRange) int { return cmp.Compare(a.first, b.first) })
	return x
}

func (x *Index) addServiceEndpoint(s landing.Service, index uint32) {
	addrPort, err := netip.ParseAddrPort(s.Address())
	if err != nil {
		return
	}
	x.serviceByEndpoint[endpoint{address.ToUint32(addrPort.Addr()), uint32(addrPort.Port())}] = index
}

func (x *Index) addGrants(p landing.Plan, planIndex uint32, serviceByName map[string]uint32) {
	for _, g := range p.Grants() {
		serviceIndex, ok := serviceByName[g.Service()]
		if !ok {
			continue
		}
		x.grantByKey[grantKey{planIndex, serviceIndex}] = uint32(len(x.grants))
		x.grants = append(x.grants, g)
	}
}

func (x *Index) addCallerRanges(c landing.Customer, customerIndex uint32) {
	planIndex, ok := x.planByName[c.Plan()]
	if !ok {
		return
	}
	for _, text := range c.Prefixes() {
		prefix, err := netip.ParsePrefix(text)
		if err != nil || !prefix.Addr().Is4() {
			continue
		}
		first := address.ToUint32(prefix.Masked().Addr())
		last := first | uint32(1<<(prefix.Addr().BitLen()-prefix.Bits())-1)
		x.callerRanges = append(x.callerRanges, callerRange{first, last, customerIndex, planIndex})
	}
}

// Grants returns the grants of all plans, in the order of the plans.
func (x *Index) Grants() []landing.Grant {
	return slices.Clone(x.grants)
}

// Find returns the permission under which the caller may open flow k and RefusalUnspecified, or a
// zero Access and the reason why the caller may not open the flow.
func (x *Index) Find(k landing.FlowKey) (Access, landing.Refusal) {
	serviceIndex, ok := x.serviceByEndpoint[endpoint{k.DestinationAddress(), k.DestinationPort()}]
	if !ok {
		return Access{}, landing.RefusalService
	}
	callers, ok := x.findCallerRange(k.SourceAddress())
	if !ok {
		return Access{}, landing.RefusalCaller
	}
	grantIndex, ok := x.grantByKey[grantKey{callers.planIndex, serviceIndex}]
	if !ok {
		return Access{}, landing.RefusalPlan
	}
	return Access{x, callers.customerIndex, serviceIndex, grantIndex}, landing.RefusalUnspecified
}

// findCallerRange returns the range that contains the address source, and whether there is one.
func (x *Index) findCallerRange(source uint32) (callerRange, bool) {
	low, high := 0, len(x.callerRanges)
	for low < high {
		middle := (low + high) / 2
		if x.callerRanges[middle].last < source {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == len(x.callerRanges) || x.callerRanges[low].first > source {
		return callerRange{}, false
	}
	return x.callerRanges[low], true
}
