// Package pace decides how long watches of the platform wait, and how long a process pauses between two calls.
//
// It answers two loads. Every call is priced and the platform's rates are shared by the fleet, so the more balancers
// there are, the fewer calls each of them makes: whoever sees a change first tells the others along with what it sends
// anyway. And when the platform drops its history, all watches go silent at once, so across the fleet one watch must
// begin anew often enough for a change to be in force in time.
package pace

import (
	"math/rand/v2"
	"time"
)

const (
	// watchShare is the part, one in so many, of the time within which a change must be in force that passes between the
	// begins of two watches of its topic anywhere in the fleet, on average. The rest is for telling the others.
	watchShare = 6
	// leastWait bounds the calls of a single balancer.
	leastWait = 1500 * time.Millisecond
	// mostWait bounds the time for which a balancer that hears from no other one is behind: a part of the 12 s by which
	// a change may be late after the platform has dropped its history.
	mostWait = 8 * time.Second
	// reapShare is the time between the tries of two balancers to remove an enrollment: some calls of the platform.
	reapShare = 100 * time.Millisecond
	// leastReap spreads the balancers of a small fleet.
	leastReap = 400 * time.Millisecond
	// recordInterval is the time between two records of an upstream's flows in a small fleet.
	recordInterval = 5 * time.Second
	// recordShare is the time between two records anywhere in the fleet: 4 writes a second of the platform's several
	// hundred.
	recordShare = 250 * time.Millisecond
	// recordLimit is the interval past which records are too old to be of use, so that none are written.
	recordLimit = time.Minute
	// rollShare is the time between two watches of the enrolled sidecars that end with a change, anywhere in the fleet:
	// a change ends the watches of all balancers at once, and when upstreams are replaced one after the other each of them
	// brings two.
	rollShare = 100 * time.Millisecond
	// mostAfterRoll bounds the time for which a new sidecar gets no flows of a balancer. Those that leave serve for 3 s.
	mostAfterRoll = 2 * time.Second
	// retryShare is the time between two tries of a topic anywhere in the fleet while the platform fails.
	retryShare = 50 * time.Millisecond
	// leastRetry and mostRetry bound the pause of a single balancer: a store that is back is noticed by somebody at once,
	// and by all within the time that their requests can wait.
	leastRetry = 300 * time.Millisecond
	mostRetry  = 1200 * time.Millisecond
	// CatchUpDelay is the time for which a balancer that is behind waits for its own watch, which usually brings the
	// change some milliseconds after that of the balancer that shows it.
	CatchUpDelay = 150 * time.Millisecond
	// PauseAfterChange is the pause after a watch that brought a change, so that a storm of changes is taken in together.
	PauseAfterChange = 250 * time.Millisecond
)

// WatchTimeout returns the time for which a watch waits in a fleet of this many balancers, when a change must be in force within
// this time.
func WatchTimeout(balancers int, within time.Duration) time.Duration {
	wait := min(max(time.Duration(balancers)*within/watchShare, leastWait), mostWait)
	// Without jitter the watches of balancers that started together would begin together.
	return wait*3/4 + rand.N(wait/2)
}

// RetryPause returns the pause after a call that failed, in a fleet of this many balancers. One that knows too little to serve
// does not wait for the others.
func RetryPause(balancers int, isServing bool) time.Duration {
	pause := leastRetry
	if isServing {
		pause = min(max(time.Duration(balancers)*retryShare, leastRetry), mostRetry)
	}
	return pause/2 + rand.N(pause)
}

// PauseAfterEnrollmentChange returns the pause after a watch that brought a change of the enrolled sidecars, in a fleet of this many
// balancers. The first change after a quiet while is taken in at once.
func PauseAfterEnrollmentChange(balancers int) time.Duration {
	return min(max(time.Duration(balancers)*rollShare, PauseAfterChange), mostAfterRoll)
}

// RemovalDelay returns the pause before a balancer removes an enrollment in a fleet of this many, so that usually one does.
func RemovalDelay(balancers int) time.Duration {
	return rand.N(max(time.Duration(balancers)*reapShare, leastReap))
}

// RecordInterval returns the time until an upstream's flows are recorded again in a fleet of this many sidecars, and whether
// they are recorded at all.
func RecordInterval(sidecars int) (time.Duration, bool) {
	interval := max(time.Duration(sidecars)*recordShare, recordInterval)
	return interval*3/4 + rand.N(interval/2), interval <= recordLimit
}
