package relay

import (
	"sync"
	"time"
)

// keptStatusTimes is the number of statuses whose times are kept. At one in 250 ms these are the statuses of 8 s, four
// times the validity of a confirmation of the enrollment: an older one confirms nothing.
const keptStatusTimes = 32

// statusTimes holds the times at which the last keptStatusTimes statuses were sent. Its methods may be called from several
// goroutines.
type statusTimes struct {
	mu sync.Mutex
	// times and sequences are indexed by the sequence number of the status modulo keptStatusTimes.
	times     [keptStatusTimes]time.Time
	sequences [keptStatusTimes]uint64
}

// record records that the status with this sequence number is sent now.
func (t *statusTimes) record(sequence uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.times[sequence%keptStatusTimes], t.sequences[sequence%keptStatusTimes] = now, sequence
}

// find returns the time at which the status with this sequence number was sent; false if that time is not kept.
func (t *statusTimes) find(sequence uint64) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	isKnown := sequence > 0 && t.sequences[sequence%keptStatusTimes] == sequence
	return t.times[sequence%keptStatusTimes], isKnown
}
