package admit

import "sync"

// RetryBudget is a token bucket that limits retries to a share of the successful
// requests, so that retries cannot amplify an overload.
type RetryBudget struct {
	mu               sync.Mutex
	tokensPerSuccess float64 // tokens added for each success
	tokens           float64
}

// maxRetryTokens limits the retries that may follow each other without a success.
const maxRetryTokens = 20

// NewRetryBudget returns a budget that allows percent retries for each hundred
// successes. It starts with half of maxRetryTokens, so that retries are possible before
// the first success.
func NewRetryBudget(percent int) *RetryBudget {
	return &RetryBudget{tokensPerSuccess: float64(percent) / 100, tokens: maxRetryTokens / 2}
}

// RecordSuccess adds the tokens of one success, up to the maximum.
func (b *RetryBudget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.tokensPerSuccess, maxRetryTokens)
}

// Take takes a token for a retry. It returns false if there is none, in which case the
// retry is not allowed.
func (b *RetryBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
