package relay

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/outlier"
	"github.com/crocuslanding/crocuslanding/core/pkg/warmup"
)

const (
	// entryTime is the longest time from letting a flow in to its first request: a handshake and two crossings of
	// the network. A flow without a request by then takes no slot.
	entryTime = 40 * time.Millisecond
	// usualShare is the share, one part in so many, of a new time in the average.
	usualShare = 32
	// leastMeasured is the number of requests from which the average is shown as a measurement.
	leastMeasured = 16
)

// load is the work of the upstream as its sidecar sees it.
type load struct {
	flows      int
	running    int
	usual      time.Duration
	isMeasured bool
	window     warmup.Window
	record     outlier.History
}

func (t *table) load() load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.present()
}

func (t *table) present() load {
	return load{
		flows:      len(t.flows),
		running:    t.running,
		usual:      t.usual,
		isMeasured: t.measured >= leastMeasured,
		window:     t.window,
		record:     t.record,
	}
}

// noteEntry notes that a flow was let in.
func (t *table) noteEntry(k landing.FlowKey, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entering[k] = now
}

// work returns the number of requests that are at work or about to arrive.
func (t *table) work(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, at := range t.entering {
		if now.Sub(at) > entryTime {
			delete(t.entering, k)
		}
	}
	return t.running + len(t.entering)
}

// endRequest returns the flow without a request at work.
func (t *table) endRequest(f flow) flow {
	if !f.asked.IsZero() {
		f.asked = time.Time{}
		t.running--
	}
	return f
}

// noteTime takes a request's time into the average: all times alike at first, later the last ones.
func (t *table) noteTime(d time.Duration) {
	t.measured++
	t.usual += (d - t.usual) / time.Duration(min(t.measured, usualShare))
}
