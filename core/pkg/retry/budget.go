package retry

const (
	// requestsPerRetry is the number of requests after which one more retry is allowed.
	requestsPerRetry = 10
	// maxBalance is the largest balance, in requests. It allows ten retries in a row.
	maxBalance = 10 * requestsPerRetry
)

// Budget limits the retries to one for every requestsPerRetry requests. Its balance is the number of
// requests that no retry has used up yet. It is immutable.
type Budget struct {
	balance uint32
}

// NewBudget returns a budget with the largest balance.
func NewBudget() Budget {
	return Budget{balance: maxBalance}
}

// WithRequest returns the budget after one more request.
func (b Budget) WithRequest() Budget {
	b.balance = min(b.balance+1, maxBalance)
	return b
}

// WithRetry returns the budget after one retry.
func (b Budget) WithRetry() Budget {
	b.balance -= min(b.balance, requestsPerRetry)
	return b
}

// AllowsRetry reports whether the balance suffices for another retry.
func (b Budget) AllowsRetry() bool {
	return b.balance >= requestsPerRetry
}
