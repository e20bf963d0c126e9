package retry

const (
	// budgetShare is the number of requests that earn one retry.
	budgetShare = 10
	// budgetMax is the number of retries that can be saved up, in requests.
	budgetMax = 10 * budgetShare
)

// Budget limits retries to a share of the requests. It is immutable.
type Budget struct {
	earned uint32
}

// NewBudget returns a budget that is full.
func NewBudget() Budget {
	return Budget{earned: budgetMax}
}

// WithRequest returns the budget after one more request.
func (b Budget) WithRequest() Budget {
	b.earned = min(b.earned+1, budgetMax)
	return b
}

// WithRetry returns the budget after one retry.
func (b Budget) WithRetry() Budget {
	b.earned -= min(b.earned, budgetShare)
	return b
}

// AllowsRetry says whether another retry may be made.
func (b Budget) AllowsRetry() bool {
	return b.earned >= budgetShare
}
