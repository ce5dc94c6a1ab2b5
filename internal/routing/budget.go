package routing

// Constants of the retry budget, in thousandths of a token. With a deposit of 10% per request, retries during an outage
// of every upstream add a tenth to the load instead of multiplying it.
const (
	retryToken   = 1000
	retryDeposit = retryToken / 10
	// retryBurst bounds the tokens that accumulate while there are no retries. A new budget starts with it, so that the
	// first requests after a start can be retried.
	retryBurst = 10 * retryToken
)

// RetryBudget is a token bucket: each request deposits a tenth of a token and each retry withdraws a whole one.
type RetryBudget struct {
	tokens int
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: retryBurst} }

// Deposit adds the share of one request.
func (b *RetryBudget) Deposit() { b.tokens = min(b.tokens+retryDeposit, retryBurst) }

// Available reports whether the budget covers a retry.
func (b *RetryBudget) Available() bool { return b.tokens >= retryToken }

// Withdraw takes the token of one retry. It reports false if none is available.
func (b *RetryBudget) Withdraw() bool {
	if !b.Available() {
		return false
	}
	b.tokens -= retryToken
	return true
}
