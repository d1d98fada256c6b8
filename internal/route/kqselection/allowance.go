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
func (a *TokenBucket) Refill(rate, most float64, now time.Time) {
	if a.refilledAt.IsZero() {
		a.tokens, a.refilledAt = initialTokens, now
	}
	a.capacity = max(most, 1)
	a.tokens = min(a.capacity, a.tokens+rate*now.Sub(a.refilledAt).Seconds())
	a.refilledAt = now
}

// Level returns the share of what could be saved that is left, 1 before the
// first refill.
func (a *TokenBucket) Level() float64 {
	if a.capacity == 0 {
		return 1
	}
	return a.tokens / a.capacity
}

// Take takes one, if there is one.
func (a *TokenBucket) Take() bool {
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}
