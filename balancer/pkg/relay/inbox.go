package relay

import (
	"sync"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
)

// inboxInterval is the time for which statuses are collected before the control thread takes them in together: a fifth
// of the time between two statuses of a sidecar. Each time it publishes a new directory.
const inboxInterval = 50 * time.Millisecond

// inbox collects statuses. Its methods may be called from several goroutines.
type inbox struct {
	mu       sync.Mutex
	arrivals []landing.ReceivedStatus
}

func (i *inbox) add(a landing.ReceivedStatus) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.arrivals = append(i.arrivals, a)
}

func (i *inbox) take() []landing.ReceivedStatus {
	i.mu.Lock()
	defer i.mu.Unlock()
	list := i.arrivals
	i.arrivals = nil
	return list
}

// deliverStatuses hands collected statuses to the control thread until the traffic stops.
func (t *Forwarder) deliverStatuses() {
	for common.Sleep(t.done, inboxInterval) {
		if arrivals := t.inbox.take(); len(arrivals) > 0 {
			t.keeper.Post(landing.StatusesReceived{}.WithStatuses(arrivals...))
		}
	}
}
