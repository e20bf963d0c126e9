package route

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/mark"
)

const zoneCount = 4

// newLists returns lists in which each customer has a plan that grants it every service in all
// zones. Service desk-i has the address 10.200.<i/250>.<i%250+1>, and firm-i the prefix
// 10.<i/250>.<i%250>.0/24.
func newLists(services, customers int) landing.Lists {
	var serviceList []landing.Service
	var grants []landing.Grant
	for i := range services {
		name := fmt.Sprintf("desk-%d", i)
		serviceList = append(serviceList, landing.Service{}.WithName(name).WithAddress(fmt.Sprintf("10.200.%d.%d:80", i/250, i%250+1)).WithKind(landing.KindRequests))
		grants = append(grants, landing.Grant{}.WithService(name).WithZones("a", "b", "c", "d").WithFlows(100))
	}
	var customerList []landing.Customer
	for i := range customers {
		prefix := fmt.Sprintf("10.%d.%d.0/24", i/250, i%250)
		customerList = append(customerList, landing.Customer{}.WithName(fmt.Sprintf("firm-%d", i)).WithPlan("full").WithPrefixes(prefix))
	}
	return landing.Lists{}.
		WithServices(serviceList...).
		WithCustomers(customerList...).
		WithPlans(landing.Plan{}.WithName("full").WithGrants(grants...))
}

// newRoster returns a roster with this number of targets for each service, spread over the zones.
func newRoster(services, targets int) landing.Roster {
	var targetList []landing.Target
	for s := range services {
		for i := range targets {
			targetList = append(targetList, landing.Target{}.
				WithInstance(fmt.Sprintf("desk-%d-%d", s, i)).
				WithService(fmt.Sprintf("desk-%d", s)).
				WithZone(string(rune('a'+i%zoneCount))).
				WithFront(fmt.Sprintf("10.9.%d.%d:7000", s%250, i+1)).
				WithWeight(8).
				WithPhase(landing.PhaseServing))
		}
	}
	return landing.Roster{}.WithSerial(1).WithTargets(targetList...)
}

// flowKeyTo returns the key of a flow from a caller of firm-0 to the service whose address ends in
// this octet: 1 for desk-0, 2 for desk-1.
func flowKeyTo(lastOctet uint32) landing.FlowKey {
	return landing.FlowKey{}.
		WithSourceAddress(10 << 24).
		WithSourcePort(4000).
		WithDestinationAddress(10<<24 | 200<<16 | lastOctet).
		WithDestinationPort(80)
}

func TestRoute_RefusesWithReason(t *testing.T) {
	is := is.New(t)
	v := New()
	is.Equal(v.Route(flowKeyTo(1)), landing.Verdict(landing.Refuse{}.WithReason(landing.RefusalUnready)))
	v = v.WithLists(newLists(2, 1)) // desk-0 and desk-1, but no targets
	is.Equal(v.Route(flowKeyTo(1)), landing.Verdict(landing.Refuse{}.WithReason(landing.RefusalZone)))
	v = v.WithRoster(newRoster(1, 4)) // targets for desk-0 only
	_, forwarded := v.Route(flowKeyTo(1)).(landing.Forward)
	is.True(forwarded)
	is.Equal(v.Route(flowKeyTo(2)), landing.Verdict(landing.Refuse{}.WithReason(landing.RefusalZone)))
	// No service has the address that ends in 9, and no customer the caller's address 0.0.0.1.
	is.Equal(v.Route(flowKeyTo(9)), landing.Verdict(landing.Refuse{}.WithReason(landing.RefusalService)))
	unknownCaller := flowKeyTo(1).WithSourceAddress(1)
	is.Equal(v.Route(unknownCaller), landing.Verdict(landing.Refuse{}.WithReason(landing.RefusalCaller)))
}

func TestExplain_LeavesOutTargetsOfExcludedZone(t *testing.T) {
	is := is.New(t)
	v := New().WithLists(newLists(1, 1)).WithRoster(newRoster(1, 8))
	_, before := v.Explain(flowKeyTo(1))
	is.Equal(len(before), 8)
	excluded := mark.SetZone(landing.ExclusionMarks{}, "a", true, "ops")
	_, during := v.WithMarks(excluded).Explain(flowKeyTo(1))
	is.Equal(len(during), 6)
	included := mark.SetZone(excluded, "a", false, "ops")
	_, after := v.WithMarks(excluded).WithMarks(included).Explain(flowKeyTo(1))
	is.Equal(after, before)
}

func BenchmarkRoute(b *testing.B) {
	for _, targets := range []int{4, 64} {
		for _, services := range []int{1, 100, 500} {
			b.Run(fmt.Sprintf("targets=%d/services=%d", targets, services), func(b *testing.B) {
				v := New().WithLists(newLists(services, 1000)).WithRoster(newRoster(services, targets))
				benchmarkRoute(b, v, services)
			})
		}
	}
}

func benchmarkRoute(b *testing.B, v *View, services int) {
	k := flowKeyTo(1)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		lastOctet := uint32(i%services%250 + 1)
		k = k.WithSourcePort(uint32(i & 0xffff)).WithDestinationAddress(10<<24 | 200<<16 | lastOctet)
		if _, ok := v.Route(k).(landing.Forward); !ok {
			b.Fatal("the packet was not forwarded")
		}
	}
}

func BenchmarkWithRoster(b *testing.B) {
	for _, services := range []int{50, 150, 500} {
		b.Run(fmt.Sprintf("targets=%d", services*4), func(b *testing.B) {
			r := newRoster(services, 4)
			v := New().WithLists(newLists(services, 1000)).WithRoster(r)
			targets := r.Targets()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				targets[0] = targets[0].WithWeight(uint32(8 + i%2))
				v = v.WithRoster(r.WithSerial(uint64(i + 2)).WithTargets(targets...))
			}
		})
	}
}

func ExampleView_Route() {
	v := New().WithLists(newLists(1, 1)).WithRoster(newRoster(1, 4))
	fmt.Printf("%T\n", v.Route(flowKeyTo(1)))
	fmt.Printf("%T\n", v.Route(flowKeyTo(9)))
	// Output:
	// landing.Forward
	// landing.Refuse
}
