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
	// fleetInterval is the time between the begins of two watches of a topic anywhere in the fleet, on average. A change
	// must be in force within 3 s.
	fleetInterval = 500 * time.Millisecond
	// leastWait bounds the calls of a single balancer.
	leastWait = 1500 * time.Millisecond
	// mostWait bounds the time for which a balancer that hears from no other one is behind: a part of the 12 s by which
	// a change may be late after the platform has dropped its history.
	mostWait = 8 * time.Second
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
	// BeforeCatchUp is the time for which a balancer that is behind waits for its own watch, which usually brings the
	// change some milliseconds after that of the balancer that shows it.
	BeforeCatchUp = 150 * time.Millisecond
	// AfterEvent is the pause after a watch that brought a change, so that a storm of changes is taken in together.
	AfterEvent = 250 * time.Millisecond
)

// Wait returns the time for which a watch waits in a fleet of this many balancers.
func Wait(balancers int) time.Duration {
	wait := min(max(time.Duration(balancers)*fleetInterval, leastWait), mostWait)
	// Without jitter the watches of balancers that started together would begin together.
	return wait*3/4 + rand.N(wait/2)
}

// AfterRoll returns the pause after a watch that brought a change of the enrolled sidecars, in a fleet of this many
// balancers. The first change after a quiet while is taken in at once.
func AfterRoll(balancers int) time.Duration {
	return min(max(time.Duration(balancers)*rollShare, AfterEvent), mostAfterRoll)
}

// Record returns the time until an upstream's flows are recorded again in a fleet of this many sidecars, and whether
// they are recorded at all.
func Record(sidecars int) (time.Duration, bool) {
	interval := max(time.Duration(sidecars)*recordShare, recordInterval)
	return interval*3/4 + rand.N(interval/2), interval <= recordLimit
}
