package kqfresh

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	riskLife  = 3 * time.Second        // in which a target's failures count for e times less
	riskStep  = 0.35                   // weight of the newest outcome
	riskCost  = 6                      // times longer that a sure failure counts
	riskNone  = 0.05                   // risk below which a target counts as sound: it must not lose every tie
	riskAvoid = 0.5                    // risk above which a target is asked only if others lack
	downLeast = 300 * time.Millisecond // for which an unreachable target is left alone at first
	downMost  = 3 * time.Second        // and at most
	farCost   = 1.03                   // times longer that a target of another failure domain counts
	coldSlow  = 2.0                    // times slower while a target is cold
	errorSlow = 20.0                   // times longer that a target counts that did not answer the question
	slowPause = 60 * time.Millisecond  // before a slow target is asked again: slowness changes each 150 ms
	fullPause = 20 * time.Millisecond  // before a full one is: about a slot's share of a request's time
	wrongTime = 5 * time.Second        // for which a target that is another one is left alone
)

// Target is one target as this host sees it.
type Target struct {
	ID     string
	Boot   int64
	Addr   string
	Domain string
	Slots  int
	Warm   time.Time // until when it is cold
	Own    int       // requests in progress from this host
	Knee   *Knee     // of its service, nil: not known
	Last   Sample

	risk    float64
	riskAt  time.Time
	down    time.Time // until when it is left alone
	downFor time.Duration
	later   time.Time // before which there is no use in asking it
}

// Risk returns the smoothed share of failures, fading with time.
func (t *Target) Risk(now time.Time) float64 {
	return t.risk * math.Exp(-float64(now.Sub(t.riskAt))/float64(riskLife))
}

// Succeeded notes a good outcome.
func (t *Target) Succeeded(now time.Time) {
	t.risk, t.riskAt = t.Risk(now)*(1-riskStep), now
	t.down, t.downFor = time.Time{}, 0
}

// Failed notes a failure that is the target's.
func (t *Target) Failed(now time.Time) {
	t.risk, t.riskAt = t.Risk(now)*(1-riskStep)+riskStep, now
}

// Unreachable notes that no connection came about: it is left alone for a
// while that doubles.
func (t *Target) Unreachable(now time.Time) {
	t.Failed(now)
	t.downFor = min(max(2*t.downFor, downLeast), downMost)
	t.down = now.Add(t.downFor)
}

// Wrong notes that another target answers at the address.
func (t *Target) Wrong(now time.Time) {
	t.down = now.Add(wrongTime)
}

// Down reports whether the target is left alone now.
func (t *Target) Down(now time.Time) bool {
	return now.Before(t.down)
}

// Told takes what the target said of its load. One without room is not asked
// again before that can have changed.
func (t *Target) Told(s Sample) {
	t.Last = s
	switch {
	case s.Slow > slowMost:
		t.later = s.At.Add(slowPause)
	case t.Room(s.At, true) <= 0:
		t.later = s.At.Add(fullPause)
	default:
		t.later = time.Time{}
	}
}

// Rests reports whether the target said a moment ago that it has no room.
func (t *Target) Rests(now time.Time) bool {
	return now.Before(t.later)
}

// Score is how long a request is expected to take on the target, failures and
// distance counted; lower is better.
func (t *Target) Score(now time.Time, domain string) float64 {
	e := t.Last.Expected(now, t.Slots, t.Own, t.Knee.Slow())
	if now.Before(t.Warm) {
		e *= coldSlow
	}
	if t.Domain != domain {
		e *= farCost
	}
	if risk := t.Risk(now); risk >= riskNone {
		e *= 1 + riskCost*risk
	}
	return e
}

// Candidates returns at most n targets worth asking, in random order: those
// that seem free and sound first, others only if these lack. Among them those of
// the own failure domain come first: bytes between domains cost, and the fewer
// hosts choose among the same targets, the better each knows them.
func Candidates(list []*Target, n int, domain string, now time.Time, rng *rand.Rand) []*Target {
	order := rng.Perm(len(list))
	near := 0
	for i, k := range order {
		if list[k].Domain == domain {
			order[near], order[i] = order[i], order[near]
			near++
		}
	}
	var good, full, bad []*Target // full: busy with own requests, or said to be without room
	for _, i := range order {
		t := list[i]
		switch {
		case t.Down(now):
		case t.Risk(now) > riskAvoid:
			bad = append(bad, t)
		case t.Own >= t.Slots || now.Before(t.later):
			full = append(full, t)
		default:
			good = append(good, t)
		}
		if len(good) == n {
			return good
		}
	}
	out := append(good, full...)
	if len(out) == 0 {
		out = bad
	}
	return out[:min(n, len(out))]
}

// Best returns the target with the least score; asked says which answered the
// question just now. It returns nil for an empty list.
func Best(list []*Target, asked func(*Target) bool, now time.Time, domain string) *Target {
	var best *Target
	least := math.Inf(1)
	for _, t := range list {
		score := t.Score(now, domain)
		if !asked(t) {
			score *= errorSlow
		}
		if score < least {
			best, least = t, score
		}
	}
	return best
}
