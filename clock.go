package kq

import "time"

// Clock tells the time and arms timers, so that tests can drive both.
type Clock interface {
	// Now returns the current time with a monotonic reading where there is one.
	Now() time.Time
	// AfterFunc runs f in its own goroutine once d has passed.
	AfterFunc(d time.Duration, f func()) Timer
}

// Timer is an armed timer of a Clock.
type Timer interface {
	// Stop disarms the timer and reports whether it had not fired yet.
	Stop() bool
}
