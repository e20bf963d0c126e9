// Package outlier decides when an upstream gets no new flows because it fails requests, although its heartbeats say that
// it is well (outlier ejection).
//
// It answers two loads. An upstream that fails at once looks quick and idle, so by load alone it draws the more flows the
// more of them it fails. And one that fails or hangs for a while would get its full share again with the first good answer.
// So a few failures eject it for a time that grows while it goes on failing, and after that single flows try it. Its sidecar
// still takes a flow that no other one takes: an upstream that fails is better than none.
package outlier

import "time"

const (
	// recentWeight is the part of the last outcome in the failing share.
	recentWeight = 0.25
	// ejectShare is the failing share from which an upstream is ejected: two failures in a row, or most of the last eight.
	ejectShare = 0.4
	// firstTime is the time of a first ejection: some times the age of a status, so that all balancers know of it.
	firstTime = time.Second
	// mostTime bounds the time of a later one.
	mostTime = 8 * time.Second
	// trialInterval is the time between two flows that try an upstream after its ejection.
	trialInterval = 250 * time.Millisecond
	// trialOutcomes is the number of good outcomes in a row that end a trial: of an upstream that fails every second request,
	// one trial in eight does.
	trialOutcomes = 3
	// calmOutcomes is the number of good outcomes in a row after which earlier ejections no longer count.
	calmOutcomes = 32
)

// History is how an upstream's requests have ended of late. It is immutable; the zero value is that of a new upstream.
type History struct {
	failing   float64
	until     time.Time
	ejections int
	calm      int
	isOnTrial bool
	triedAt   time.Time
}

// WithOutcome returns the record after a request that ended now.
func (r History) WithOutcome(isFailure bool, now time.Time) History {
	if isFailure {
		r.failing += (1 - r.failing) * recentWeight
		r.calm = 0
	} else {
		r.failing -= r.failing * recentWeight
		r.calm++
	}
	if r.calm >= calmOutcomes {
		r.ejections = 0
	}
	if r.IsEjected(now) {
		r.calm = 0
		return r
	}
	if isFailure && (r.isOnTrial || r.failing >= ejectShare) {
		return r.ejected(now)
	}
	if r.isOnTrial && r.calm >= trialOutcomes {
		r.isOnTrial = false
		r.failing = 0
	}
	return r
}

func (r History) ejected(now time.Time) History {
	r.until = now.Add(min(firstTime<<min(r.ejections, 3), mostTime))
	r.ejections++
	r.isOnTrial = true
	r.calm = 0
	r.triedAt = time.Time{}
	return r
}

// WithNewFlow returns the record after a new flow was let in.
func (r History) WithNewFlow(now time.Time) History {
	if r.isOnTrial {
		r.triedAt = now
	}
	return r
}

// IsEjected says whether new flows go elsewhere.
func (r History) IsEjected(now time.Time) bool {
	return now.Before(r.until)
}

// AdmitsNewFlow says whether the upstream takes a new flow now.
func (r History) AdmitsNewFlow(now time.Time) bool {
	return !r.IsEjected(now) && (!r.isOnTrial || now.Sub(r.triedAt) >= trialInterval)
}

// IsHealthy says whether the upstream takes new flows like any other.
func (r History) IsHealthy(now time.Time) bool {
	return !r.IsEjected(now) && !r.isOnTrial
}

// FailureRate returns the share of failures among the last outcomes.
func (r History) FailureRate() float64 {
	return r.failing
}
