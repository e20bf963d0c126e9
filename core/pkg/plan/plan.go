// Package plan decides which customer and service a packet belongs to, and whether
// the customer's plan grants the service. It is an index over the lists in force.
package plan

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
)

// Index finds customers, services and grants. It is immutable.
type Index struct {
	services  []landing.Service
	customers []landing.Customer
	list      []landing.Grant
	doorways  map[doorway]uint32
	ranges    []callerRange
	grants    map[grantKey]uint32
	plans     map[string]uint32
}

type doorway struct {
	address uint32
	port    uint32
}

// callerRange is the addresses from first to last, which belong to one customer.
type callerRange struct {
	first    uint32
	last     uint32
	customer uint32
	plan     uint32
}

// grantKey names a grant by the places of its plan and service in the lists.
type grantKey struct {
	plan    uint32
	service uint32
}

// Access says what a caller may use.
type Access struct {
	index    *Index
	customer uint32
	service  uint32
	grant    uint32
}

// Customer returns the customer that calls.
func (a Access) Customer() landing.Customer {
	return a.index.customers[a.customer]
}

// Service returns the service that is called.
func (a Access) Service() landing.Service {
	return a.index.services[a.service]
}

// Grant returns the grant that allows the call.
func (a Access) Grant() landing.Grant {
	return a.index.list[a.grant]
}

// GrantIndex returns the number of the grant in Index.Grants.
func (a Access) GrantIndex() int {
	return int(a.grant)
}

// New returns the index over l, which must have passed the check of package lists.
func New(l landing.Lists) *Index {
	x := &Index{
		services:  l.Services(),
		customers: l.Customers(),
		doorways:  make(map[doorway]uint32, l.ServicesLen()),
		grants:    map[grantKey]uint32{},
		plans:     make(map[string]uint32, l.PlansLen()),
	}
	places := map[string]uint32{}
	for i, s := range x.services {
		places[s.Name()] = uint32(i)
		x.addDoorway(s, uint32(i))
	}
	for i, p := range l.Plans() {
		x.plans[p.Name()] = uint32(i)
		x.addGrants(p, uint32(i), places)
	}
	for i, c := range x.customers {
		x.addRanges(c, uint32(i))
	}
	slices.SortFunc(x.ranges, func(a, b callerRange) int { return cmp.Compare(a.first, b.first) })
	return x
}

func (x *Index) addDoorway(s landing.Service, place uint32) {
	a, err := netip.ParseAddrPort(s.Address())
	if err != nil {
		return
	}
	x.doorways[doorway{address.ToUint32(a.Addr()), uint32(a.Port())}] = place
}

func (x *Index) addGrants(p landing.Plan, place uint32, services map[string]uint32) {
	for _, g := range p.Grants() {
		service, ok := services[g.Service()]
		if !ok {
			continue
		}
		x.grants[grantKey{place, service}] = uint32(len(x.list))
		x.list = append(x.list, g)
	}
}

func (x *Index) addRanges(c landing.Customer, place uint32) {
	plan, ok := x.plans[c.Plan()]
	if !ok {
		return
	}
	for _, text := range c.Prefixes() {
		p, err := netip.ParsePrefix(text)
		if err != nil || !p.Addr().Is4() {
			continue
		}
		first := address.ToUint32(p.Masked().Addr())
		last := first | uint32(1<<(p.Addr().BitLen()-p.Bits())-1)
		x.ranges = append(x.ranges, callerRange{first, last, place, plan})
	}
}

// Grants returns the grants of all plans, in the order of their numbers.
func (x *Index) Grants() []landing.Grant {
	return slices.Clone(x.list)
}

// Find returns the access of the caller of flow k, or the reason why there is none.
func (x *Index) Find(k landing.FlowKey) (Access, landing.Refusal) {
	service, ok := x.doorways[doorway{k.DestinationAddress(), k.DestinationPort()}]
	if !ok {
		return Access{}, landing.RefusalService
	}
	caller, ok := x.rangeOf(k.SourceAddress())
	if !ok {
		return Access{}, landing.RefusalCaller
	}
	grant, ok := x.grants[grantKey{caller.plan, service}]
	if !ok {
		return Access{}, landing.RefusalPlan
	}
	return Access{x, caller.customer, service, grant}, landing.RefusalUnspecified
}

func (x *Index) rangeOf(source uint32) (callerRange, bool) {
	low, high := 0, len(x.ranges)
	for low < high {
		middle := (low + high) / 2
		if x.ranges[middle].last < source {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == len(x.ranges) || x.ranges[low].first > source {
		return callerRange{}, false
	}
	return x.ranges[low], true
}
