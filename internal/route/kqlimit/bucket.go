package kqlimit

import (
	"time"

	"golang.org/x/time/rate"
)

// Bucket limits a rate with a burst and implements kq.Limiter. It starts
// empty: a host that restarts must not spend a burst again.
type Bucket struct {
	lim *rate.Limiter
}

// NewBucket returns an empty bucket that fills from now on.
func NewBucket(now time.Time) *Bucket {
	lim := rate.NewLimiter(0, 0)
	lim.SetLimitAt(now, 0)
	return &Bucket{lim: lim}
}

// Set changes the rate in calls a second and the burst in calls; tokens
// already there stay up to the new burst.
func (b *Bucket) Set(now time.Time, perSecond float64, burst int) {
	if float64(b.lim.Limit()) != perSecond {
		b.lim.SetLimitAt(now, rate.Limit(perSecond))
	}
	if b.lim.Burst() != burst {
		b.lim.SetBurstAt(now, burst)
	}
}

// Take admits one call, or returns how long until one may be admitted.
func (b *Bucket) Take(now time.Time) (wait time.Duration, ok bool) {
	r := b.lim.ReserveN(now, 1)
	if !r.OK() {
		return time.Second, false
	}
	wait = r.DelayFrom(now)
	if wait == 0 {
		return 0, true
	}
	r.CancelAt(now)
	return wait, false
}
