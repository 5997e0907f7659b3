package admit

import "sync"

// RetryBudget bounds further attempts to a share of the successes, so that
// retries cannot multiply an overload.
type RetryBudget struct {
	mu     sync.Mutex
	share  float64 // tokens that one success adds
	tokens float64
}

const maxRetryTokens = 20

// NewRetryBudget returns a budget that allows percent further attempts for each
// hundred successes, and a few at the start.
func NewRetryBudget(percent int) *RetryBudget {
	return &RetryBudget{share: float64(percent) / 100, tokens: maxRetryTokens / 2}
}

// RecordSuccess adds to the budget.
func (b *RetryBudget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, maxRetryTokens)
}

// Take reports whether one more attempt is allowed.
func (b *RetryBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
