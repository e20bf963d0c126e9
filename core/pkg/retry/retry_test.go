package retry

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

func TestDecide_RetriesNonIdempotentRequestOnlyIfUnsent(t *testing.T) {
	is := is.New(t)
	input := landing.RetryInput{}.WithBudgetAllowsRetry(true).WithReplayable(true).WithAttemptsMade(1)
	for _, outcome := range []landing.RequestOutcome{landing.ResponseStarted{}, landing.RequestShed{}, landing.ResponseLost{}, landing.CallerCanceled{}} {
		_, isRetry := Decide(outcome, input).(landing.RetryRequest)
		is.True(!isRetry)
	}
	_, isRetry := Decide(landing.RequestUnsent{}, input).(landing.RetryRequest)
	is.True(isRetry)
}

func TestBudget_AllowsOneRetryPerTenRequests(t *testing.T) {
	is := is.New(t)
	b := NewBudget()
	for b.AllowsRetry() {
		b = b.WithRetry()
	}
	for range requestsPerRetry - 1 {
		b = b.WithRequest()
		is.True(!b.AllowsRetry())
	}
	is.True(b.WithRequest().AllowsRetry())
}

func ExampleDecide() {
	input := landing.RetryInput{}.WithAttemptsMade(1).WithBudgetAllowsRetry(true).WithReplayable(true)
	fmt.Printf("%T\n", Decide(landing.RequestUnsent{}, input))
	fmt.Printf("%T\n", Decide(landing.ResponseLost{}, input))
	fmt.Printf("%T\n", Decide(landing.ResponseLost{}, input.WithIdempotent(true)))
	// Output:
	// landing.RetryRequest
	// landing.ReportUnknownOutcome
	// landing.RetryRequest
}
