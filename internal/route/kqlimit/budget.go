package kqlimit

// RetryBudget allows retries or hedged requests as a percentage of first sends.
type RetryBudget struct {
	tokens    float64
	maxTokens float64
}

// NewRetryBudget returns a budget that holds one retry and saves up to limit retries.
func NewRetryBudget(limit float64) *RetryBudget {
	return &RetryBudget{tokens: 1, maxTokens: limit}
}

// RecordFirstSend adds the percentage of one first send to the budget.
func (b *RetryBudget) RecordFirstSend(percent float64) {
	b.tokens = min(b.maxTokens, b.tokens+percent/100)
}

// Spend takes one retry and reports whether the budget held one; a percentage of 0 or
// less allows none.
func (b *RetryBudget) Spend(percent float64) bool {
	if percent <= 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
