package retry

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

func TestNothingThatMayHaveRunIsSentAgainUnlessItIsIdempotent(t *testing.T) {
	is := is.New(t)
	allowed := landing.RetryInput{}.WithBudgetAllowsRetry(true).WithReplayable(true).WithAttemptsMade(1)
	for _, o := range []landing.RequestOutcome{landing.ResponseStarted{}, landing.RequestShed{}, landing.ResponseLost{}, landing.CallerCanceled{}} {
		_, again := Decide(o, allowed).(landing.RetryRequest)
		is.True(!again)
	}
	_, again := Decide(landing.RequestUnsent{}, allowed).(landing.RetryRequest)
	is.True(again)
}

func TestBudgetEarnsOneRetryInTenRequests(t *testing.T) {
	is := is.New(t)
	b := NewBudget()
	for b.AllowsRetry() {
		b = b.WithRetry()
	}
	for range budgetShare - 1 {
		b = b.WithRequest()
		is.True(!b.AllowsRetry())
	}
	is.True(b.WithRequest().AllowsRetry())
}

func ExampleDecide() {
	confirmation := landing.RetryInput{}.WithAttemptsMade(1).WithBudgetAllowsRetry(true).WithReplayable(true)
	fmt.Printf("%T\n", Decide(landing.RequestUnsent{}, confirmation))
	fmt.Printf("%T\n", Decide(landing.ResponseLost{}, confirmation))
	fmt.Printf("%T\n", Decide(landing.ResponseLost{}, confirmation.WithIdempotent(true)))
	// Output:
	// landing.RetryRequest
	// landing.ReportUnknownOutcome
	// landing.RetryRequest
}
