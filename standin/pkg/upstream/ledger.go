package upstream

import (
	"maps"
	"sync"
)

// confirmationCounter counts how often each confirmation ran, by its identifier.
type confirmationCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func newConfirmationCounter() *confirmationCounter {
	return &confirmationCounter{runs: map[string]int{}}
}

func (l *confirmationCounter) increment(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

func (l *confirmationCounter) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// all returns a copy of all counts.
func (l *confirmationCounter) all() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.runs)
}
