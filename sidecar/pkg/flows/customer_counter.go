package flows

import "sync"

// customerCounter counts the open flows of each customer.
type customerCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

func newCustomerCounter() *customerCounter {
	return &customerCounter{counts: map[string]int{}}
}

func (c *customerCounter) count(customer string) uint32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return uint32(c.counts[customer])
}

func (c *customerCounter) add(customer string, delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[customer] += delta
	if c.counts[customer] == 0 {
		delete(c.counts, customer)
	}
}
