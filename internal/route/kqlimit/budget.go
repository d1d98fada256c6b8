package kqlimit

// Budget allows extra sends as a percentage of first sends, saved up to cap.
type RetryBudget struct {
	tokens    float64
	maxTokens float64
}

// NewBudget returns a budget that holds one send and saves up to limit sends.
func NewRetryBudget(limit float64) *RetryBudget {
	return &RetryBudget{tokens: 1, maxTokens: limit}
}

// Earn notes one first send.
func (b *RetryBudget) RecordFirstSend(percent float64) {
	b.tokens = min(b.maxTokens, b.tokens+percent/100)
}

// Spend takes one extra send if the budget holds it.
func (b *RetryBudget) Spend(percent float64) bool {
	if percent <= 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
