package kqfeed

import "time"

const (
	// LeaseTime is how long a confirmation of the view allows to serve. With
	// the time that a confirmation may be under way on a silent link it stays
	// below the 17 s in which a change must be in force everywhere.
	LeaseDuration = 10 * time.Second

	// askAfter is the age of the confirmation at which peers are asked.
	peerQueryAge = 7 * time.Second
)

// lease decides what a host may do whose control hosts are silent. Its clock
// is the caller's.
type lease struct {
	confirmedAt time.Time // zero: never
	extendedAt  time.Time // last time that a majority had no newer confirmation
}

// confirm notes that the view was confirmed at the time or later.
func (l *lease) confirm(at time.Time) {
	if at.After(l.confirmedAt) {
		l.confirmedAt = at
	}
}

// excuse notes that a majority of the entry hosts was asked and none knew a
// newer confirmation: the control hosts are down, so nothing new is in force.
func (l *lease) extend(at time.Time) {
	if at.After(l.extendedAt) {
		l.extendedAt = at
	}
}

// age returns the time since the last confirmation.
func (l *lease) age(now time.Time) time.Duration {
	return now.Sub(l.confirmedAt)
}

// asks reports whether peers should be asked now.
func (l *lease) needsPeers(now time.Time) bool {
	return !l.confirmedAt.IsZero() && l.age(now) >= peerQueryAge
}

// serves reports whether the host may act on its view.
func (l *lease) valid(now time.Time) bool {
	if l.confirmedAt.IsZero() {
		return false
	}
	return l.age(now) < LeaseDuration || now.Sub(l.extendedAt) < LeaseDuration
}
