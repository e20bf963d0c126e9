package relay

import (
	"sync"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
)

// statusBatchInterval is the time for which statuses are collected before the control thread handles them as one event.
// Each such event publishes a new directory of all sidecars. The interval is a fifth of the time between two statuses of
// a sidecar.
const statusBatchInterval = 50 * time.Millisecond

// statusInbox collects statuses of sidecars until the next batch. Its methods may be called from several goroutines.
type statusInbox struct {
	mu       sync.Mutex
	statuses []landing.ReceivedStatus
}

func (i *statusInbox) add(status landing.ReceivedStatus) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.statuses = append(i.statuses, status)
}

// takeAll removes and returns all collected statuses, in order of arrival.
func (i *statusInbox) takeAll() []landing.ReceivedStatus {
	i.mu.Lock()
	defer i.mu.Unlock()
	taken := i.statuses
	i.statuses = nil
	return taken
}

// postStatuses posts the collected statuses to the control thread at each interval, until the forwarder stops.
func (f *Forwarder) postStatuses() {
	for common.Sleep(f.stopper, statusBatchInterval) {
		if statuses := f.statuses.takeAll(); len(statuses) > 0 {
			f.control.Post(landing.StatusesReceived{}.WithStatuses(statuses...))
		}
	}
}
