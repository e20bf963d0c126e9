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

func (c *confirmationCounter) increment(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
}

func (c *confirmationCounter) count(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// all returns a copy of all counts.
func (c *confirmationCounter) all() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.runs)
}
