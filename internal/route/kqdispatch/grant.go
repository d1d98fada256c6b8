package kqdispatch

import (
	"time"

	"kumquatglade/internal/route/kqlimit"
	"kumquatglade/internal/state/kqcontract"
)

const savedSends = 10 // extra sends that a budget saves up

type grantKey struct{ owner, service string }

// grant is what one owner may do on one service from this host.
type grant struct {
	owner   string
	terms   kqcontract.Service
	share   Share
	bucket  *kqlimit.Bucket
	retries *kqlimit.Budget
	hedges  *kqlimit.Budget
	active  int     // calls in progress
	waiting []*call // oldest first
	tag     float64 // virtual finish time of the owner's newest call
}

func newGrant(owner string, now time.Time) *grant {
	return &grant{
		owner: owner, bucket: kqlimit.NewBucket(now),
		retries: kqlimit.NewBudget(savedSends), hedges: kqlimit.NewBudget(savedSends),
	}
}

func (g *grant) set(ev Granted, now time.Time) {
	g.terms, g.share = ev.Service, ev.Share
	g.bucket.Set(now, ev.Share.Rate, ev.Share.Burst)
}

// usage is what one grant uses now, for the owner's account and for lending.
type usage struct {
	Active  int
	Waiting int
}
