package front

import (
	"sync"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/hold"
)

const (
	// maxMisses is the limit of flows in misses. When it is reached, all are removed.
	maxMisses = 1 << 14
	// missRetention is the time for which the first miss of a flow is kept.
	missRetention = 20 * hold.ResetDelay
)

// misses records, for flows that the sidecar does not hold, when a segment first reached the end of its
// chain here without a sidecar that holds the flow. Its methods may be called from several goroutines.
type misses struct {
	mu          sync.Mutex
	firstMissAt map[landing.FlowKey]time.Time
}

func newMisses() *misses {
	return &misses{firstMissAt: map[landing.FlowKey]time.Time{}}
}

// firstMiss returns the time of the first miss of flow k. If none is on record, it records now.
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
