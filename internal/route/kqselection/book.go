package kqselection

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	failureDecay           = 3 * time.Second        // in which a target's failures count for e times less
	failureWeight          = 0.35                   // weight of the newest outcome
	failurePenalty         = 6                      // times longer that a sure failure counts
	negligibleFailureRate  = 0.05                   // risk below which a target counts as sound: it must not lose every tie
	avoidedFailureRate     = 0.5                    // risk above which a target is asked only if others lack
	minDownTime            = 300 * time.Millisecond // for which an unreachable target is left alone at first
	maxDownTime            = 3 * time.Second        // and at most
	remoteDomainPenalty    = 1.03                   // times longer that a target of another failure domain counts
	coldPenalty            = 2.0                    // times slower while a target is cold
	unansweredProbePenalty = 20.0                   // times longer that a target counts that did not answer the question
	slowReprobeDelay       = 60 * time.Millisecond  // before a slow target is asked again: slowness changes each 150 ms
	fullReprobeDelay       = 20 * time.Millisecond  // before a full one is: about a slot's share of a request's time
	mismatchDownTime       = 5 * time.Second        // for which a target that is another one is left alone
)

// Target is one target as this host sees it.
type Target struct {
	ID         string
	Boot       int64
	Addr       string
	Domain     string
	Slots      int
	ColdUntil  time.Time   // until when it is cold
	InFlight   int         // requests in progress from this host
	Saturation *Saturation // of its service, nil: not known
	LastLoad   Sample

	failureRate   float64
	failureRateAt time.Time
	downUntil     time.Time // until when it is left alone
	downTime      time.Duration
	reprobeAt     time.Time // before which there is no use in asking it
}

// Risk returns the smoothed share of failures, fading with time.
func (t *Target) FailureRate(now time.Time) float64 {
	return t.failureRate * math.Exp(-float64(now.Sub(t.failureRateAt))/float64(failureDecay))
}

// Succeeded notes a good outcome.
func (t *Target) RecordSuccess(now time.Time) {
	t.failureRate, t.failureRateAt = t.FailureRate(now)*(1-failureWeight), now
	t.downUntil, t.downTime = time.Time{}, 0
}

// Failed notes a failure that is the target's.
func (t *Target) RecordFailure(now time.Time) {
	t.failureRate, t.failureRateAt = t.FailureRate(now)*(1-failureWeight)+failureWeight, now
}

// Unreachable notes that no connection came about: it is left alone for a
// while that doubles.
func (t *Target) RecordUnreachable(now time.Time) {
	t.RecordFailure(now)
	t.downTime = min(max(2*t.downTime, minDownTime), maxDownTime)
	t.downUntil = now.Add(t.downTime)
}

// Wrong notes that another target answers at the address.
func (t *Target) RecordMismatch(now time.Time) {
	t.downUntil = now.Add(mismatchDownTime)
}

// Down reports whether the target is left alone now.
func (t *Target) Down(now time.Time) bool {
	return now.Before(t.downUntil)
}

// Told takes what the target said of its load. One without room is not asked
// again before that can have changed.
func (t *Target) RecordLoad(s Sample) {
	t.LastLoad = s
	switch {
	case s.Slowdown > maxSlowdown:
		t.reprobeAt = s.At.Add(slowReprobeDelay)
	case t.Headroom(s.At, true) <= 0:
		t.reprobeAt = s.At.Add(fullReprobeDelay)
	default:
		t.reprobeAt = time.Time{}
	}
}

// Rests reports whether the target said a moment ago that it has no room.
func (t *Target) ProbeDeferred(now time.Time) bool {
	return now.Before(t.reprobeAt)
}

// Score is how long a request is expected to take on the target, failures and
// distance counted; lower is better.
func (t *Target) Score(now time.Time, domain string) float64 {
	e := t.LastLoad.ExpectedTime(now, t.Slots, t.InFlight, t.Saturation.Slowdown())
	if now.Before(t.ColdUntil) {
		e *= coldPenalty
	}
	if t.Domain != domain {
		e *= remoteDomainPenalty
	}
	if risk := t.FailureRate(now); risk >= negligibleFailureRate {
		e *= 1 + failurePenalty*risk
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
		case t.FailureRate(now) > avoidedFailureRate:
			bad = append(bad, t)
		case t.InFlight >= t.Slots || now.Before(t.reprobeAt):
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
func LowestScore(list []*Target, asked func(*Target) bool, now time.Time, domain string) *Target {
	var best *Target
	least := math.Inf(1)
	for _, t := range list {
		score := t.Score(now, domain)
		if !asked(t) {
			score *= unansweredProbePenalty
		}
		if score < least {
			best, least = t, score
		}
	}
	return best
}
