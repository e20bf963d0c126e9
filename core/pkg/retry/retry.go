// Package retry decides what follows when a request ended at an upstream. It tells apart
// a request that was not run from one whose outcome is unknown, and never sends a
// request that is not idempotent a second time once a byte of it may have left.
package retry

import "github.com/crocuslanding/crocuslanding/core/gen/landing"

// MaxTries is the number of times that one request is sent at most.
const MaxTries = 3

// Decide returns what follows from the outcome of the last attempt.
func Decide(o landing.Outcome, a landing.Attempt) landing.Sequel {
	switch o.(type) {
	case landing.Answered:
		return landing.Relay{}
	case landing.Shed:
		return afterShed(a)
	case landing.Unsent:
		return retryOr(a, landing.NotRun{}.WithReason(landing.RefusalUpstream))
	case landing.Lost:
		return afterLoss(a)
	case landing.Canceled:
		return landing.Abandon{}
	}
	return landing.Unknown{}
}

// afterShed trusts the upstream's word that the request was not run for the answer to the caller,
// and not for sending a request again that must not run twice.
func afterShed(a landing.Attempt) landing.Sequel {
	notRun := landing.NotRun{}.WithReason(landing.RefusalShed)
	if !a.Idempotent() {
		return notRun
	}
	return retryOr(a, notRun)
}

// afterLoss allows another attempt only where running the request twice is harmless.
func afterLoss(a landing.Attempt) landing.Sequel {
	if !a.Idempotent() {
		return landing.Unknown{}
	}
	return retryOr(a, landing.Unknown{})
}

func retryOr(a landing.Attempt, last landing.Sequel) landing.Sequel {
	if a.Tries() >= MaxTries || !a.Budget() || !a.Replayable() {
		return last
	}
	return landing.Retry{}
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
