package common

import "time"

// Sleep waits for d and returns true. It returns false at once when stopper is closed before.
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
