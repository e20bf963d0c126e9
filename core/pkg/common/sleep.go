package common

import (
	"context"
	"time"
)

// Sleep waits for the duration d and returns true. It returns false as soon as stopper is closed, if that is earlier.
func Sleep(stopper *Stopper, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-stopper.C():
		return false
	case <-timer.C:
		return true
	}
}

// SleepContext returns after d, or when ctx is done.
func SleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
