package fabric

import (
	"sync"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// memory is the flows that the fabric knows and those that it has lost track of.
type memory struct {
	mu        sync.Mutex
	known     map[landing.FlowKey]bool
	forgotten map[landing.FlowKey]bool
}

func newMemory() *memory {
	return &memory{known: map[landing.FlowKey]bool{}, forgotten: map[landing.FlowKey]bool{}}
}

func (m *memory) forget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for k := range m.known {
		m.forgotten[k] = true
	}
	clear(m.known)
}

// isForgotten says whether a packet of flow k is to be dropped. A packet that opens a flow makes it known.
func (m *memory) isForgotten(k landing.FlowKey, opening bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if opening {
		delete(m.forgotten, k)
		m.known[k] = true
	}
	return m.forgotten[k]
}
