package kqfake

import (
	"sync"
	"time"

	kq "kumquatglade"
)

// Clock is a kq.Clock whose time changes only by Advance.
type Clock struct {
	mu     sync.Mutex
	now    time.Time
	timers []*timer
}

// NewClock returns a clock at a fixed time.
func NewClock() *Clock {
	return &Clock{now: time.Unix(1_700_000_000, 0)}
}

type timer struct {
	c  *Clock
	at time.Time
	f  func()
}

// Stop implements kq.Timer.
func (t *timer) Stop() bool {
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	for i, other := range t.c.timers {
		if other == t {
			t.c.timers = append(t.c.timers[:i], t.c.timers[i+1:]...)
			return true
		}
	}
	return false
}

// Now implements kq.Clock.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// AfterFunc implements kq.Clock; f runs inside Advance.
func (c *Clock) AfterFunc(d time.Duration, f func()) kq.Timer {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &timer{c, c.now.Add(d), f}
	c.timers = append(c.timers, t)
	return t
}

// Advance adds d to the time and runs the timers that have become due.
func (c *Clock) Advance(d time.Duration) {
	c.mu.Lock()
	c.now = c.now.Add(d)
	var due []*timer
	rest := c.timers[:0]
	for _, t := range c.timers {
		if t.at.After(c.now) {
			rest = append(rest, t)
			continue
		}
		due = append(due, t)
	}
	c.timers = rest
	c.mu.Unlock()
	for _, t := range due {
		t.f()
	}
}
