package kqselection

import (
	"cmp"
	"slices"
	"time"
)

const (
	// slowMost is the slowness up to which a target is worth a start while
	// another one may soon be free: what starts on a slow machine stays slow.
	maxSlowdown = 2.5

	// roomLife is the age up to which what a target said of its room counts.
	maxLoadAge = 25 * time.Millisecond

	serviceTimeWeight = 0.05 // of the newest request in what is usual
	maxQueueLength    = 512  // requests that wait for one service on one host
	startDecay        = 500 * time.Millisecond
	minRecentStarts   = 20 // starts in rateLife that are assumed at the least: few starts of late mean few requests, not little room
)

// Room returns how many requests may be started on the target now without
// slowing it or waiting there; told says that it answered just now.
func (t *Target) Headroom(now time.Time, tells bool) int {
	if t.Down(now) {
		return 0
	}
	slots := t.Slots
	if tells && t.LastLoad.Slots > 0 {
		slots = t.LastLoad.Slots
	}
	limit := max(1, int(t.Saturation.UsableShare()*float64(slots)))
	if !tells {
		return limit - t.InFlight
	}
	if !t.recentlyFast(now) {
		return 0
	}
	return limit - t.load()
}

// quick reports whether the target said just now that it is not slow.
func (t *Target) recentlyFast(now time.Time) bool {
	return !t.LastLoad.At.IsZero() && now.Sub(t.LastLoad.At) <= maxLoadAge && t.LastLoad.Slowdown <= maxSlowdown
}

// load is how many requests the target has, as far as is known here.
func (t *Target) load() int {
	return max(t.InFlight, t.LastLoad.Running+t.LastLoad.Waiting+t.LastLoad.Sent)
}

// Spare reports whether the target has a free slot, though it may get slower by
// one more request.
func (t *Target) HasFreeSlot(now time.Time) bool {
	return !t.Down(now) && t.recentlyFast(now) && t.load() < t.LastLoad.Slots
}

// Nearly reports whether one more request makes the target nearly full.
func (t *Target) NearlyFull() bool {
	n, slots := t.load()+1, t.LastLoad.Slots
	return float64(n) > saturationThreshold*float64(slots) && n <= slots
}

// Waiter is one request that waits for room.
type Waiter struct {
	Priority int       // 0 is the most urgent
	StartBy  time.Time // start by which it can still be answered in time
	GiveUpAt time.Time // when it is given up
	Assign   func(*Target)
	seq      uint64
}

// Line is the requests of one service that wait for room on this host. Those
// that can be answered in time go first, the most urgent of them before; those
// that are late anyway get what room is left.
type Queue struct {
	waiters      []*Waiter
	seq          uint64
	recentStarts float64 // smoothed starts a second
	decayedAt    time.Time
}

// Len returns how many wait.
func (l *Queue) Len() int { return len(l.waiters) }

// Started notes a start, waited for or not.
func (l *Queue) RecordStart(now time.Time) {
	l.decay(now)
	l.recentStarts++
}

// fade forgets starts with time; given counts those of about rateLife.
func (l *Queue) decay(now time.Time) {
	if l.decayedAt.IsZero() {
		l.decayedAt = now
	}
	l.recentStarts *= max(0, 1-float64(now.Sub(l.decayedAt))/float64(startDecay))
	l.decayedAt = now
}

// Wait returns how long a request that joins now is expected to wait.
func (l *Queue) ExpectedWait(now time.Time) time.Duration {
	l.decay(now)
	// A few starts in rateLife are assumed: a host with few requests has seen none
	// lately, and a line that has stood still is joined again.
	return time.Duration(float64(len(l.waiters)) * float64(startDecay) / max(l.recentStarts, minRecentStarts))
}

// Join adds the request; false says that it would wait for longer than helps.
func (l *Queue) Enqueue(w *Waiter, now time.Time) bool {
	if len(l.waiters) >= maxQueueLength || now.Add(l.ExpectedWait(now)).After(w.GiveUpAt) {
		return false
	}
	l.seq++
	w.seq = l.seq
	l.waiters = append(l.waiters, w)
	return true
}

// Leave removes the request; false says that it was given a target before.
func (l *Queue) Remove(w *Waiter) bool {
	i := slices.Index(l.waiters, w)
	if i < 0 {
		return false
	}
	l.waiters = slices.Delete(l.waiters, i, i+1)
	return true
}

// Next removes and returns the request that starts next, nil if none waits.
func (l *Queue) Dequeue(now time.Time) *Waiter {
	if len(l.waiters) == 0 {
		return nil
	}
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
	w := slices.MinFunc(l.waiters, order)
	l.Remove(w)
	return w
}

// Unit is what is usual for the requests of one route: their time on an idle
// target.
type ServiceTime struct {
	mean time.Duration
}

// Took notes how long a request took that was expected to take so many units.
func (u *ServiceTime) Record(d time.Duration, expected float64) {
	if expected <= 0 {
		return
	}
	one := time.Duration(float64(d) / expected)
	if u.mean == 0 {
		u.mean = one
		return
	}
	u.mean += time.Duration(serviceTimeWeight * float64(one-u.mean))
}

// Or returns what is usual, or other before anything is known.
func (u *ServiceTime) OrDefault(other time.Duration) time.Duration {
	if u.mean == 0 {
		return other
	}
	return u.mean
}
