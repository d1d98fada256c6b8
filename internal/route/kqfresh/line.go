package kqfresh

import (
	"cmp"
	"slices"
	"time"
)

const (
	// slowMost is the slowness up to which a target is worth a start while
	// another one may soon be free: what starts on a slow machine stays slow.
	slowMost = 2.5

	// roomLife is the age up to which what a target said of its room counts.
	roomLife = 25 * time.Millisecond

	unitWeight = 0.05 // of the newest request in what is usual
	lineMost   = 512  // requests that wait for one service on one host
	rateLife   = 500 * time.Millisecond
	leastGiven = 20 // starts in rateLife that are assumed at the least: few starts of late mean few requests, not little room
)

// Room returns how many requests may be started on the target now without
// slowing it or waiting there; told says that it answered just now.
func (t *Target) Room(now time.Time, tells bool) int {
	if t.Down(now) {
		return 0
	}
	slots := t.Slots
	if tells && t.Last.Slots > 0 {
		slots = t.Last.Slots
	}
	limit := max(1, int(t.Knee.Share()*float64(slots)))
	if !tells {
		return limit - t.Own
	}
	if !t.quick(now) {
		return 0
	}
	return limit - t.load()
}

// quick reports whether the target said just now that it is not slow.
func (t *Target) quick(now time.Time) bool {
	return !t.Last.At.IsZero() && now.Sub(t.Last.At) <= roomLife && t.Last.Slow <= slowMost
}

// load is how many requests the target has, as far as is known here.
func (t *Target) load() int {
	return max(t.Own, t.Last.Running+t.Last.Waiting+t.Last.Sent)
}

// Spare reports whether the target has a free slot, though it may get slower by
// one more request.
func (t *Target) Spare(now time.Time) bool {
	return !t.Down(now) && t.quick(now) && t.load() < t.Last.Slots
}

// Nearly reports whether one more request makes the target nearly full.
func (t *Target) Nearly() bool {
	n, slots := t.load()+1, t.Last.Slots
	return float64(n) > fullShare*float64(slots) && n <= slots
}

// Waiter is one request that waits for room.
type Waiter struct {
	Priority int       // 0 is the most urgent
	Latest   time.Time // start by which it can still be answered in time
	Until    time.Time // when it is given up
	Give     func(*Target)
	seq      uint64
}

// Line is the requests of one service that wait for room on this host. Those
// that can be answered in time go first, the most urgent of them before; those
// that are late anyway get what room is left.
type Line struct {
	list  []*Waiter
	seq   uint64
	given float64 // smoothed starts a second
	at    time.Time
}

// Len returns how many wait.
func (l *Line) Len() int { return len(l.list) }

// Started notes a start, waited for or not.
func (l *Line) Started(now time.Time) {
	l.fade(now)
	l.given++
}

// fade forgets starts with time; given counts those of about rateLife.
func (l *Line) fade(now time.Time) {
	if l.at.IsZero() {
		l.at = now
	}
	l.given *= max(0, 1-float64(now.Sub(l.at))/float64(rateLife))
	l.at = now
}

// Wait returns how long a request that joins now is expected to wait.
func (l *Line) Wait(now time.Time) time.Duration {
	l.fade(now)
	// A few starts in rateLife are assumed: a host with few requests has seen none
	// lately, and a line that has stood still is joined again.
	return time.Duration(float64(len(l.list)) * float64(rateLife) / max(l.given, leastGiven))
}

// Join adds the request; false says that it would wait for longer than helps.
func (l *Line) Join(w *Waiter, now time.Time) bool {
	if len(l.list) >= lineMost || now.Add(l.Wait(now)).After(w.Until) {
		return false
	}
	l.seq++
	w.seq = l.seq
	l.list = append(l.list, w)
	return true
}

// Leave removes the request; false says that it was given a target before.
func (l *Line) Leave(w *Waiter) bool {
	i := slices.Index(l.list, w)
	if i < 0 {
		return false
	}
	l.list = slices.Delete(l.list, i, i+1)
	return true
}

// Next removes and returns the request that starts next, nil if none waits.
func (l *Line) Next(now time.Time) *Waiter {
	if len(l.list) == 0 {
		return nil
	}
	order := func(a, b *Waiter) int {
		lateA, lateB := now.After(a.Latest), now.After(b.Latest)
		if lateA != lateB {
			if lateB {
				return -1
			}
			return 1
		}
		if lateA {
			return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(b.seq, a.seq)) // the newest has the most time left
		}
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.Latest.Compare(b.Latest), cmp.Compare(a.seq, b.seq))
	}
	w := slices.MinFunc(l.list, order)
	l.Leave(w)
	return w
}

// Unit is what is usual for the requests of one route: their time on an idle
// target.
type Unit struct {
	mean time.Duration
}

// Took notes how long a request took that was expected to take so many units.
func (u *Unit) Took(d time.Duration, expected float64) {
	if expected <= 0 {
		return
	}
	one := time.Duration(float64(d) / expected)
	if u.mean == 0 {
		u.mean = one
		return
	}
	u.mean += time.Duration(unitWeight * float64(one-u.mean))
}

// Or returns what is usual, or other before anything is known.
func (u *Unit) Or(other time.Duration) time.Duration {
	if u.mean == 0 {
		return other
	}
	return u.mean
}
