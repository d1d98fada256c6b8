package kqdispatch

import (
	"math"
	"slices"
	"time"

	"kumquatglade/internal/route/kqlimit"
	"kumquatglade/internal/state/kqcontract"
)

const maxSavedRetries = 10 // capacity of a retry or hedge budget

type grantKey struct{ owner, service string }

// grant holds the limits of one owner on one service on this host, and their use.
type grant struct {
	owner      string
	limits     kqcontract.Service
	share      Share
	bucket     *kqlimit.Bucket
	retries    *kqlimit.RetryBudget
	hedges     *kqlimit.RetryBudget
	active     int     // calls in flight
	waiting    []*call // oldest first
	arrived    int     // since the last measurement
	arrivals   float64 // calls a second, smoothed
	measuredAt time.Time
	nestedAt   time.Time // when a nested call last arrived
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
	nestedReserveTime  = 10 * time.Second // how long calls are reserved after the last nested call
	nestedReserveShare = 0.5              // share of the calls in flight reserved at depth 0 for deeper calls
)

// activeLimit returns the number of calls in flight below which a call at the depth may
// start. While there are nested calls, each depth leaves a reserve to the next one:
// otherwise callers could use up the limit for which their own nested calls wait.
func (g *grant) activeLimit(depth int, now time.Time) int {
	if now.Sub(g.nestedAt) > nestedReserveTime {
		return g.share.Active
	}
	reserved := nestedReserveShare * float64(maxDepth-min(depth, maxDepth)) / maxDepth
	return int(math.Ceil(float64(g.share.Active) * (1 - reserved)))
}

// insert queues a call behind the calls of the same or a greater depth.
func (g *grant) insert(c *call) {
	at := len(g.waiting)
	for at > 0 && g.waiting[at-1].Depth < c.Depth {
		at--
	}
	g.waiting = slices.Insert(g.waiting, at, c)
}

// mustWait reports whether a queued call goes before a new one of the depth.
func (g *grant) mustWait(depth int) bool {
	return len(g.waiting) > 0 && g.waiting[0].Depth >= depth
}

func (g *grant) set(ev LimitsGranted, now time.Time) {
	g.limits, g.share = ev.Service, ev.Share
	g.bucket.Set(now, ev.Share.Rate, ev.Share.Burst)
}

// Usage is the part of an owner's limits on one service that is used on this host.
type Usage struct {
	Owner   string
	Service string
	Rate    float64 // calls that arrive here, as a share of the contract's rate
	Active  float64 // calls in flight here, as a share of the contract's limit
	Need    float64 // the same including the queued calls
}

// usageWeight is the weight of the newest interval in the smoothed arrivals.
const usageWeight = 0.8

// usage returns the current usage and starts a new interval for the arrivals.
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

// Usages returns the usage of all owners; rates cover the time since the last call.
func (d *Dispatch) Usages(now time.Time) []Usage {
	list := make([]Usage, 0, len(d.grants))
	for _, g := range d.grants {
		list = append(list, g.usage(now))
	}
	return list
}
