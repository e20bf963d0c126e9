package reject

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

func ExampleIsFinal() {
	fmt.Println(IsFinal(landing.RefusalRoom, false), IsFinal(landing.RefusalUnready, false))
	// Output: true false
}

// A balancer that the platform turns away goes on with old rules while sidecars have newer ones: a listener has
// moved to another service. Its callers were refused 671 times in 9 s on a day like this.
func TestBalancerThatIsBehindRefusesNobodyForItsOldRules(t *testing.T) {
	is := is.New(t)
	is.True(!IsFinal(landing.RefusalService, true))
	is.True(IsFinal(landing.RefusalService, false))
	is.True(!IsFinal(landing.RefusalOut, true))
}

func TestFullUpstreamsRefuseAtOnce(t *testing.T) {
	is := is.New(t)
	for _, r := range []landing.Refusal{landing.RefusalRoom, landing.RefusalCold, landing.RefusalLeaving} {
		is.True(IsFinal(r, true))
	}
}

// A balancer that had heard of one of four sidecars refused callers when the zone of that one was taken out.
func TestBalancerThatIsLearningTheSidecarsRefusesNobody(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	is.True(!IsEnrollmentListSettled(now.Add(-500*time.Millisecond), now))
	is.True(IsEnrollmentListSettled(now.Add(-2*time.Second), now))
}
