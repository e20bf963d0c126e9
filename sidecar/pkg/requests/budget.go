package requests

import (
	"sync"

	"github.com/crocuslanding/crocuslanding/core/pkg/retry"
)

// retryBudget is the retry budget that all requests of the sidecar share. Its methods may be called from
// several goroutines.
type retryBudget struct {
	mu    sync.Mutex
	value retry.Budget
}

func newRetryBudget() *retryBudget {
	return &retryBudget{value: retry.NewBudget()}
}

func (b *retryBudget) recordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.value = b.value.WithRequest()
}

func (b *retryBudget) recordRetry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.value = b.value.WithRetry()
}

func (b *retryBudget) allowsRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.value.AllowsRetry()
}
