package routing

// Constants of the retry budget, in thousandths of a token. At 10% an outage of every upstream adds a tenth to
// the load, not a multiple.
const (
	retryToken   = 1000
	retryDeposit = retryToken / 10
	// retryBurst bounds what a quiet time can save up. A new budget holds it, so that the first requests after
	// a start can be retried.
	retryBurst = 10 * retryToken
)

// RetryBudget is a token bucket: each request deposits a tenth of a token and each retry takes a whole one.
type RetryBudget struct {
	tokens int
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: retryBurst} }

// Deposit records one request.
func (b *RetryBudget) Deposit() { b.tokens = min(b.tokens+retryDeposit, retryBurst) }

// Available reports whether a retry could be made.
func (b *RetryBudget) Available() bool { return b.tokens >= retryToken }

// Withdraw takes the token of one retry and reports whether there was one.
func (b *RetryBudget) Withdraw() bool {
	if !b.Available() {
		return false
	}
	b.tokens -= retryToken
	return true
}
