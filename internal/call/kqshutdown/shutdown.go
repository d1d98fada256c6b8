package kqshutdown

import (
	"sync/atomic"
	"time"
)

// deliveryTime is how long before the end of the shutdown a request's time must be up: its
// response has to reach the caller, and timers fire late on a busy host.
const deliveryTime = 100 * time.Millisecond

// Shutdown is the planned shutdown of a host; the zero value has not begun. It is safe for
// concurrent use.
type Shutdown struct {
	end atomic.Pointer[time.Time]
}

// Begin sets the time at which the host aborts what is still running. A later call may
// bring it forward.
func (s *Shutdown) Begin(end time.Time) {
	s.end.Store(&end)
}

// Begun reports whether the shutdown has begun.
func (s *Shutdown) Begun() bool { return s.end.Load() != nil }

// Takes reports whether a request may be sent to a target: only if the longest time that
// it may take, until its deadline, is over before the host aborts it. Any other must be
// refused as not run, so that its caller tries another host.
func (s *Shutdown) Takes(deadline time.Time) bool {
	end := s.end.Load()
	return end == nil || !deadline.After(end.Add(-deliveryTime))
}
