package kqfeed

import "time"

const (
	// LeaseDuration is how long a host may serve after its view was confirmed. Added
	// to the time that a confirmation may be in flight on a silent link, it stays
	// below the 17 s within which a change must take effect on all hosts.
	LeaseDuration = 10 * time.Second

	// peerQueryAge is the age of the last confirmation from which on the other entry
	// hosts are queried.
	peerQueryAge = 7 * time.Second
)

// lease decides whether a host whose control hosts are silent may go on serving. The
// caller passes in all times.
type lease struct {
	confirmedAt time.Time // zero: never
	extendedAt  time.Time // last time that a majority knew no newer confirmation
}

// confirm records that the view was confirmed at the given time or later.
func (l *lease) confirm(at time.Time) {
	if at.After(l.confirmedAt) {
		l.confirmedAt = at
	}
}

// extend records that a majority of the entry hosts answered at the given time and
// none knew a newer confirmation: the control hosts are down, so no newer change can
// have taken effect.
func (l *lease) extend(at time.Time) {
	if at.After(l.extendedAt) {
		l.extendedAt = at
	}
}

// age returns the time since the last confirmation.
func (l *lease) age(now time.Time) time.Duration {
	return now.Sub(l.confirmedAt)
}

// needsPeers reports whether the other entry hosts should be queried now.
func (l *lease) needsPeers(now time.Time) bool {
	return !l.confirmedAt.IsZero() && l.age(now) >= peerQueryAge
}

// valid reports whether the host may act on its view at the given time.
func (l *lease) valid(now time.Time) bool {
	if l.confirmedAt.IsZero() {
		return false
	}
	return l.age(now) < LeaseDuration || now.Sub(l.extendedAt) < LeaseDuration
}
