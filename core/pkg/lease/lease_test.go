package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

func TestRestartedHolderDoesNotHoldItsOldLease(t *testing.T) {
	is := is.New(t)
	m := landing.Balancer{}.WithInstance("balancer-1").WithIncarnation(1)
	l := Next(landing.Lease{}, m, time.Second)
	is.True(IsHeldBy(l, m))
	is.True(!IsHeldBy(l, m.WithIncarnation(2)))
}

func ExampleHasExpired() {
	seen := time.Unix(1000, 0)
	l := Next(landing.Lease{}, landing.Balancer{}.WithInstance("balancer-1"), 4*time.Second)
	fmt.Println(HasExpired(l, seen, seen.Add(3*time.Second)))
	fmt.Println(HasExpired(l, seen, seen.Add(4*time.Second)))
	// Output:
	// false
	// true
}
