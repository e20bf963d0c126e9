package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

func TestIsHeldBy_RestartedHolderDoesNotHoldLease(t *testing.T) {
	is := is.New(t)
	holder := landing.Balancer{}.WithInstance("balancer-1").WithIncarnation(1)
	l := Next(landing.Lease{}, holder, time.Second)
	is.True(IsHeldBy(l, holder))
	is.True(!IsHeldBy(l, holder.WithIncarnation(2)))
}

func ExampleHasExpired() {
	countFirstSeen := time.Unix(1000, 0)
	l := Next(landing.Lease{}, landing.Balancer{}.WithInstance("balancer-1"), 4*time.Second)
	fmt.Println(HasExpired(l, countFirstSeen, countFirstSeen.Add(3*time.Second)))
	fmt.Println(HasExpired(l, countFirstSeen, countFirstSeen.Add(4*time.Second)))
	// Output:
	// false
	// true
}
