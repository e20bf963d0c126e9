package deployment

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

const (
	zoneFlows   = 10000
	defaultSeed = 1
)

// Plan is what a deployment consists of. It is immutable.
type Plan struct {
	balancers int
	zones     []string
	services  []Service
	customers int
	seed      uint64
	patience  time.Duration
	deadline  time.Duration
}

// Service is one service of a plan and its upstreams. It is immutable.
type Service struct {
	name     string
	address  string
	kind     landing.Kind
	count    int
	slots    uint32
	cold     uint32
	warmup   time.Duration
	times    []time.Duration
	download uint64
}

// NewPlan returns a plan with three balancers, three availability zones and two customers.
func NewPlan(services ...Service) Plan {
	return Plan{
		balancers: 3,
		zones:     []string{"khomas-a", "khomas-b", "khomas-c"},
		services:  services,
		customers: 2,
		seed:      defaultSeed,
		patience:  5 * time.Second,
		deadline:  10 * time.Second,
	}
}

// WithSeed returns a copy with another seed of the fabric.
func (p Plan) WithSeed(seed uint64) Plan {
	p.seed = seed
	return p
}

// WithBalancers returns a copy with another number of balancers.
func (p Plan) WithBalancers(n int) Plan {
	p.balancers = n
	return p
}

// WithDeadline returns a copy with another time that upstreams have to begin an answer.
func (p Plan) WithDeadline(d time.Duration) Plan {
	p.deadline = d
	return p
}

// Caller returns the address from which this customer calls.
func (p Plan) Caller(customer int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, 1, byte(customer), 7})
}

// Lists returns the lists of the plan: every customer may use everything.
func (p Plan) Lists() landing.Lists {
	var services []landing.Service
	var grants []landing.Grant
	for _, s := range p.services {
		services = append(services, landing.Service{}.WithName(s.name).WithAddress(s.address).WithKind(s.kind))
		grants = append(grants, landing.Grant{}.WithService(s.name).WithZones(p.zones...).WithFlows(zoneFlows))
	}
	var customers []landing.Customer
	for i := range p.customers {
		prefix := netip.PrefixFrom(p.Caller(i), 24).Masked().String()
		customers = append(customers, landing.Customer{}.WithName(nameOf("firm", i)).WithPlan("full").WithPrefixes(prefix))
	}
	return landing.Lists{}.
		WithServices(services...).
		WithCustomers(customers...).
		WithPlans(landing.Plan{}.WithName("full").WithGrants(grants...))
}

func (p Plan) zoneOf(i int) string {
	return p.zones[i%len(p.zones)]
}

// NewService returns a service of this kind with a number of upstreams that answer in 5 ms and start warm.
func NewService(name string, number, count int, kind landing.Kind) Service {
	return Service{
		name:    name,
		address: fmt.Sprintf("10.200.0.%d:80", number),
		kind:    kind,
		count:   count,
		slots:   8,
		cold:    8,
		times:   []time.Duration{5 * time.Millisecond},
	}
}

// Name returns the name of the service.
func (s Service) Name() string {
	return s.name
}

// Address returns the address that callers use.
func (s Service) Address() string {
	return s.address
}

// WithCold returns a copy whose upstreams serve this number of requests at once when they start,
// and all their slots after the warm-up.
func (s Service) WithCold(cold uint32, warmup time.Duration) Service {
	s.cold = cold
	s.warmup = warmup
	return s
}

// WithSlots returns a copy whose upstreams have this number of slots.
func (s Service) WithSlots(slots uint32) Service {
	s.slots = slots
	s.cold = slots
	return s
}

// Slots returns the number of slots of each upstream.
func (s Service) Slots() uint32 {
	return s.slots
}

// WithTimes returns a copy whose upstreams take these times for a request, in turn.
func (s Service) WithTimes(times ...time.Duration) Service {
	s.times = times
	return s
}

// WithDownload returns a copy whose upstreams serve a download of this number of bytes.
func (s Service) WithDownload(bytes uint64) Service {
	s.download = bytes
	return s
}

func (s Service) timeOf(i int) time.Duration {
	return s.times[i%len(s.times)]
}

func nameOf(what string, i int) string {
	return fmt.Sprintf("%s-%d", what, i)
}
