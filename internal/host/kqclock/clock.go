package kqclock

import (
	"time"

	kq "kumquatglade"
)

// System is the operating system's clock.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time {
	return time.Now()
}

// AfterFunc runs f in its own goroutine once d has passed.
func (System) AfterFunc(d time.Duration, f func()) kq.Timer {
	return time.AfterFunc(d, f)
}
