// Package plan decides which customer and service a packet belongs to, and whether
// the customer's plan grants the service. It is an index over the lists in force.
package plan

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/packet"
)

// Index finds customers, services and grants. It is immutable.
type Index struct {
	services map[doorway]landing.Service
	ranges   []callerRange
	grants   map[grantKey]int
	list     []landing.Grant
}

type doorway struct {
	address uint32
	port    uint32
}

type callerRange struct {
	first    uint32
	last     uint32
	customer landing.Customer
}

type grantKey struct {
	plan    string
	service string
}

// Access says what a caller may use.
type Access struct {
	customer landing.Customer
	service  landing.Service
	grant    landing.Grant
	number   int
}

// Customer returns the customer that calls.
func (a Access) Customer() landing.Customer {
	return a.customer
}

// Service returns the service that is called.
func (a Access) Service() landing.Service {
	return a.service
}

// Grant returns the grant that allows the call.
func (a Access) Grant() landing.Grant {
	return a.grant
}

// Number returns the number of the grant in Index.Grants.
func (a Access) Number() int {
	return a.number
}

// New returns the index over l, which must have passed the check of package lists.
func New(l landing.Lists) *Index {
	x := &Index{
		services: make(map[doorway]landing.Service, l.ServicesLen()),
		grants:   map[grantKey]int{},
	}
	for _, s := range l.Services() {
		x.addService(s)
	}
	for _, c := range l.Customers() {
		x.addCustomer(c)
	}
	for _, p := range l.Plans() {
		x.addPlan(p)
	}
	slices.SortFunc(x.ranges, func(a, b callerRange) int { return cmp.Compare(a.first, b.first) })
	return x
}

func (x *Index) addService(s landing.Service) {
	a, err := netip.ParseAddrPort(s.Address())
	if err != nil {
		return
	}
	x.services[doorway{packet.Number(a.Addr()), uint32(a.Port())}] = s
}

func (x *Index) addCustomer(c landing.Customer) {
	for _, text := range c.Prefixes() {
		p, err := netip.ParsePrefix(text)
		if err != nil || !p.Addr().Is4() {
			continue
		}
		first := packet.Number(p.Masked().Addr())
		last := first | uint32(1<<(p.Addr().BitLen()-p.Bits())-1)
		x.ranges = append(x.ranges, callerRange{first, last, c})
	}
}

func (x *Index) addPlan(p landing.Plan) {
	for _, g := range p.Grants() {
		x.grants[grantKey{p.Name(), g.Service()}] = len(x.list)
		x.list = append(x.list, g)
	}
}

// Grants returns the grants of all plans, in the order of their numbers.
func (x *Index) Grants() []landing.Grant {
	return slices.Clone(x.list)
}

// Find returns the access of the caller of flow k, or the reason why there is none.
func (x *Index) Find(k landing.Key) (Access, landing.Refusal) {
	service, ok := x.services[doorway{k.Destination(), k.Dport()}]
	if !ok {
		return Access{}, landing.RefusalService
	}
	customer, ok := x.customerOf(k.Source())
	if !ok {
		return Access{}, landing.RefusalCaller
	}
	number, ok := x.grants[grantKey{customer.Plan(), service.Name()}]
	if !ok {
		return Access{}, landing.RefusalPlan
	}
	return Access{customer, service, x.list[number], number}, landing.RefusalUnspecified
}

func (x *Index) customerOf(source uint32) (landing.Customer, bool) {
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
		return landing.Customer{}, false
	}
	return x.ranges[low].customer, true
}
