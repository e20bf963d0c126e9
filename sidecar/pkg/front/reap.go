package front

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/sidecar/pkg/flows"
	"github.com/crocuslanding/crocuslanding/sidecar/pkg/keeper"
)

// reapInterval is the time between two looks at flows that must be forgotten or ended.
const reapInterval = 50 * time.Millisecond

// reap forgets flows that have ended, and ends flows that may no longer be held.
func (f *Forwarder) reap() {
	ticker := time.NewTicker(reapInterval)
	defer ticker.Stop()
	previous := f.source()
	for {
		select {
		case <-f.stopper.C():
			return
		case now := <-ticker.C:
			f.table.SetTime(now)
			f.table.RemoveEnded(now)
			f.resetWhere(func(e flows.Entry) bool { return now.Sub(e.LastSegmentAt()) > f.silenceTimeout })
			previous = f.enforceSnapshot(previous)
		}
	}
}

// follow ends the flows that the newest control state no longer allows, and returns that state.
func (f *Forwarder) enforceSnapshot(previous keeper.Snapshot) keeper.Snapshot {
	current := f.source()
	switch {
	case current.IsExcluded():
		f.resetWhere(func(flows.Entry) bool { return true })
	case current.Root().Serial() != previous.Root().Serial():
		f.resetWhere(func(e flows.Entry) bool { return isAccessWithdrawn(current, e) })
	}
	if current.IsExcluded() && !previous.IsExcluded() {
		f.onExcluded()
	}
	return current
}

// isWithdrawn says whether the lists no longer grant the service to the caller at all. A flow
// stays when the plan now names other zones only.
func isAccessWithdrawn(s keeper.Snapshot, e flows.Entry) bool {
	_, refusal := s.Authorize(e.Key())
	return refusal != landing.RefusalUnspecified && refusal != landing.RefusalZone
}

// resetWhere resets the flows that are chosen.
func (f *Forwarder) resetWhere(matches func(flows.Entry) bool) {
	for _, e := range f.table.Select(matches) {
		e.Conn().Reset()
	}
}
