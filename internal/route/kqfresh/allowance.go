package kqfresh

import "time"

// firstAllowed is what may be taken right after a start.
const firstAllowed = 64

// Allowance is a bucket whose rate may change.
type Allowance struct {
	left float64
	most float64
	at   time.Time
}

// Refill adds what came at the rate, a second, since the last time, up to most.
func (a *Allowance) Refill(rate, most float64, now time.Time) {
	if a.at.IsZero() {
		a.left, a.at = firstAllowed, now
	}
	a.most = max(most, 1)
	a.left = min(a.most, a.left+rate*now.Sub(a.at).Seconds())
	a.at = now
}

// Level returns the share of what could be saved that is left, 1 before the
// first refill.
func (a *Allowance) Level() float64 {
	if a.most == 0 {
		return 1
	}
	return a.left / a.most
}

// Take takes one, if there is one.
func (a *Allowance) Take() bool {
	if a.left < 1 {
		return false
	}
	a.left--
	return true
}
