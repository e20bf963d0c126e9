package common

import "time"

// Sleep waits for this time. It returns false when done is closed first.
func Sleep(done *Stopper, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-done.C():
		return false
	case <-timer.C:
		return true
	}
}
