package flows

import "sync"

// ledger counts the flows of each customer.
type ledger struct {
	mu     sync.Mutex
	counts map[string]int
}

func newLedger() *ledger {
	return &ledger{counts: map[string]int{}}
}

func (l *ledger) count(customer string) uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return uint32(l.counts[customer])
}

func (l *ledger) add(customer string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[customer] += n
	if l.counts[customer] == 0 {
		delete(l.counts, customer)
	}
}
