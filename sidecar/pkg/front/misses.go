package front

import (
	"sync"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/hold"
)

const (
	// maxMisses is the limit of flows in misses. When it is reached, all flows are removed from it.
	maxMisses = 1 << 14
	// missRetention is the time for which the first miss of a flow is kept.
	missRetention = 20 * hold.ResetDelay
)

// misses records when a segment of a flow first missed: it reached the end of its chain at this sidecar, and
// no sidecar of the chain holds the flow. The methods of misses may be called from several goroutines.
type misses struct {
	mu          sync.Mutex
	firstMissAt map[landing.FlowKey]time.Time
}

func newMisses() *misses {
	return &misses{firstMissAt: map[landing.FlowKey]time.Time{}}
}

// firstMiss returns the time of the first miss of flow k within missRetention. If none is on record, it
// records and returns now.
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
