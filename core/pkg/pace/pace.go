// Package pace decides how long watches of the platform wait and how long processes pause between
// calls to it. The platform is the service outside the fleet (all balancers and sidecars) that
// stores objects. A watch is a call that returns when an object changes or its timeout has passed.
//
// Every call costs money and the fleet shares the platform's rate limits. So the more balancers
// there are, the fewer calls each of them makes. A balancer that sees a change advertises the new
// revision (the value of the platform's counter of changes) in the datagrams that it sends anyway.
// When the platform drops its history, all running watches stop reporting changes. A change then
// still comes into force in time, because new watches start often enough across the fleet.
package pace

import (
	"math/rand/v2"
	"time"
)

const (
	// watchesPerApplyTime is the average number of watches of a topic (one kind of object) that
	// start anywhere in the fleet within the time in which a change must come into force. A change
	// is thus seen after a fraction of that time, and the rest remains to pass it on to the other
	// processes.
	watchesPerApplyTime = 6
	// minSlotTimeout is the shortest timeout of a watch. A watch that would end sooner ends one period
	// later.
	minSlotTimeout = 100 * time.Millisecond
	// minWatchTimeout limits how often a single balancer calls the platform.
	minWatchTimeout = 1500 * time.Millisecond
	// maxWatchTimeout limits the time for which a balancer stays behind when it receives no
	// revisions from other processes. It is a part of the 12 s by which a change may be late after
	// the platform has dropped its history.
	maxWatchTimeout = 8 * time.Second
	// removalInterval is the average time between the attempts of two balancers to remove the same
	// enrollment (a sidecar's entry in the platform). It is long enough for a few calls to the
	// platform, so that usually the second balancer sees that the first has removed it.
	removalInterval = 100 * time.Millisecond
	// minRemovalDelayRange is the smallest range of the random delay before a removal, so that the
	// balancers of a small fleet do not try at the same time.
	minRemovalDelayRange = 400 * time.Millisecond
	// minRecordInterval is the average time between two records of an upstream's flows in a small
	// fleet.
	minRecordInterval = 5 * time.Second
	// recordShare is the part of the writes that the platform allows the fleet, a fiftieth, which is
	// used for records.
	recordShare = 50
	// assumedWritesPerSecond is the number of writes that is assumed when the settings state none.
	assumedWritesPerSecond = 200
	// maxRecordInterval is the interval beyond which records would be too old to be useful, so that
	// none are written.
	maxRecordInterval = time.Minute
	// eraWriteShare is the part of the writes that the platform allows the fleet, a quarter, with which
	// sidecars confirm their enrollments after the platform has come back from an older copy.
	eraWriteShare = 4
	// assumedStretch is the time by which a change may be late while the platform is unstable, when the
	// settings state none.
	assumedStretch = 15 * time.Second
	// fleetEnrollmentWatchInterval is the time between two watches of the enrolled sidecars that
	// end with a change, anywhere in the fleet. A change ends the watches of all balancers at once,
	// and each replaced upstream changes the enrollments twice.
	fleetEnrollmentWatchInterval = 100 * time.Millisecond
	// maxPauseAfterEnrollmentChange limits the time for which a new sidecar gets no flows from a
	// balancer. An upstream that is replaced keeps serving for 3 s while it leaves.
	maxPauseAfterEnrollmentChange = 2 * time.Second
	// fleetRetryInterval is the time between two retries of a topic anywhere in the fleet while the
	// platform fails.
	fleetRetryInterval = 50 * time.Millisecond
	// minRetryPause and maxRetryPause are the limits of the pause of a single balancer. When the
	// platform is available again, some balancer notices at once, and all of them notice within the
	// time for which their requests can wait.
	minRetryPause = 300 * time.Millisecond
	maxRetryPause = 1200 * time.Millisecond
	// CatchUpDelay is the time for which a balancer that is behind (another one has advertised a
	// newer revision) waits for its own watch. That watch usually brings the change a few
	// milliseconds after the watch of the other balancer.
	CatchUpDelay = 150 * time.Millisecond
	// PauseAfterChange is the pause after a watch that brought a change, so that many changes in a
	// row are handled together.
	PauseAfterChange = 250 * time.Millisecond
)

