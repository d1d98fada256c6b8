package kq

import "time"

// Clock tells the time and starts timers; tests replace it by a clock that they advance.
type Clock interface {
	// Now returns the current time with a monotonic reading where there is one.
	Now() time.Time
	// AfterFunc runs f in its own goroutine once d has passed.
	AfterFunc(d time.Duration, f func()) Timer
}

// Timer is a timer that a Clock has started.
type Timer interface {
	// Stop cancels the timer and reports whether it had not fired yet.
	Stop() bool
}
