package reject

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

func ExampleIsFinal() {
	fmt.Println(IsFinal(landing.RefusalRoom, false), IsFinal(landing.RefusalUnready, false)) // false: the balancer is not behind
	// Output: true false
}

// A balancer whose calls the platform rejects keeps old rules while the sidecars have newer ones,
// in which a listener has moved to another service. The balancer must leave its callers to the next
// copy of their packets; when it refused them at once, it did so 671 times in 9 s.
func TestIsFinal_FalseWhenBalancerHasOldRules(t *testing.T) {
	is := is.New(t)
	is.True(!IsFinal(landing.RefusalService, true))
	is.True(IsFinal(landing.RefusalService, false))
	is.True(!IsFinal(landing.RefusalOut, true))
}

func TestIsFinal_TrueWhenUpstreamIsFullOrLeaving(t *testing.T) {
	is := is.New(t)
	for _, reason := range []landing.Refusal{landing.RefusalRoom, landing.RefusalCold, landing.RefusalLeaving} {
		is.True(IsFinal(reason, true))
	}
}

// A balancer that had discovered only one of four sidecars refused callers when the zone of that
// sidecar was excluded.
func TestIsEnrollmentListSettled_FalseRightAfterChange(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	is.True(!IsEnrollmentListSettled(now.Add(-500*time.Millisecond), now))
	is.True(IsEnrollmentListSettled(now.Add(-2*time.Second), now))
}
