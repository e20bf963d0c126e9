// Package reject decides whether a new flow that no sidecar has taken is refused at once.
//
// It answers two loads. When an upstream is full or leaves, waiting helps nobody, and a caller that is told at once
// tries elsewhere. When a balancer is behind, or everything has just started, the next copy of the opening packet,
// 200 ms later, will be served; a caller that is refused then uses up its tries within milliseconds.
package reject

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// settleTime is the time after a change of the enrolled sidecars within which more are expected: upstreams that start
// together enroll within a heartbeat of each other.
const settleTime = time.Second

// IsEnrollmentListSettled says whether a balancer that knows no open sidecar for a service since this change of the roll can tell its
// callers so. Right after a start it just does not know them yet.
func IsEnrollmentListSettled(changed, now time.Time) bool {
	return now.Sub(changed) > settleTime
}

// IsFinal says whether the reason of the last sidecar holds for the caller's next copy as well. IsBehind says that the
// sidecars have newer rules or exclusions than the balancer that chose them.
func IsFinal(reason landing.Refusal, isBehind bool) bool {
	switch reason {
	case landing.RefusalUnspecified, landing.RefusalUnready, landing.RefusalForeign, landing.RefusalUnknown:
		return false
	case landing.RefusalService, landing.RefusalOut:
		return !isBehind
	default:
		return true
	}
}
