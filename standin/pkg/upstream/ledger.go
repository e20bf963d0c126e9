package upstream

import (
	"maps"
	"sync"
)

// ledger remembers how often each confirmation ran.
type ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

func newLedger() *ledger {
	return &ledger{runs: map[string]int{}}
}

func (l *ledger) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

func (l *ledger) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

func (l *ledger) all() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.runs)
}
