package hold

import "time"

// ResetDelay is the shortest time between the first segment of a flow that no sidecar in the chain
// holds and the reset of this flow. It is longer than the time that a new roster takes to reach all
// balancers, so that a balancer with an outdated roster does not cause the reset of an open flow.
const ResetDelay = 3 * time.Second

// MayReset reports whether this sidecar may send a reset for a segment whose flow no sidecar in the
// chain holds. FirstMiss is the time of the first such segment of the flow, chainSerial the serial
// number of the roster from which the chain was computed, and newestSerial the highest roster
// serial number that this sidecar has seen. A chain from an older roster never allows a reset.
func MayReset(firstMiss, now time.Time, chainSerial, newestSerial uint32) bool {
	return chainSerial >= newestSerial && now.Sub(firstMiss) >= ResetDelay
}
