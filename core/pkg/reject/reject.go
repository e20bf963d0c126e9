// Package reject decides whether a balancer refuses a new flow at once when no sidecar admits it,
// or leaves the decision to the next copy (retransmission) of the opening packet, the caller's SYN.
//
// When an upstream is full or shuts down, waiting does not help, and a caller that is refused at
// once tries elsewhere. When a balancer is behind (it has older rules or exclusions than others),
// or everything has just started, a sidecar will probably admit the next copy, 200 ms later; a
// caller that is refused instead uses up its attempts within milliseconds.
package reject

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// enrollmentSettleTime is the time after a change of the enrolled sidecars within which further
// changes are expected. Sidecars whose upstreams start together enroll within one heartbeat
// interval of each other.
const enrollmentSettleTime = time.Second

// IsEnrollmentListSettled reports whether the enrolled sidecars have been unchanged for long enough
// that a balancer that knows no sidecar to which a flow may be sent can refuse the flow. Right
// after its start the balancer may not have read all enrolled sidecars yet.
func IsEnrollmentListSettled(changedAt, now time.Time) bool {
	return now.Sub(changedAt) > enrollmentSettleTime
}

// IsFinalEverywhere reports whether the flow is refused without an offer to further sidecars. When the
// request would wait in vain at the best of three upstreams chosen at random, most others are full as
// well, and more offers would add work to all of them when they have least time for it.
func IsFinalEverywhere(reason landing.Refusal) bool {
	return reason == landing.RefusalQueue
}

// IsFinal reports whether the refusal of the last sidecar is expected to apply to the next copy of
// the opening packet as well. The argument isBehind tells whether the sidecars have newer rules or
// exclusions than the balancer that chose them.
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
