package relay

import "time"

// suspendedAfter is the time between two calls of withAlive after which the process counts as suspended. The calls are at
// most one status interval apart while it runs, so it is twice that interval.
const suspendedAfter = 2 * statusInterval

// suspension records when the process was last suspended. It is immutable. Its zero value is that of a process that has
// just started.
type suspension struct {
	// aliveAt is the time of the last call of withAlive.
	aliveAt time.Time
	// resumedAt is the end of the last suspension; the zero time when there was none.
	resumedAt time.Time
}

// withAlive returns the record of a process that runs now. It must be called at least once in each status interval.
func (s suspension) withAlive(now time.Time) suspension {
	if !s.aliveAt.IsZero() && now.Sub(s.aliveAt) > suspendedAfter {
		s.resumedAt = now
	}
	s.aliveAt = now
	return s
}

// hasInterrupted reports whether the process was suspended after a request arrived at this time. The latency of such a
// request is not known, since the response may have waited in the socket.
func (s suspension) hasInterrupted(arrivedAt time.Time) bool {
	return arrivedAt.Before(s.resumedAt)
}

// hasJustResumed reports whether the last suspension ended so recently that responses which arrived during it may still
// wait in the socket.
func (s suspension) hasJustResumed(now time.Time) bool {
	return !s.resumedAt.IsZero() && now.Sub(s.resumedAt) < statusInterval
}
