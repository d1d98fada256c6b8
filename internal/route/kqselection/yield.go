package kqselection

import (
	"slices"
	"time"
)

// spareFactor is how many service times an objective must leave beyond the time of a request that
// leaves room to others: a delay costs it nothing then. Without this bound, requests with little
// time, which most were, became late or were refused for a few urgent ones (0.519 of worth
// against 0.543 without any yielding, on a day of an owner at 5.5 times its usual load).
const spareFactor = 2

// IsTight reports whether the objective leaves too little time for a request to wait for others.
func IsTight(objective, serviceTime time.Duration) bool {
	return objective-serviceTime-serviceTime/2 <= spareFactor*serviceTime
}

// PickFor is Pick for a request that is not queued, of which only the priority and whether it is
// tight count. It may have to leave what room there is to more urgent ones;
// toleratesCold says whether it may get a cold target while others are warm.
func (s *Selector) PickFor(w *Waiter, list []*Target, fresh map[*Target]bool, now time.Time, toleratesCold bool) *Target {
	s.recordProbed(list, fresh, now)
	if may := s.mayStart(s.room(list, now), now); may != nil && !may(w) {
		return nil
	}
	t := s.pick(list, fresh, now, toleratesCold)
	if t != nil {
		s.Admission.RecordStart(w.Priority, now)
	}
	return t
}

// MustQueue reports whether a request that has just come waits behind queued ones. Those
// that are less urgent do not count where requests differ in priority.
func (s *Selector) MustQueue(priority int, now time.Time) bool {
	if !s.Admission.Active {
		return s.Queue.Len() > 0
	}
	for _, w := range s.Queue.waiters {
		if w.Priority <= priority && now.Before(w.StartBy) {
			return true
		}
	}
	return false
}

// Enqueue queues a request that found no room, as Queue.Enqueue does. Where requests differ
// in priority, only those that start before it count for the expected wait, and in a full
// queue it takes the place of the last of the least urgent ones, which gets no target.
func (s *Selector) Enqueue(w *Waiter, now time.Time) bool {
	if !s.Admission.Active {
		return s.Queue.Enqueue(w, now)
	}
	if now.Add(s.expectedWait(w, now)).After(w.GiveUpAt) {
		return false
	}
	if s.Queue.Len() >= maxQueueLength {
		last := s.Queue.leastUrgent()
		if last.Priority <= w.Priority {
			return false
		}
		s.Queue.Remove(last)
		last.PushedOut = true
		last.Assign(nil)
	}
	s.Queue.add(w)
	return true
}

// leastUrgent returns the last of the least urgent requests of a queue that is not empty.
func (q *Queue) leastUrgent() *Waiter {
	last := q.waiters[0]
	for _, w := range q.waiters {
		if w.Priority >= last.Priority {
			last = w
		}
	}
	return last
}

// expectedWait returns how long a request of the priority waits behind the queued ones that
// are as urgent or more. A class that yields starts as often as it did lately.
func (s *Selector) expectedWait(w *Waiter, now time.Time) time.Duration {
	ahead := 0
	for _, x := range s.Queue.waiters {
		if x.Priority <= w.Priority {
			ahead++
		}
	}
	if w.Tight || !s.Admission.Yields(w.Priority, now) {
		return s.Queue.waitBehind(ahead, now)
	}
	return time.Duration(float64(ahead) / s.Admission.startRate(w.Priority, now) * float64(time.Second))
}

// ReturnDelay returns after which time there may be room for a request of the priority that
// was refused, 0 if that is not known; left is the time that its caller has.
func (s *Selector) ReturnDelay(priority int, left time.Duration, now time.Time) time.Duration {
	if !s.Admission.Yields(priority, now) {
		return 0
	}
	return min(s.expectedWait(&Waiter{Priority: priority}, now), time.Duration(maxReturnShare*float64(left)))
}

// MayProbeQueued reports whether targets may be probed for the queued requests when this
// share of the probe budget is left.
func (s *Selector) MayProbeQueued(level float64, now time.Time) bool {
	if !s.Admission.Active || level > reservedProbes {
		return true
	}
	return slices.ContainsFunc(s.Queue.waiters, func(w *Waiter) bool {
		return w.Tight || !s.Admission.Yields(w.Priority, now)
	})
}

// BodyHoldDelay returns how long to hold back the end of a body before the target is
// probed again, or 0 to send it now. Where requests differ in priority, it also holds back
// a body for which the target has no free slot: it would wait there ahead of urgent ones.
// Where targets hang when full, it does so until the deadline of the request.
func (s *Selector) BodyHoldDelay(t *Target, now, until, deadline time.Time) time.Duration {
	if d := BodyHoldDelay(t, now, until); d > 0 || !s.Admission.Active && !s.Hangs.Seen(now) {
		return d
	}
	if s.Hangs.Seen(now) {
		until = deadline
	}
	if l := &t.LastLoad; t.Informed(now) && l.Running+l.Waiting >= l.Slots && now.Before(until) {
		return bodyHoldProbeInterval
	}
	return 0
}

// recordProbed counts the targets that were just probed, or were full a moment ago.
func (s *Selector) recordProbed(list []*Target, fresh map[*Target]bool, now time.Time) {
	if !s.Admission.Active {
		return
	}
	probed, full := 0, 0
	for _, t := range list {
		if !fresh[t] && !t.ProbeDeferred(now) {
			continue
		}
		probed++
		if t.Headroom(now, true) <= 0 {
			full++
		}
	}
	s.Admission.RecordProbed(probed, full, now)
}

// room returns how many targets of the list have headroom.
func (s *Selector) room(list []*Target, now time.Time) int {
	n, reportsLoad := 0, s.recordReports(list)
	for _, t := range list {
		if t.Headroom(now, reportsLoad) > 0 {
			n++
		}
	}
	return n
}

// mayStart returns whether a queued request may start when this many targets have headroom;
// it is nil if all may.
func (s *Selector) mayStart(room int, now time.Time) func(*Waiter) bool {
	if !s.Admission.Active {
		return nil
	}
	return func(w *Waiter) bool {
		return s.Admission.MayStart(w.Priority, room, now) || room > 0 && w.Tight
	}
}

// assign removes a queued request and assigns it the target.
func (s *Selector) assign(w *Waiter, t *Target, now time.Time) {
	s.Admission.RecordStart(w.Priority, now)
	s.Queue.Remove(w)
	w.Assign(t)
}
