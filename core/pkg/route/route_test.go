package route

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/mark"
)

const zoneCount = 4

func newLists(services, customers int) landing.Lists {
	var list []landing.Service
	var grants []landing.Grant
	for i := range services {
		name := fmt.Sprintf("desk-%d", i)
		list = append(list, landing.Service{}.WithName(name).WithAddress(fmt.Sprintf("10.200.%d.%d:80", i/250, i%250+1)).WithKind(landing.KindRequests))
		grants = append(grants, landing.Grant{}.WithService(name).WithZones("a", "b", "c", "d").WithFlows(100))
	}
	var buyers []landing.Customer
	for i := range customers {
		prefix := fmt.Sprintf("10.%d.%d.0/24", i/250, i%250)
		buyers = append(buyers, landing.Customer{}.WithName(fmt.Sprintf("firm-%d", i)).WithPlan("full").WithPrefixes(prefix))
	}
	return landing.Lists{}.
		WithServices(list...).
		WithCustomers(buyers...).
		WithPlans(landing.Plan{}.WithName("full").WithGrants(grants...))
}

func newRoster(services, targets int) landing.Roster {
	var list []landing.Target
	for s := range services {
		for i := range targets {
			list = append(list, landing.Target{}.
				WithInstance(fmt.Sprintf("desk-%d-%d", s, i)).
				WithService(fmt.Sprintf("desk-%d", s)).
				WithZone(string(rune('a'+i%zoneCount))).
				WithFront(fmt.Sprintf("10.9.%d.%d:7000", s%250, i+1)).
				WithWeight(8).
				WithPhase(landing.PhaseServing))
		}
	}
	return landing.Roster{}.WithSerial(1).WithTargets(list...)
}

func callTo(service uint32) landing.FlowKey {
	return landing.FlowKey{}.
		WithSourceAddress(10 << 24).
		WithSourcePort(4000).
		WithDestinationAddress(10<<24 | 200<<16 | service).
		WithDestinationPort(80)
}

func TestRefusals(t *testing.T) {
	is := is.New(t)
	v := New()
	is.Equal(v.Route(callTo(1)), landing.Verdict(landing.Refuse{}.WithReason(landing.RefusalUnready)))
	v = v.WithLists(newLists(2, 1))
	is.Equal(v.Route(callTo(1)), landing.Verdict(landing.Refuse{}.WithReason(landing.RefusalZone)))
	v = v.WithRoster(newRoster(1, 4))
	_, forwarded := v.Route(callTo(1)).(landing.Forward)
	is.True(forwarded)
	is.Equal(v.Route(callTo(2)), landing.Verdict(landing.Refuse{}.WithReason(landing.RefusalZone)))
	is.Equal(v.Route(callTo(9)), landing.Verdict(landing.Refuse{}.WithReason(landing.RefusalService)))
	stranger := callTo(1).WithSourceAddress(1)
	is.Equal(v.Route(stranger), landing.Verdict(landing.Refuse{}.WithReason(landing.RefusalCaller)))
}

func TestZoneTakenOutGetsNoPacketAndReturns(t *testing.T) {
	is := is.New(t)
	v := New().WithLists(newLists(1, 1)).WithRoster(newRoster(1, 8))
	_, before := v.Explain(callTo(1))
	is.Equal(len(before), 8)
	out := mark.SetZone(landing.ExclusionMarks{}, "a", true, "ops")
	_, during := v.WithMarks(out).Explain(callTo(1))
	is.Equal(len(during), 6)
	back := mark.SetZone(out, "a", false, "ops")
	_, after := v.WithMarks(out).WithMarks(back).Explain(callTo(1))
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
	k := callTo(1)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		service := uint32(i%services%250 + 1)
		k = k.WithSourcePort(uint32(i & 0xffff)).WithDestinationAddress(10<<24 | 200<<16 | service)
		if _, ok := v.Route(k).(landing.Forward); !ok {
			b.Fatal("not forwarded")
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
	fmt.Printf("%T\n", v.Route(callTo(1)))
	fmt.Printf("%T\n", v.Route(callTo(9)))
	// Output:
	// landing.Forward
	// landing.Refuse
}
