package deployment

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

const (
	// flowsPerCustomer is the largest number of flows to a service that one customer may have open at once.
	flowsPerCustomer  = 10000
	defaultFabricSeed = 1
)

// Plan describes a deployment. It is immutable.
type Plan struct {
	balancerCount   int
	zones           []string
	services        []Service
	customerCount   int
	fabricSeed      uint64
	queueTimeout    time.Duration
	responseTimeout time.Duration
}

// Service describes a service and its upstreams. It is immutable.
type Service struct {
	name          string
	address       string
	kind          landing.Kind
	upstreamCount int
	// slots is the number of requests that an upstream processes at once when warm, and coldSlots the number at its start.
	slots     uint32
	coldSlots uint32
	// warmup is the duration of the cold start, in which the number of requests at once grows from coldSlots to slots.
	warmup time.Duration
	// serviceTimes are the processing times of a request. Upstreams get one of them in turn.
	serviceTimes  []time.Duration
	downloadBytes uint64
}

// NewPlan returns a plan with three balancers, three availability zones and two customers.
func NewPlan(services ...Service) Plan {
	return Plan{
		balancerCount:   3,
		zones:           []string{"khomas-a", "khomas-b", "khomas-c"},
		services:        services,
		customerCount:   2,
		fabricSeed:      defaultFabricSeed,
		queueTimeout:    5 * time.Second,
		responseTimeout: 10 * time.Second,
	}
}

// WithFabricSeed returns a copy with this seed for the fabric's random choice of balancers.
func (p Plan) WithFabricSeed(seed uint64) Plan {
	p.fabricSeed = seed
	return p
}

// WithBalancerCount returns a copy with this number of balancers.
func (p Plan) WithBalancerCount(balancerCount int) Plan {
	p.balancerCount = balancerCount
	return p
}

// WithResponseTimeout returns a copy with this timeout of the sidecars for connecting to the upstream and for the start of
// its response.
func (p Plan) WithResponseTimeout(timeout time.Duration) Plan {
	p.responseTimeout = timeout
	return p
}

// CallerAddress returns the IP address from which this customer, numbered from 0, connects.
func (p Plan) CallerAddress(customer int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, 1, byte(customer), 7})
}

// Lists returns the lists of the plan, which allow every customer to use every service in every zone.
func (p Plan) Lists() landing.Lists {
	var services []landing.Service
	var grants []landing.Grant
	for _, s := range p.services {
		services = append(services, landing.Service{}.WithName(s.name).WithAddress(s.address).WithKind(s.kind))
		grants = append(grants, landing.Grant{}.WithService(s.name).WithZones(p.zones...).WithFlows(flowsPerCustomer))
	}
	var customers []landing.Customer
	for i := range p.customerCount {
		prefix := netip.PrefixFrom(p.CallerAddress(i), 24).Masked().String()
		customers = append(customers, landing.Customer{}.WithName(numberedName("firm", i)).WithPlan("full").WithPrefixes(prefix))
	}
	return landing.Lists{}.
		WithServices(services...).
		WithCustomers(customers...).
		WithPlans(landing.Plan{}.WithName("full").WithGrants(grants...))
}

// zoneOf returns the zone of instance number i; instances are distributed over the zones in turn.
func (p Plan) zoneOf(i int) string {
	return p.zones[i%len(p.zones)]
}

// NewService returns a service of this kind at the address 10.200.0.addressNumber:80. Its upstreams have 8 slots, process
// a request in 5 ms and have no cold start.
func NewService(name string, addressNumber, upstreamCount int, kind landing.Kind) Service {
	return Service{
		name:          name,
		address:       fmt.Sprintf("10.200.0.%d:80", addressNumber),
		kind:          kind,
		upstreamCount: upstreamCount,
		slots:         8,
		coldSlots:     8,
		serviceTimes:  []time.Duration{5 * time.Millisecond},
	}
}

// Name returns the name of the service.
func (s Service) Name() string {
	return s.name
}

// Address returns the IP address and port to which callers connect.
func (s Service) Address() string {
	return s.address
}

// WithColdStart returns a copy whose upstreams begin with a cold start: they process coldSlots requests at once at first,
// and a growing number, up to all slots, during the warm-up.
func (s Service) WithColdStart(coldSlots uint32, warmup time.Duration) Service {
	s.coldSlots = coldSlots
	s.warmup = warmup
	return s
}

// WithSlots returns a copy whose upstreams process this number of requests at once and have no cold start.
func (s Service) WithSlots(slots uint32) Service {
	s.slots = slots
	s.coldSlots = slots
	return s
}

// Slots returns the number of requests that each upstream processes at once when warm.
func (s Service) Slots() uint32 {
	return s.slots
}

// WithServiceTimes returns a copy with these processing times of a request, assigned to the upstreams in turn.
func (s Service) WithServiceTimes(times ...time.Duration) Service {
	s.serviceTimes = times
	return s
}

// WithDownloadBytes returns a copy whose upstreams serve a download of this size.
func (s Service) WithDownloadBytes(bytes uint64) Service {
	s.downloadBytes = bytes
	return s
}

// serviceTimeOf returns the processing time of a request at upstream number i.
func (s Service) serviceTimeOf(i int) time.Duration {
	return s.serviceTimes[i%len(s.serviceTimes)]
}

// numberedName returns the name of instance or customer number i.
func numberedName(prefix string, i int) string {
	return fmt.Sprintf("%s-%d", prefix, i)
}
