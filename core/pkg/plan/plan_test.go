package plan

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// newIndex returns an index of two services and two customers: north may use both services, south
// only desk.
func newIndex() *Index {
	return New(landing.Lists{}.
		WithServices(
			landing.Service{}.WithName("desk").WithAddress("10.200.0.1:80"),
			landing.Service{}.WithName("store").WithAddress("10.200.0.2:80"),
		).
		WithPlans(
			landing.Plan{}.WithName("full").WithGrants(
				landing.Grant{}.WithService("desk").WithZones("a").WithFlows(10),
				landing.Grant{}.WithService("store").WithZones("a").WithFlows(10),
			),
			landing.Plan{}.WithName("desk-only").WithGrants(landing.Grant{}.WithService("desk").WithZones("b").WithFlows(3)),
		).
		WithCustomers(
			landing.Customer{}.WithName("north").WithPlan("full").WithPrefixes("10.1.0.0/24", "10.7.0.0/16"),
			landing.Customer{}.WithName("south").WithPlan("desk-only").WithPrefixes("10.1.1.0/24"),
		))
}

// flowKey returns the key of a flow to port 80. The arguments are added to the addresses 10.0.0.0
// of the caller and 10.200.0.0 of the service.
func flowKey(source, destination uint32) landing.FlowKey {
	return landing.FlowKey{}.
		WithSourceAddress(10<<24 | source).
		WithDestinationAddress(10<<24 | 200<<16 | destination).
		WithDestinationPort(80)
}

func TestFind_AllowsOnlyGrantedServices(t *testing.T) {
	for name, c := range map[string]struct {
		key  landing.FlowKey
		want landing.Refusal
	}{
		"granted":                 {flowKey(1<<16|9, 2), landing.RefusalUnspecified},
		"granted, second prefix":  {flowKey(7<<16|255<<8, 1), landing.RefusalUnspecified},
		"not granted":             {flowKey(1<<16|1<<8|9, 2), landing.RefusalPlan},
		"unknown caller":          {flowKey(1<<16|2<<8, 1), landing.RefusalCaller},
		"unknown caller above":    {flowKey(8<<16, 1), landing.RefusalCaller},
		"unknown service":         {flowKey(1<<16, 3), landing.RefusalService},
		"unknown port of service": {flowKey(1<<16, 1).WithDestinationPort(81), landing.RefusalService},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, refusal := newIndex().Find(c.key)
			is.Equal(refusal, c.want)
		})
	}
}

func TestShare_SumEqualsTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Uint32Range(1, 1000), 1, 50).Draw(t, "weights")
		total := rapid.Uint32().Draw(t, "total")
		var sum uint64
		for index := range weights {
			sum += uint64(Share(total, weights, index))
		}
		if sum != uint64(total) {
			t.Fatalf("shares add up to %d, want %d", sum, total)
		}
	})
}

func ExampleIndex_Find() {
	access, refusal := newIndex().Find(flowKey(1<<16|9, 1))
	fmt.Println(access.Customer().Name(), access.Service().Name(), refusal)
	// Output: north desk unspecified
}