// WatchTimeout returns the time after which a watch ends if there is no change, for the balancer with
// this rank in a fleet of this many, when a change must come into force within applyTime. Each balancer
// ends its watches at times of its own that follow each other evenly within the fleet.
//
// The load pattern that it answers: a change ends the watches of all balancers, which all begin anew, and
// right after that all connections to the platform fall silent. No watch brings the next change. One
// balancer after the other notices it when its watch ends without a response, the first one after a
// fraction of applyTime. With random timeouts that begin at the same time, all would end late.
func WatchTimeout(rank, balancers int, applyTime time.Duration, now time.Time) time.Duration {
	period := min(max(time.Duration(balancers)*applyTime/watchesPerApplyTime, minWatchTimeout), maxWatchTimeout)
	end := period * time.Duration(rank) / time.Duration(max(balancers, 1))
	timeout := (end - time.Duration(now.UnixNano())%period + period) % period
	if timeout < minSlotTimeout {
		timeout += period
	}
	return timeout
}

// RetryPause returns the pause after a failed call to the platform, in a fleet of this many
// balancers. A balancer that lacks the state to serve callers (canServe is false) retries after the
// shortest pause, whatever the size of the fleet. The result varies randomly by half in both
// directions.
func RetryPause(balancers int, canServe bool) time.Duration {
	pause := minRetryPause
	if canServe {
		pause = min(max(time.Duration(balancers)*fleetRetryInterval, minRetryPause), maxRetryPause)
	}
	return pause/2 + rand.N(pause)
}

// PauseAfterEnrollmentChange returns the pause after a watch that brought a change of the enrolled
// sidecars, in a fleet of this many balancers. The pause follows the change, so the first change
// after a quiet period is handled at once.
func PauseAfterEnrollmentChange(balancers int) time.Duration {
	return min(max(time.Duration(balancers)*fleetEnrollmentWatchInterval, PauseAfterChange), maxPauseAfterEnrollmentChange)
}

// RemovalDelay returns a random delay before a balancer removes an enrollment, in a fleet of this
// many balancers. With it, usually only one of them calls the platform.
func RemovalDelay(balancers int) time.Duration {
	return rand.N(max(time.Duration(balancers)*removalInterval, minRemovalDelayRange))
}

// EnrollmentRenewalSpread returns the time over which sidecars have their enrollments confirmed in a new era of the
// platform, in a fleet of this many sidecars to which the platform allows this many writes per second. Each waits for
// a random part of it.
//
// The load pattern that it answers: all sidecars learn within a second that the platform has come back from an
// older copy, and each must find out whether its enrollment is lost.
func EnrollmentRenewalSpread(sidecars int, writesPerSecond uint32) time.Duration {
	if writesPerSecond == 0 {
		writesPerSecond = assumedWritesPerSecond
	}
	return max(time.Duration(sidecars)*eraWriteShare*time.Second/time.Duration(writesPerSecond), time.Millisecond)
}

// EnrollmentRenewalDelay returns a random part of the time over which the sidecars of the fleet have their
// enrollments confirmed.
func EnrollmentRenewalDelay(spread time.Duration) time.Duration {
	return rand.N(spread)
}

// Retention returns the time for which a process keeps what the platform has lost, when a change may be late by
// this time while the platform is unstable; 0 when that is not known.
func Retention(stretch time.Duration) time.Duration {
	if stretch == 0 {
		return assumedStretch
	}
	return stretch
}

// RecordInterval returns the time until the flows of an upstream are recorded again, in a fleet of
// this many sidecars to which the platform allows this many writes per second, and whether flows are
// recorded at all. The time varies randomly by a quarter in both directions.
func RecordInterval(sidecars int, writesPerSecond uint32) (time.Duration, bool) {
	if writesPerSecond == 0 {
		writesPerSecond = assumedWritesPerSecond
	}
	interval := max(time.Duration(sidecars)*recordShare*time.Second/time.Duration(writesPerSecond), minRecordInterval)
	return interval*3/4 + rand.N(interval/2), interval <= maxRecordInterval
}
