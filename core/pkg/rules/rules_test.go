package rules

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

var shared = landing.Listener{}.WithAddress(1).WithPort(2).WithShares(
	landing.ServiceShare{}.WithService("a").WithWeight(90),
	landing.ServiceShare{}.WithService("b").WithWeight(10),
	landing.ServiceShare{}.WithService("c"))

func ExampleIndex_FindListener() {
	v := New(landing.RoutingRules{}.WithListeners(shared))
	_, found := v.FindListener(landing.FlowKey{}.WithDestinationAddress(1).WithDestinationPort(2))
	_, other := v.FindListener(landing.FlowKey{}.WithDestinationAddress(1).WithDestinationPort(3))
	fmt.Println(found, other)
	// Output: true false
}

func TestNoRulesFindNothing(t *testing.T) {
	is := is.New(t)
	var v *Index
	_, found := v.FindListener(landing.FlowKey{})
	is.True(!found)
	is.Equal(v.Rules().Revision(), uint64(0))
}

func TestFlowsAreDrawnByWeight(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	first := map[string]int{}
	for range 10000 {
		services := ServiceOrder(shared, random.Uint64())
		is.Equal(len(services), 2)
		first[services[0]]++
	}
	is.True(first["b"] > 800 && first["b"] < 1200)
	is.Equal(first["c"], 0)
	is.True(!Allows(shared, "c"))
}
