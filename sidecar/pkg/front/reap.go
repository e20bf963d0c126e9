package front

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/sidecar/pkg/flows"
	"github.com/crocuslanding/crocuslanding/sidecar/pkg/keeper"
)

// reapInterval is the interval between two checks for flows that must be removed or reset.
const reapInterval = 50 * time.Millisecond

// reap periodically removes flows that have ended, and resets flows that were silent for too long or that
// the control state no longer allows.
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

// enforceSnapshot resets the flows that the latest control state no longer allows, and returns the latest
// control state. previous is the state that the last call returned. When the upstream has been excluded since
// then, enforceSnapshot calls onExcluded.
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

// isAccessWithdrawn reports whether the lists no longer grant the service to the caller at all. An open
// flow stays when the plan still includes the service, but no longer this zone.
func isAccessWithdrawn(s keeper.Snapshot, e flows.Entry) bool {
	_, refusal := s.Authorize(e.Key())
	return refusal != landing.RefusalUnspecified && refusal != landing.RefusalZone
}

// resetWhere resets the flows for which matches returns true.
func (f *Forwarder) resetWhere(matches func(flows.Entry) bool) {
	for _, e := range f.table.Select(matches) {
		e.Conn().Reset()
	}
}
