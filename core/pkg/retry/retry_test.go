package retry

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

func TestNothingThatMayHaveRunIsSentAgainUnlessItIsIdempotent(t *testing.T) {
	is := is.New(t)
	allowed := landing.Attempt{}.WithBudget(true).WithReplayable(true).WithTries(1)
	for _, o := range []landing.Outcome{landing.Answered{}, landing.Shed{}, landing.Lost{}, landing.Canceled{}} {
		_, again := Decide(o, allowed).(landing.Retry)
		is.True(!again)
	}
	_, again := Decide(landing.Unsent{}, allowed).(landing.Retry)
	is.True(again)
}

func TestBudgetEarnsOneRetryInTenRequests(t *testing.T) {
	is := is.New(t)
	b := NewBudget()
	for b.Allows() {
		b = b.WithRetry()
	}
	for range budgetShare - 1 {
		b = b.WithRequest()
		is.True(!b.Allows())
	}
	is.True(b.WithRequest().Allows())
}

func ExampleDecide() {
	confirmation := landing.Attempt{}.WithTries(1).WithBudget(true).WithReplayable(true)
	fmt.Printf("%T\n", Decide(landing.Unsent{}, confirmation))
	fmt.Printf("%T\n", Decide(landing.Lost{}, confirmation))
	fmt.Printf("%T\n", Decide(landing.Lost{}, confirmation.WithIdempotent(true)))
	// Output:
	// landing.Retry
	// landing.Unknown
	// landing.Retry
}
