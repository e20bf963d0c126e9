// Package outlier decides when an upstream gets no new flows because it fails requests although it
// sends healthy heartbeats (outlier ejection).
//
// An upstream that fails requests immediately looks fast and idle. If only load counted, it would
// get more flows the more requests it fails. And an upstream that fails or hangs for a while would
// get its full share again after its first success. So a few failures eject an upstream, for a time
// that grows with each further ejection, and afterwards it gets single flows as a trial. Its
// sidecar still admits flows that no other sidecar admits, since a failing upstream is better than
// none.
package outlier

import "time"

const (
	// lastOutcomeWeight is the weight of the last outcome in the moving average of failures.
	lastOutcomeWeight = 0.25
	// ejectionThreshold is the moving average of failures from which an upstream is ejected. Two
	// failures in a row reach it, or failures in most of the last eight requests.
	ejectionThreshold = 0.4
	// baseEjectionTime is the duration of the first ejection: four intervals of 250 ms at which
	// sidecars send their statuses, so that all balancers learn of the ejection before it ends.
	baseEjectionTime = time.Second
	// maxEjectionTime is the limit to which the duration of repeated ejections grows.
	maxEjectionTime = 8 * time.Second
	// trialInterval is the shortest time between two flows that an upstream gets in its trial after
	// an ejection.
	trialInterval = 250 * time.Millisecond
	// trialSuccesses is the number of successes in a row that end a trial. An upstream that fails
	// half of its requests at random passes one trial in eight.
	trialSuccesses = 3
	// resetSuccesses is the number of successes in a row after which earlier ejections no longer
	// lengthen the next one.
	resetSuccesses = 32
)

// History summarizes the outcomes of an upstream's recent requests. It is immutable; the zero value
// is the history of a new upstream.
type History struct {
	// failureRate is an exponential moving average: 1 when all recent requests failed.
	failureRate float64
	// ejectedUntil is the end of the last ejection; the zero time when there was none.
	ejectedUntil time.Time
	// ejections counts the ejections since the last resetSuccesses successes in a row.
	ejections int
	// successesInRow counts the successes since the last failure or ejection.
	successesInRow int
	// isInTrial is set by an ejection and cleared after trialSuccesses successes in a row.
	isInTrial bool
	// lastTrialAt is the time of the last flow of the trial; the zero time before the first one.
	lastTrialAt time.Time
}

// WithOutcome returns the history after a request that ended now. Successes during an ejection do
// not count towards the end of the trial: they may be those of requests from before the ejection.
func (h History) WithOutcome(isFailure bool, now time.Time) History {
	if isFailure {
		h.failureRate += (1 - h.failureRate) * lastOutcomeWeight
		h.successesInRow = 0
	} else {
		h.failureRate -= h.failureRate * lastOutcomeWeight
		h.successesInRow++
	}
	if h.successesInRow >= resetSuccesses {
		h.ejections = 0
	}
	if h.IsEjected(now) {
		h.successesInRow = 0
		return h
	}
	if isFailure && (h.isInTrial || h.failureRate >= ejectionThreshold) {
		return h.ejected(now)
	}
	if h.isInTrial && h.successesInRow >= trialSuccesses {
		h.isInTrial = false
		h.failureRate = 0
	}
	return h
}

// ejected returns the history with an ejection that begins now.
func (h History) ejected(now time.Time) History {
	h.ejectedUntil = now.Add(min(baseEjectionTime<<min(h.ejections, 3), maxEjectionTime))
	h.ejections++
	h.isInTrial = true
	h.successesInRow = 0
	h.lastTrialAt = time.Time{}
	return h
}

// WithNewFlow returns the history after a new flow was admitted now.
func (h History) WithNewFlow(now time.Time) History {
	if h.isInTrial {
		h.lastTrialAt = now
	}
	return h
}

// IsEjected reports whether an ejection is in force.
func (h History) IsEjected(now time.Time) bool {
	return now.Before(h.ejectedUntil)
}

// AdmitsNewFlow reports whether the upstream may get a new flow now: it is healthy, or the next
// flow of its trial is due.
func (h History) AdmitsNewFlow(now time.Time) bool {
	return !h.IsEjected(now) && (!h.isInTrial || now.Sub(h.lastTrialAt) >= trialInterval)
}

// IsHealthy reports whether the upstream is neither ejected nor in a trial.
func (h History) IsHealthy(now time.Time) bool {
	return !h.IsEjected(now) && !h.isInTrial
}

// FailureRate returns the moving average of the failures, from 0 to 1.
func (h History) FailureRate() float64 {
	return h.failureRate
}
