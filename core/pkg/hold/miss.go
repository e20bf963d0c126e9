package hold

import "time"

// ResetDelay is the time for which segments of a flow must have missed before a reset is sent. It is longer
// than a roster takes to reach every balancer, so that a balancer that is behind resets no living flow.
const ResetDelay = 3 * time.Second

// MayReset says whether a segment of a flow that no sidecar in its chain holds may be answered with a
// reset. First is when a segment of the flow missed first, carried the serial number of the roster that
// its chain was made from, and newest the highest that this sidecar has seen.
func MayReset(first, now time.Time, carried, newest uint32) bool {
	return carried >= newest && now.Sub(first) >= ResetDelay
}
