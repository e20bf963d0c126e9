package front

import (
	"sync"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/hold"
)

const (
	maxMisses = 1 << 14
	// missMemory is the time for which the first miss of a flow is remembered.
	missMemory = 20 * hold.ResetDelay
)

// misses remembers when a segment of a flow first missed.
type misses struct {
	mu    sync.Mutex
	times map[landing.FlowKey]time.Time
}

func newMisses() *misses {
	return &misses{times: map[landing.FlowKey]time.Time{}}
}

// first returns the time of the first miss of flow k, which is now when none is remembered.
func (m *misses) first(k landing.FlowKey, now time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, found := m.times[k]
	if found && now.Sub(at) < missMemory {
		return at
	}
	if len(m.times) >= maxMisses {
		clear(m.times)
	}
	m.times[k] = now
	return now
}
