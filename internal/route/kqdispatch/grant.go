package kqdispatch

import (
	"math"
	"slices"
	"time"

	"kumquatglade/internal/route/kqlimit"
	"kumquatglade/internal/state/kqcontract"
)

const maxSavedRetries = 10 // extra sends that a budget saves up

type grantKey struct{ owner, service string }

// grant is what one owner may do on one service from this host.
type grant struct {
	owner      string
	limits     kqcontract.Service
	share      Share
	bucket     *kqlimit.Bucket
	retries    *kqlimit.RetryBudget
	hedges     *kqlimit.RetryBudget
	active     int     // calls in progress
	waiting    []*call // oldest first
	arrived    int     // calls since the last measurement
	arrivals   float64 // calls a second, smoothed
	measuredAt time.Time
	nestedAt   time.Time // when a call below another one was last seen
	finishTag  float64   // virtual finish time of the owner's newest call
}

func newGrant(owner string, now time.Time) *grant {
	return &grant{
		owner: owner, measuredAt: now, bucket: kqlimit.NewBucket(now),
		retries: kqlimit.NewRetryBudget(maxSavedRetries), hedges: kqlimit.NewRetryBudget(maxSavedRetries),
	}
}

const (
	maxDepth           = 9                // calls above a call
	nestedReserveTime  = 10 * time.Second // how long room is kept for nested calls
	nestedReserveShare = 0.5              // of the calls in progress, kept for the deepest level
)

// room returns how many calls may be in progress for one more at the depth to
// start. While calls are nested, each level leaves room for the one below it:
// parents could otherwise use up the limit that their children wait for.
func (g *grant) activeLimit(depth int, now time.Time) int {
	if now.Sub(g.nestedAt) > nestedReserveTime {
		return g.share.Active
	}
	kept := nestedReserveShare * float64(maxDepth-min(depth, maxDepth)) / maxDepth
	return int(math.Ceil(float64(g.share.Active) * (1 - kept)))
}

// queue lets a call wait behind the ones as deep as itself or deeper.
func (g *grant) insert(c *call) {
	at := len(g.waiting)
	for at > 0 && g.waiting[at-1].Depth < c.Depth {
		at--
	}
	g.waiting = slices.Insert(g.waiting, at, c)
}

// behind reports whether some waiting call goes before one of the depth.
func (g *grant) mustWait(depth int) bool {
	return len(g.waiting) > 0 && g.waiting[0].Depth >= depth
}

func (g *grant) set(ev LimitsGranted, now time.Time) {
	g.limits, g.share = ev.Service, ev.Share
	g.bucket.Set(now, ev.Share.Rate, ev.Share.Burst)
}

// Usage is what one owner needs of its limits on one service from this host.
type Usage struct {
	Owner   string
	Service string
	Rate    float64 // part of the whole rate that arrives here
	Active  float64 // part of all calls in progress that are here
	Need    float64 // the same with the calls that wait or were refused
}

// usageGain is the weight of the newest interval in the smoothed arrivals.
const usageWeight = 0.8

// usage measures the arrivals since the last measurement.
func (g *grant) usage(now time.Time) Usage {
	if took := now.Sub(g.measuredAt).Seconds(); took > 0 {
		g.arrivals += usageWeight * (float64(g.arrived)/took - g.arrivals)
	}
	g.measuredAt, g.arrived = now, 0
	limit := float64(g.limits.Active)
	return Usage{
		Owner: g.owner, Service: g.limits.Name, Rate: g.arrivals / g.limits.Rate,
		Active: float64(g.active) / limit, Need: float64(g.active+len(g.waiting)) / limit,
	}
}

// Usages returns the usage of all owners since it was last asked.
func (d *Dispatch) Usages(now time.Time) []Usage {
	list := make([]Usage, 0, len(d.grants))
	for _, g := range d.grants {
		list = append(list, g.usage(now))
	}
	return list
}
