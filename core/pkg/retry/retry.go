// Package retry decides what follows when a request ended at an upstream. It tells apart
// a request that was not run from one whose outcome is unknown, and never sends a
// request that is not idempotent a second time once a byte of it may have left.
package retry

import "github.com/crocuslanding/crocuslanding/core/gen/landing"

// MaxAttempts is the number of times that one request is sent at most.
const MaxAttempts = 3

// Decide returns what follows from the outcome of the last attempt.
func Decide(o landing.RequestOutcome, a landing.RetryInput) landing.RequestAction {
	switch o.(type) {
	case landing.ResponseStarted:
		return landing.RelayResponse{}
	case landing.RequestShed:
		return afterShed(a)
	case landing.RequestUnsent:
		return retryOr(a, landing.ReportNotRun{}.WithReason(landing.RefusalUpstream))
	case landing.ResponseLost:
		return afterLoss(a)
	case landing.CallerCanceled:
		return landing.AbandonRequest{}
	}
	return landing.ReportUnknownOutcome{}
}

// afterShed trusts the upstream's word that the request was not run for the answer to the caller,
// and not for sending a request again that must not run twice.
func afterShed(a landing.RetryInput) landing.RequestAction {
	notRun := landing.ReportNotRun{}.WithReason(landing.RefusalShed)
	if !a.Idempotent() {
		return notRun
	}
	return retryOr(a, notRun)
}

// afterLoss allows another attempt only where running the request twice is harmless.
func afterLoss(a landing.RetryInput) landing.RequestAction {
	if !a.Idempotent() {
		return landing.ReportUnknownOutcome{}
	}
	return retryOr(a, landing.ReportUnknownOutcome{})
}

func retryOr(a landing.RetryInput, last landing.RequestAction) landing.RequestAction {
	if a.AttemptsMade() >= MaxAttempts || !a.BudgetAllowsRetry() || !a.Replayable() {
		return last
	}
	return landing.RetryRequest{}
}

// IsIdempotent says whether RFC 9110 section 9.2.2 calls the method idempotent.
func IsIdempotent(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE":
		return true
	default:
		return false
	}
}
