package kqfresh

import "time"

// firstAllowed is what may be taken right after a start.
const firstAllowed = 64

// Allowance is a bucket whose rate may change.
type Allowance struct {
	left float64
	at   time.Time
}

// Refill adds what came at the rate, a second, since the last time, up to most.
func (a *Allowance) Refill(rate, most float64, now time.Time) {
	if a.at.IsZero() {
		a.left, a.at = firstAllowed, now
	}
	a.left = min(max(most, 1), a.left+rate*now.Sub(a.at).Seconds())
	a.at = now
}

// Take takes one, if there is one.
func (a *Allowance) Take() bool {
	if a.left < 1 {
		return false
	}
	a.left--
	return true
}
