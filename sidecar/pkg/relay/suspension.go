package relay

import "time"

// suspendedAfter is the time without a sign of its own activity after which the process counts as suspended: two
// intervals between statuses.
const suspendedAfter = 2 * statusInterval

// suspension observes whether the process was suspended. Its zero value is that of a process that has just started.
type suspension struct {
	// aliveAt is the last time at which the process ran.
	aliveAt time.Time
	// resumedAt is the end of the last suspension; the zero time when there was none.
	resumedAt time.Time
}

// withAlive returns the suspension after the process ran now. It must be called at least once in each interval between
// statuses.
func (s suspension) withAlive(now time.Time) suspension {
	if !s.aliveAt.IsZero() && now.Sub(s.aliveAt) > suspendedAfter {
		s.resumedAt = now
	}
	s.aliveAt = now
	return s
}

// hasInterrupted reports whether the process was suspended after a request arrived at this time. How long the upstream
// took for such a request is not known.
func (s suspension) hasInterrupted(arrivedAt time.Time) bool {
	return arrivedAt.Before(s.resumedAt)
}

// hasJustResumed reports whether responses may still wait in the socket since the end of the suspension.
func (s suspension) hasJustResumed(now time.Time) bool {
	return !s.resumedAt.IsZero() && now.Sub(s.resumedAt) < statusInterval
}

// recordAlive records that the process runs now.
func (t *table) recordAlive(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspension = t.suspension.withAlive(now)
}
