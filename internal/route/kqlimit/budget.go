package kqlimit

// Budget allows extra sends as a percentage of first sends, saved up to cap.
type Budget struct {
	tokens float64
	cap    float64
}

// NewBudget returns a budget that holds one send and saves up to limit sends.
func NewBudget(limit float64) *Budget {
	return &Budget{tokens: 1, cap: limit}
}

// Earn notes one first send.
func (b *Budget) Earn(percent float64) {
	b.tokens = min(b.cap, b.tokens+percent/100)
}

// Spend takes one extra send if the budget holds it.
func (b *Budget) Spend(percent float64) bool {
	if percent <= 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
