// Package probe computes the TCP keepalive settings: when an idle connection is probed, and when it is closed because
// the other end does not respond.
package probe

import (
	"net"
	"time"
)

// Count is the number of consecutive unanswered probes after which a connection is closed. It is high because probes
// are lost while the fabric, the network between callers and balancers, still sends packets to a balancer that has
// failed.
const Count = 6

// minInterval is the shortest interval between two probes.
const minInterval = 250 * time.Millisecond

// Interval returns the interval between two probes of a connection that is first probed after this idle time.
func Interval(idle time.Duration) time.Duration {
	return max(idle/Count, minInterval)
}

// Timeout returns the time without a packet from the other end after which a connection is closed.
func Timeout(idle time.Duration) time.Duration {
	return idle + Count*Interval(idle)
}

// KeepAliveConfig returns the keepalive settings for a TCP connection of the operating system that is first probed
// after this idle time.
func KeepAliveConfig(idle time.Duration) net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     idle,
		Interval: Interval(idle),
		Count:    Count,
	}
}
