package relay

import "sync"

// eraSignal tells waiting goroutines that the platform is in a later era. Its methods may be called from several goroutines.
type eraSignal struct {
	// mu guards the fields below.
	mu  sync.Mutex
	era uint64
	// later holds, for each era that goroutines wait in, the channel that is closed when the platform is in a later one.
	later map[uint64]chan struct{}
}

func newEraSignal() *eraSignal {
	return &eraSignal{later: map[uint64]chan struct{}{}}
}

// raise records that the platform is in this era, which is later than those before.
func (e *eraSignal) raise(era uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.era = era
	for earlier, ended := range e.later {
		if earlier < era {
			close(ended)
			delete(e.later, earlier)
		}
	}
}

// after returns a channel that is closed once the platform is in a later era than the given one.
func (e *eraSignal) after(era uint64) <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.era > era {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	if e.later[era] == nil {
		e.later[era] = make(chan struct{})
	}
	return e.later[era]
}
