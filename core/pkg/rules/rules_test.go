package rules

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

var weightedListener = landing.Listener{}.WithAddress(1).WithPort(2).WithShares(
	landing.ServiceShare{}.WithService("a").WithWeight(90),
	landing.ServiceShare{}.WithService("b").WithWeight(10),
	landing.ServiceShare{}.WithService("c"))

func ExampleIndex_FindListener() {
	index := New(landing.RoutingRules{}.WithListeners(weightedListener))
	_, found := index.FindListener(landing.FlowKey{}.WithDestinationAddress(1).WithDestinationPort(2))
	_, other := index.FindListener(landing.FlowKey{}.WithDestinationAddress(1).WithDestinationPort(3))
	fmt.Println(found, other)
	// Output: true false
}

func TestIndex_NilContainsNoRules(t *testing.T) {
	is := is.New(t)
	var index *Index
	_, found := index.FindListener(landing.FlowKey{})
	is.True(!found)
	is.Equal(index.Rules().Revision(), uint64(0))
}

func TestServiceOrder_DrawsByWeight(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	drawnFirst := map[string]int{}
	for range 10000 {
		services := ServiceOrder(weightedListener, random.Uint64())
		is.Equal(len(services), 2)
		drawnFirst[services[0]]++
	}
	// Service b has a tenth of the weight, so about 1000 of the 10000 draws are expected.
	is.True(drawnFirst["b"] > 800 && drawnFirst["b"] < 1200)
	is.Equal(drawnFirst["c"], 0)
	is.True(!Allows(weightedListener, "c"))
}
