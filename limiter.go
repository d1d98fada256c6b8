package kq

import "time"

// Limiter decides whether one more call may start now.
type Limiter interface {
	// Take admits one call, or returns how long until one may be admitted.
	Take(now time.Time) (wait time.Duration, ok bool)
}
