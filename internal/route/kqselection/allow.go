package kqselection

import (
	"slices"
	"time"
)

// allows reports whether the request may be sent to the target.
func (w *Waiter) allows(t *Target) bool { return w.Allows == nil || w.Allows(t) }

// Wanted returns a function that reports whether a queued request may be sent to a target,
// nil if one of them may be sent to all. The lock that guards the queue must be held when
// it is called.
func (q *Queue) Wanted() func(*Target) bool {
	if len(q.waiters) == 0 || slices.ContainsFunc(q.waiters, func(w *Waiter) bool { return w.Allows == nil }) {
		return nil
	}
	return func(t *Target) bool {
		return slices.ContainsFunc(q.waiters, func(w *Waiter) bool { return w.allows(t) })
	}
}

// wantedOf returns the targets of the list that a queued request may be sent to.
func (q *Queue) wantedOf(list []*Target) []*Target {
	wanted := q.Wanted()
	if wanted == nil {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(t *Target) bool { return !wanted(t) })
}

// nextFor returns the request that starts next on the target, of those for which may returns
// true, or of all if it is nil; it returns nil if there is none. While other targets are warm, a
// cold one gets only requests that tolerate it.
func (q *Queue) nextFor(t *Target, warm bool, now time.Time, may func(*Waiter) bool) *Waiter {
	onlyTolerant := warm && t.IsCold(now)
	return q.next(now, func(w *Waiter) bool {
		return (may == nil || may(w)) && w.allows(t) && (!onlyTolerant || w.toleratesCold(now))
	})
}
