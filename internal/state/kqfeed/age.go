package kqfeed

import "time"

const (
	// confirmationStep is how much newer than the one before a confirmation may be that was
	// possibly received late: a little more than the time between two of them.
	confirmationStep = 500 * time.Millisecond

	// minLiveGap and maxLiveGap are the times since the confirmation before within which a
	// confirmation was received as it came. Behind a longer silence, this host may have been
	// frozen; those behind each other at once may have waited in its receive buffer.
	minLiveGap = 200 * time.Millisecond
	maxLiveGap = time.Second
)

// StateAge returns how long ago a control host confirmed that the view in force on this host
// was the newest one. It is larger than any other time if none did.
func (f *Follower) StateAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cfg.Clock.Now().Sub(f.currentAt)
}

// recordCurrent records a confirmation of the view in force that has just arrived, with the
// time since the one before. A host that was frozen receives the confirmations of that time
// at once, before the changes behind them: each counts only as confirmationStep newer than
// the one before. The lock is held.
func (f *Follower) recordCurrent(now time.Time, gap time.Duration) {
	isLive := gap >= minLiveGap && gap <= maxLiveGap
	if f.currentAt = f.currentAt.Add(confirmationStep); isLive || f.currentAt.After(now) {
		f.currentAt = now
	}
}

// recordSubscribed records that the view in force was confirmed by the reply to the last
// subscription, once the view that it announced is in force. The lock is held.
func (f *Follower) recordSubscribed() {
	if f.subscribed && f.awaitedRevision == nil && f.subscribedAt.After(f.currentAt) {
		f.currentAt = f.subscribedAt
	}
}
