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
	missRetention = 20 * hold.ResetDelay
)

// misses remembers when a segment of a flow first missed.
type misses struct {
	mu          sync.Mutex
	firstMissAt map[landing.FlowKey]time.Time
}

func newMisses() *misses {
	return &misses{firstMissAt: map[landing.FlowKey]time.Time{}}
}

// first returns the time of the first miss of flow k, which is now when none is remembered.
func (m *misses) firstMiss(k landing.FlowKey, now time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, found := m.firstMissAt[k]
	if found && now.Sub(at) < missRetention {
		return at
	}
	if len(m.firstMissAt) >= maxMisses {
		clear(m.firstMissAt)
	}
	m.firstMissAt[k] = now
	return now
}
