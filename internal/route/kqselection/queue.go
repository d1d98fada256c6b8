package kqselection

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxSlowdown is the slowdown up to which a target gets requests while another one
	// may soon be free: a request that starts on a slow machine stays slow.
	maxSlowdown = 2.5

	// maxLoadAge is the age up to which a load report is used to compute headroom.
	maxLoadAge = 25 * time.Millisecond

	serviceTimeWeight = 0.05                   // weight of the newest request in the mean
	maxQueueLength    = 512                    // queued requests for one service on one host
	startDecay        = 500 * time.Millisecond // in which the recent starts decay to zero

	// minRecentStarts is the lower bound assumed for the recent starts: few starts mean
	// few requests, not little headroom.
	minRecentStarts = 20
)

// Headroom returns how many more requests the target can start now without slowing down
// or queueing them. Without reportsLoad, only requests in flight from this host count.
func (t *Target) Headroom(now time.Time, reportsLoad bool) int {
	if !t.Available(now) {
		return 0
	}
	slots := t.Slots
	if reportsLoad && t.LastLoad.Slots > 0 {
		slots = t.LastLoad.Slots
	}
	limit := t.Saturation.UsableSlots(slots)
	if !reportsLoad {
		return limit - t.InFlight
	}
	if !t.recentlyFast(now) {
		return 0
	}
	return limit - t.load()
}

// recentlyFast reports whether a load report from the last maxLoadAge says that the
// target is not slow.
func (t *Target) recentlyFast(now time.Time) bool {
	return t.Informed(now) && t.LastLoad.Slowdown <= maxSlowdown
}

// load returns how many requests the target has, as far as this host knows.
func (t *Target) load() int {
	return max(t.InFlight, t.LastLoad.Running+t.LastLoad.Waiting+t.LastLoad.Sent)
}

// HasFreeSlot reports whether the target has a free slot, although one more request may
// slow it down.
func (t *Target) HasFreeSlot(now time.Time) bool {
	return t.Available(now) && t.recentlyFast(now) && t.load() < t.LastLoad.Slots
}

// NearlyFull reports whether one more request takes the target above the saturation
// threshold without exceeding its slots.
func (t *Target) NearlyFull() bool {
	n, slots := t.load()+1, t.LastLoad.Slots
	return float64(n) > saturationThreshold*float64(slots) && n <= slots
}

// Waiter is one queued request.
type Waiter struct {
	Priority int                // 0 is the most urgent
	StartBy  time.Time          // latest start for an answer in time
	GiveUpAt time.Time          // when it leaves the queue without a target
	Assign   func(*Target)      // called once with the target, or with nil to give up
	Allows   func(*Target) bool // reports whether it may be sent to the target; nil: to all

	ServiceTime time.Duration // usual one on an idle target
	Tight       bool          // its objective leaves too little time to wait for others, see IsTight

	// PushedOut is set before Assign(nil) if a more urgent request took the place in the queue.
	PushedOut bool

	seq uint64
}

// Queue holds the requests of one service that wait for a target with headroom on this
// host. Requests that can still be answered in time go first, by priority; requests that
// are late anyway get the headroom that is left.
type Queue struct {
	waiters      []*Waiter
	seq          uint64
	recentStarts float64 // decayed count of starts
	decayedAt    time.Time
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return len(q.waiters) }

// RecordStart counts the start of a request, queued before or not.
func (q *Queue) RecordStart(now time.Time) {
	q.decay(now)
	q.recentStarts++
}

// decay reduces the count of recent starts, so that it covers about startDecay.
func (q *Queue) decay(now time.Time) {
	if q.decayedAt.IsZero() {
		q.decayedAt = now
	}
	q.recentStarts *= max(0, 1-float64(now.Sub(q.decayedAt))/float64(startDecay))
	q.decayedAt = now
}

// ExpectedWait returns how long a request that is queued now is expected to wait.
func (q *Queue) ExpectedWait(now time.Time) time.Duration {
	return q.waitBehind(len(q.waiters), now)
}

// waitBehind returns how long a request is expected to wait behind n others.
func (q *Queue) waitBehind(n int, now time.Time) time.Duration {
	q.decay(now)
	// A few starts within startDecay are assumed: a host with few requests may have seen
	// none lately, and a queue that did not move must accept requests again.
	return time.Duration(float64(n) * float64(startDecay) / max(q.recentStarts, minRecentStarts))
}

// Enqueue adds the request; it returns false if the queue is full or the expected wait
// ends after GiveUpAt.
func (q *Queue) Enqueue(w *Waiter, now time.Time) bool {
	if len(q.waiters) >= maxQueueLength || now.Add(q.ExpectedWait(now)).After(w.GiveUpAt) {
		return false
	}
	q.add(w)
	return true
}

func (q *Queue) add(w *Waiter) {
	q.seq++
	w.seq = q.seq
	q.waiters = append(q.waiters, w)
}

// Remove removes the request; it returns false if the request has already left the
// queue, with a target assigned.
func (q *Queue) Remove(w *Waiter) bool {
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return true
}

// Dequeue removes and returns the request that starts next, nil if the queue is empty.
func (q *Queue) Dequeue(now time.Time) *Waiter {
	w := q.next(now, nil)
	if w != nil {
		q.Remove(w)
	}
	return w
}

// next returns the request that starts next of those for which may returns true, or of
// all if it is nil; it returns nil if there is none.
func (q *Queue) next(now time.Time, may func(*Waiter) bool) *Waiter {
	order := func(a, b *Waiter) int {
		lateA, lateB := now.After(a.StartBy), now.After(b.StartBy)
		if lateA != lateB {
			if lateB {
				return -1
			}
			return 1
		}
		if lateA {
			return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(b.seq, a.seq)) // the newest has the most time left
		}
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.StartBy.Compare(b.StartBy), cmp.Compare(a.seq, b.seq))
	}
	var first *Waiter
	for _, w := range q.waiters {
		if (may == nil || may(w)) && (first == nil || order(w, first) < 0) {
			first = w
		}
	}
	return first
}

// Clear removes all requests; each is assigned no target.
func (q *Queue) Clear() {
	waiters := q.waiters
	q.waiters = nil
	for _, w := range waiters {
		w.Assign(nil)
	}
}

// ServiceTime is the smoothed time that the requests of one route take on an idle
// target.
type ServiceTime struct {
	mean time.Duration
}

// Record adds the time of a request that was expected to take this many times as long as
// on an idle target.
func (s *ServiceTime) Record(d time.Duration, expected float64) {
	if expected <= 0 {
		return
	}
	idleTime := time.Duration(float64(d) / expected)
	if s.mean == 0 {
		s.mean = idleTime
		return
	}
	s.mean += time.Duration(serviceTimeWeight * float64(idleTime-s.mean))
}

// MaxUnknownServiceTime bounds the service time that is assumed before the first answer. A
// third of a long objective is far too much: after an outage, requests were refused or sent
// in vain although they had seconds left.
const MaxUnknownServiceTime = 500 * time.Millisecond

// OrDefault returns the mean service time, or the fallback before the first request.
func (s *ServiceTime) OrDefault(fallback time.Duration) time.Duration {
	if s.mean == 0 {
		return fallback
	}
	return s.mean
}
