package relay

import "sync"

// eraSignal tells waiting goroutines that the platform is in a later era. Its methods may be called from several goroutines.
type eraSignal struct {
	// mu guards the fields below.
	mu  sync.Mutex
	era uint64
	// raised is closed and replaced when the era rises.
	raised chan struct{}
}

func newEraSignal() *eraSignal {
	return &eraSignal{raised: make(chan struct{})}
}

// raise records that the platform is in this era, which is later than those before.
func (e *eraSignal) raise(era uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.era = era
	close(e.raised)
	e.raised = make(chan struct{})
}

// after returns a channel that is closed once the platform is in a later era than the given one.
func (e *eraSignal) after(era uint64) <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.era > era {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return e.raised
}
