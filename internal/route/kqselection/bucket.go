package kqselection

import "time"

// firstAllowed is what may be taken right after a start.
const initialTokens = 64

// Allowance is a bucket whose rate may change.
type TokenBucket struct {
	tokens     float64
	capacity   float64
	refilledAt time.Time
}

// Refill adds what came at the rate, a second, since the last time, up to most.
func (b *TokenBucket) Refill(rate, capacity float64, now time.Time) {
	if b.refilledAt.IsZero() {
		b.tokens, b.refilledAt = initialTokens, now
	}
	b.capacity = max(capacity, 1)
	b.tokens = min(b.capacity, b.tokens+rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
}

// Level returns the share of what could be saved that is left, 1 before the
// first refill.
func (b *TokenBucket) Level() float64 {
	if b.capacity == 0 {
		return 1
	}
	return b.tokens / b.capacity
}

// Take takes one, if there is one.
func (b *TokenBucket) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
