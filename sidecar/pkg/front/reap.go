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
func (f *Front) reap() {
	ticker := time.NewTicker(reapInterval)
	defer ticker.Stop()
	before := f.source()
	for {
		select {
		case <-f.done.C():
			return
		case now := <-ticker.C:
			f.table.Tick(now)
			f.table.RemoveEnded(now)
			f.resetWhere(func(e flows.Entry) bool { return now.Sub(e.Heard()) > f.silence })
			before = f.follow(before)
		}
	}
}

// follow ends the flows that the newest control state no longer allows, and returns that state.
func (f *Front) follow(before keeper.Snapshot) keeper.Snapshot {
	now := f.source()
	switch {
	case now.IsExcluded():
		f.resetWhere(func(flows.Entry) bool { return true })
	case now.Root().Serial() != before.Root().Serial():
		f.resetWhere(func(e flows.Entry) bool { return isWithdrawn(now, e) })
	}
	if now.IsExcluded() && !before.IsExcluded() {
		f.takenOut()
	}
	return now
}

// isWithdrawn says whether the lists no longer grant the service to the caller at all. A flow
// stays when the plan now names other zones only.
func isWithdrawn(s keeper.Snapshot, e flows.Entry) bool {
	_, refusal := s.Authorize(e.Key())
	return refusal != landing.RefusalUnspecified && refusal != landing.RefusalZone
}

// resetWhere resets the flows that are chosen.
func (f *Front) resetWhere(isChosen func(flows.Entry) bool) {
	for _, e := range f.table.Select(isChosen) {
		e.Conn().Reset()
	}
}
