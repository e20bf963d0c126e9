package requests

import (
	"sync"

	"github.com/crocuslanding/crocuslanding/core/pkg/retry"
)

// budget is the retry budget that all requests of the sidecar share.
type budget struct {
	mu    sync.Mutex
	value retry.Budget
}

func newBudget() *budget {
	return &budget{value: retry.NewBudget()}
}

func (b *budget) noteRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.value = b.value.WithRequest()
}

func (b *budget) noteRetry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.value = b.value.WithRetry()
}

func (b *budget) allows() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.value.AllowsRetry()
}
