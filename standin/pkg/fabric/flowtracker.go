package fabric

import (
	"sync"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// flowTracker records the flows that were opened and those whose packets are dropped. A flow is not removed when it ends.
type flowTracker struct {
	// mu guards both maps.
	mu      sync.Mutex
	open    map[landing.FlowKey]bool
	dropped map[landing.FlowKey]bool
}

func newFlowTracker() *flowTracker {
	return &flowTracker{open: map[landing.FlowKey]bool{}, dropped: map[landing.FlowKey]bool{}}
}

// dropOpen marks all open flows as dropped.
func (t *flowTracker) dropOpen() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := range t.open {
		t.dropped[key] = true
	}
	clear(t.open)
}

// isDropped reports whether a packet of the flow must be dropped. A SYN marks the flow as open, also if its packets were
// dropped before.
func (t *flowTracker) isDropped(key landing.FlowKey, isSYN bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if isSYN {
		delete(t.dropped, key)
		t.open[key] = true
	}
	return t.dropped[key]
}
