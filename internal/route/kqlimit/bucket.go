package kqlimit

import (
	"time"

	"golang.org/x/time/rate"
)

// noShare is when a host that may admit nothing now may have been lent a share.
const noRateWait = time.Second

// Bucket limits a rate with a burst and implements kq.Limiter. It starts
// empty: a host that restarts must not spend a burst again.
type Bucket struct {
	limiter *rate.Limiter
}

// NewBucket returns an empty bucket that fills from now on.
func NewBucket(now time.Time) *Bucket {
	lim := rate.NewLimiter(0, 0)
	lim.SetLimitAt(now, 0)
	return &Bucket{limiter: lim}
}

// Set changes the rate in calls a second and the burst in calls; tokens
// already there stay up to the new burst.
func (b *Bucket) Set(now time.Time, perSecond float64, burst int) {
	if float64(b.limiter.Limit()) != perSecond {
		b.limiter.SetLimitAt(now, rate.Limit(perSecond))
	}
	if b.limiter.Burst() != burst {
		b.limiter.SetBurstAt(now, burst)
	}
}

// Take admits one call, or returns how long until one may be admitted.
func (b *Bucket) Take(now time.Time) (wait time.Duration, ok bool) {
	if b.limiter.AllowN(now, 1) {
		return 0, true
	}
	if b.limiter.Limit() <= 0 || b.limiter.Burst() < 1 {
		return noRateWait, false
	}
	missing := 1 - b.limiter.TokensAt(now)
	return time.Duration(missing / float64(b.limiter.Limit()) * float64(time.Second)), false
}
