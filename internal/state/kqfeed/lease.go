package kqfeed

import "time"

const (
	// LeaseTime is how long a confirmation of the view allows to serve. With
	// the time that a confirmation may be under way on a silent link it stays
	// below the 17 s in which a change must be in force everywhere.
	LeaseTime = 10 * time.Second

	// askAfter is the age of the confirmation at which peers are asked.
	askAfter = 7 * time.Second
)

// lease decides what a host may do whose control hosts are silent. Its clock
// is the caller's.
type lease struct {
	confirmed time.Time // zero: never
	excused   time.Time // last time that a majority had no newer confirmation
}

// confirm notes that the view was confirmed at the time or later.
func (l *lease) confirm(at time.Time) {
	if at.After(l.confirmed) {
		l.confirmed = at
	}
}

// excuse notes that a majority of the entry hosts was asked and none knew a
// newer confirmation: the control hosts are down, so nothing new is in force.
func (l *lease) excuse(at time.Time) {
	if at.After(l.excused) {
		l.excused = at
	}
}

// age returns the time since the last confirmation.
func (l *lease) age(now time.Time) time.Duration {
	return now.Sub(l.confirmed)
}

// asks reports whether peers should be asked now.
func (l *lease) asks(now time.Time) bool {
	return !l.confirmed.IsZero() && l.age(now) >= askAfter
}

// serves reports whether the host may act on its view.
func (l *lease) serves(now time.Time) bool {
	if l.confirmed.IsZero() {
		return false
	}
	return l.age(now) < LeaseTime || now.Sub(l.excused) < LeaseTime
}
