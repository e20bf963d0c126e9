// Package retry decides what to do after an attempt to send a request to an upstream: relay the
// response, retry, or report an error. It distinguishes requests that were not run from requests whose
// outcome is unknown. A request that is not idempotent is never sent again once a byte of it may have
// been sent.
package retry

import "github.com/crocuslanding/crocuslanding/core/gen/landing"

// MaxAttempts is the largest number of times that a request is sent, including the first.
const MaxAttempts = 3

// Decide returns the action for a request whose last attempt had this outcome.
func Decide(outcome landing.RequestOutcome, input landing.RetryInput) landing.RequestAction {
	switch outcome.(type) {
	case landing.ResponseStarted:
		return landing.RelayResponse{}
	case landing.RequestShed:
		return afterShed(input)
	case landing.RequestUnsent:
		return retryOrElse(input, landing.ReportNotRun{}.WithReason(landing.RefusalUpstream))
	case landing.ResponseLost:
		return afterLostResponse(input)
	case landing.CallerCanceled:
		return landing.AbandonRequest{}
	}
	return landing.ReportUnknownOutcome{}
}

// afterShed returns the action for a request that the upstream refused with the statement that it did
// not run the request. The statement is passed on to the caller, but no retry relies on it: only an
// idempotent request is sent again.
func afterShed(input landing.RetryInput) landing.RequestAction {
	notRun := landing.ReportNotRun{}.WithReason(landing.RefusalShed)
	if !input.Idempotent() {
		return notRun
	}
	return retryOrElse(input, notRun)
}

// afterLostResponse returns the action for a request that may have run without a response. Only an
// idempotent request is sent again, since running it twice does no harm.
func afterLostResponse(input landing.RetryInput) landing.RequestAction {
	if !input.Idempotent() {
		return landing.ReportUnknownOutcome{}
	}
	return retryOrElse(input, landing.ReportUnknownOutcome{})
}

// retryOrElse returns RetryRequest if the request can be sent again and the attempt limit and the retry
// budget allow it, and otherwise the given action.
func retryOrElse(input landing.RetryInput, otherwise landing.RequestAction) landing.RequestAction {
	if input.AttemptsMade() >= MaxAttempts || !input.BudgetAllowsRetry() || !input.Replayable() {
		return otherwise
	}
	return landing.RetryRequest{}
}

// IsIdempotent reports whether RFC 9110 section 9.2.2 defines the method as idempotent.
func IsIdempotent(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE":
		return true
	default:
		return false
	}
}
