package kqselection

import "time"

// initialTokens is the number of tokens available right after the start.
const initialTokens = 64

// TokenBucket is a token bucket whose rate and capacity may change at each refill.
type TokenBucket struct {
	tokens     float64
	capacity   float64
	refilledAt time.Time
}

// Refill adds the tokens earned since the last refill at the rate, in tokens a
// second, up to the capacity.
func (b *TokenBucket) Refill(rate, capacity float64, now time.Time) {
	if b.refilledAt.IsZero() {
		b.tokens, b.refilledAt = initialTokens, now
	}
	b.capacity = max(capacity, 1)
	b.tokens = min(b.capacity, b.tokens+rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
}

// Level returns the share of the capacity that is filled with tokens, 1 before
// the first refill.
func (b *TokenBucket) Level() float64 {
	if b.capacity == 0 {
		return 1
	}
	return b.tokens / b.capacity
}

// Take takes one token and reports whether there was one.
func (b *TokenBucket) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
