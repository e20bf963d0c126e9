// Package weight estimates the capacity of a target, in requests per second. A target is an upstream as
// the roster of its region lists it, reached through its sidecar. Flows are distributed over the targets
// of a service in proportion to their weights.
package weight

import "time"

const (
	// defaultLatency is the response latency that is assumed before one has been measured.
	defaultLatency = 20 * time.Millisecond
	// minLatency is the lowest latency that is taken into account. It limits the weight of upstreams
	// that respond faster.
	minLatency = time.Millisecond
	// minChangePercent is the smallest change of a weight, in percent of the announced weight, that the
	// sidecar announces.
	minChangePercent = 15
)

// FromLatency returns the weight of a target that serves this number of requests at once with this
// average latency: its capacity in requests per second, at least 1. Latency 0 means that none has been
// measured.
func FromLatency(slots uint32, latency time.Duration) uint32 {
	if latency == 0 {
		latency = defaultLatency
	}
	requestsPerSecondPerSlot := float64(time.Second) / float64(max(latency, minLatency))
	return max(uint32(float64(slots)*requestsPerSecondPerSlot), 1)
}

// IsSignificantChange reports whether the measured weight differs enough from the announced one to be
// announced.
func IsSignificantChange(announced, measured uint32) bool {
	difference := int64(measured) - int64(announced)
	return max(difference, -difference)*100 >= int64(announced)*minChangePercent
}
