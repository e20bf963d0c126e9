// Package probe decides when the ends of idle connections are probed, and when a silent one is ended.
package probe

import (
	"net"
	"time"
)

// Count is the number of unanswered probes after which a connection is ended. It is high, since probes are
// lost while the fabric still uses a balancer that died.
const Count = 6

// leastInterval bounds the time between two probes.
const leastInterval = 250 * time.Millisecond

// Interval returns the time between two probes of a connection that is probed after this idle time.
func Interval(idle time.Duration) time.Duration {
	return max(idle/Count, leastInterval)
}

// Timeout returns the longest time for which a connection that went silent is held.
func Timeout(idle time.Duration) time.Duration {
	return idle + Count*Interval(idle)
}

// KeepAliveConfig returns the settings for a connection of the operating system.
func KeepAliveConfig(idle time.Duration) net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     idle,
		Interval: Interval(idle),
		Count:    Count,
	}
}
