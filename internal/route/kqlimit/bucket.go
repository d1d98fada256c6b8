package kqlimit

import (
	"time"

	"golang.org/x/time/rate"
)

// noShare is when a host that may admit nothing now may have been lent a share.
const noShare = time.Second

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
	if b.lim.AllowN(now, 1) {
		return 0, true
	}
	if b.lim.Limit() <= 0 || b.lim.Burst() < 1 {
		return noShare, false
	}
	missing := 1 - b.lim.TokensAt(now)
	return time.Duration(missing / float64(b.lim.Limit()) * float64(time.Second)), false
}
