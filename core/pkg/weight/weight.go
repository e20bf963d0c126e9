// Package weight decides how much of a service's work falls to one target.
package weight

import "time"

const (
	// guess is the time that an upstream is taken to need for a request before any was measured.
	guess = 20 * time.Millisecond
	// leastTime bounds the weight of upstreams that answer at once.
	leastTime = time.Millisecond
	// stepPercent is how much a weight must differ to be announced.
	stepPercent = 15
)

// FromLatency returns the weight of a target with this number of slots that usually needs this time for a
// request: the requests a second that it can serve. No time means that none was measured.
func FromLatency(slots uint32, usual time.Duration) uint32 {
	if usual == 0 {
		usual = guess
	}
	perSlot := float64(time.Second) / float64(max(usual, leastTime))
	return max(uint32(float64(slots)*perSlot), 1)
}

// IsSignificantChange says whether the measured weight differs enough from the announced one.
func IsSignificantChange(announced, measured uint32) bool {
	difference := int64(measured) - int64(announced)
	return max(difference, -difference)*100 >= int64(announced)*stepPercent
}
