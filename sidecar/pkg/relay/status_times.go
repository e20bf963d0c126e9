package relay

import (
	"sync"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// keptStatusTimes is the number of statuses whose times are kept: those of 8 s, four times the validity of a
// confirmation of the enrollment.
const keptStatusTimes = 32

// statusTimes holds the times at which the last statuses were sent. Its methods may be called from several
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

// find returns the time at which the status with this sequence number was sent; false when it is not known.
func (t *statusTimes) find(sequence uint64) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	isKnown := sequence > 0 && t.sequences[sequence%keptStatusTimes] == sequence
	return t.times[sequence%keptStatusTimes], isKnown
}

// incarnation returns the number that distinguishes this process of the sidecar from earlier ones.
func (f *Forwarder) incarnation() uint64 {
	return uint64(f.startedAt.UnixNano())
}

// acknowledgedAt returns the time at which the sidecar sent the status that the subscription acknowledges. It
// returns the start of the process if there is none: a subscription can have waited in the socket since then.
func (f *Forwarder) acknowledgedAt(subscription landing.StatusSubscription) time.Time {
	if subscription.StatusIncarnation() != f.incarnation() {
		return f.startedAt
	}
	if sentAt, found := f.sentStatuses.find(subscription.StatusSequenceNumber()); found {
		return sentAt
	}
	return f.startedAt
}
