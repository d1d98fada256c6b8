package kqselection

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	failureDecay           = 3 * time.Second        // in which the failure rate falls by a factor of e
	failureWeight          = 0.35                   // weight of the newest outcome
	failurePenalty         = 6                      // the score grows by this much times the failure rate
	negligibleFailureRate  = 0.05                   // rate below which the score ignores failures: the target must not lose every tie
	avoidedFailureRate     = 0.5                    // rate above which a target is a candidate only if there are no others
	minDownTime            = 300 * time.Millisecond // first time for which an unreachable target gets no requests
	maxDownTime            = 3 * time.Second        // upper bound of that time, which doubles
	remoteDomainPenalty    = 1.03                   // factor on the score of a target in another failure domain
	coldPenalty            = 2.0                    // factor on the score of a cold target
	unansweredProbePenalty = 20.0                   // factor on the score of a target that did not answer its probe
	slowReprobeDelay       = 60 * time.Millisecond  // before a slow target is probed again: the slowdown changes every 150 ms
	fullReprobeDelay       = 20 * time.Millisecond  // before a full target is probed again: about the service time over the slots
	mismatchDownTime       = 5 * time.Second        // without requests after another target answered at the address
)

// Target is what this host knows of one target.
type Target struct {
	ID         string
	Boot       int64 // changes when the target restarts
	Addr       string
	Domain     string
	Slots      int
	ColdUntil  time.Time   // end of the warm-up
	InFlight   int         // requests in flight from this host
	Saturation *Saturation // shared by the targets of a service; nil if not known
	Hangs      *Hangs      // shared by the targets of a service; nil if not known
	LastLoad   Sample

	Rank      uint64 // by which Prefer orders the targets of a failure domain on this host
	Preferred bool   // this host keeps connections to it, as Prefer decides
	Connected bool   // this host has an idle connection to it; kept up only for services with an active Admission

	// DrainingSince is when this host learnt that the target drains or is gone, zero
	// while the target accepts requests.
	DrainingSince time.Time

	// LeavingSince is when the target first said that it shuts down, zero if it never did.
	// It holds until the next start, whatever is announced.
	LeavingSince time.Time

	// Evacuated says that an operator has evacuated the target's failure domain.
	Evacuated bool

	// EvacuationEnd is when this host learnt that the last evacuation of the target's
	// failure domain had ended, zero if it knows of none.
	EvacuationEnd time.Time
	sends         []*Send   // without an answer
	fewerOf       *Send     // the oldest of them, if the last report named fewer requests than this host has there
	fewerAt       time.Time // when that report was asked for

	quietUntil    time.Time // the target asked for no requests before this time
	failureRate   float64
	failureRateAt time.Time
	downUntil     time.Time // no requests are sent before this time
	downTime      time.Duration
	reprobeAt     time.Time // no probes are sent before this time

	cold coldState
}

// FailureRate returns the smoothed share of failed requests, 0 to 1, which decays with
// time.
func (t *Target) FailureRate(now time.Time) float64 {
	return t.failureRate * math.Exp(-float64(now.Sub(t.failureRateAt))/float64(failureDecay))
}

// RecordSuccess lowers the failure rate and makes the target available again.
func (t *Target) RecordSuccess(now time.Time) {
	t.failureRate, t.failureRateAt = t.FailureRate(now)*(1-failureWeight), now
	t.downUntil, t.downTime = time.Time{}, 0
}

// RecordFailure raises the failure rate after a failure caused by the target.
func (t *Target) RecordFailure(now time.Time) {
	t.failureRate, t.failureRateAt = t.FailureRate(now)*(1-failureWeight)+failureWeight, now
}

// RecordUnreachable records a failed connection attempt: the target gets no requests
// for a time that doubles with each further attempt.
func (t *Target) RecordUnreachable(now time.Time) {
	t.RecordFailure(now)
	t.downTime = min(max(2*t.downTime, minDownTime), maxDownTime)
	t.downUntil = now.Add(t.downTime)
}

// RecordMismatch records that another target answered at the address.
func (t *Target) RecordMismatch(now time.Time) {
	t.downUntil = now.Add(mismatchDownTime)
}

// Barred is why a target must get nothing from this host, not even what was already
// queued for it or assigned to it.
type Barred string

// Reasons for which a target is barred.
const (
	NotBarred Barred = ""
	Draining  Barred = "target drains"
	Leaving   Barred = "target is shutting down"
	Quiet     Barred = "target asked for quiet"
	Evacuated Barred = "failure domain is evacuated"
	Cold      Barred = "target is cold"
)

// Barred returns why the target must get nothing now, NotBarred if it may get requests.
// All ways to a target ask it, BarredToSend or BarredToProbe last before the first byte.
func (t *Target) Barred(now time.Time) Barred {
	switch {
	case !t.DrainingSince.IsZero():
		return Draining
	case !t.LeavingSince.IsZero():
		return Leaving
	case t.Evacuated:
		return Evacuated
	case now.Before(t.quietUntil):
		return Quiet
	case t.barredAsCold(now): // the last one, see BarredToProbe
		return Cold
	}
	return NotBarred
}

// RecordLeaving records that the target says that it is shutting down; it returns false
// if that was known.
func (t *Target) RecordLeaving(now time.Time) bool {
	if !t.LeavingSince.IsZero() {
		return false
	}
	t.LeavingSince = now
	return true
}

// maxQuiet is the longest time for which a target can ask for quiet. A target that needs
// longer is better announced as draining.
const maxQuiet = time.Hour

// RecordQuiet records that the target asked for no requests for a time. It never shortens
// what was asked before.
func (t *Target) RecordQuiet(now time.Time, d time.Duration) {
	if until := now.Add(min(d, maxQuiet)); until.After(t.quietUntil) {
		t.quietUntil = until
	}
}

// Succeed takes over what an earlier record of the same start of the target said that
// binds until its next start.
func (t *Target) Succeed(old *Target) {
	t.LeavingSince, t.quietUntil = old.LeavingSince, old.quietUntil
	if old.cold.list != nil {
		t.ColdUntil = old.ColdUntil
	}
	t.cold.succeed(&old.cold, true)
}

// SucceedRestarted takes over from the record of an earlier start how often this host may
// send to the target while it is cold.
func (t *Target) SucceedRestarted(old *Target) { t.cold.succeed(&old.cold, false) }

// QuietEnd returns when the first of the targets may get requests again, if all of them
// are barred and at least one of them only for a time.
func QuietEnd(list []*Target, now time.Time) (end time.Time, ok bool) {
	for _, t := range list {
		switch t.Barred(now) {
		case NotBarred, Cold: // a cold target may have a token soon
			return time.Time{}, false
		case Quiet:
			if !ok || t.quietUntil.Before(end) {
				end, ok = t.quietUntil, true
			}
		}
	}
	return end, ok
}

// AllEvacuated reports whether all of the targets are barred, at least one of them because
// its failure domain is evacuated and none only for a time.
func AllEvacuated(list []*Target, now time.Time) bool {
	evacuated := false
	for _, t := range list {
		switch t.Barred(now) {
		case NotBarred, Quiet:
			return false
		case Evacuated:
			evacuated = true
		}
	}
	return evacuated
}

// Available reports whether the target may get requests now: it is not barred, and is
// not avoided after a failed connection attempt or a mismatch.
func (t *Target) Available(now time.Time) bool {
	return t.Barred(now) == NotBarred && !now.Before(t.downUntil)
}

// RecordLoad stores the load that the target reported, unless a younger report is known.
// A slow or full target is not probed again before its load can have changed.
func (t *Target) RecordLoad(s Sample) {
	if s.At.Before(t.LastLoad.At) {
		return
	}
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

// Informed reports whether a load report is young enough to choose by.
func (t *Target) Informed(now time.Time) bool {
	return !t.LastLoad.At.IsZero() && now.Sub(t.LastLoad.At) <= maxLoadAge
}

// ProbeDeferred reports whether the target reported a moment ago that it is slow or
// full, so that it is not probed yet.
func (t *Target) ProbeDeferred(now time.Time) bool {
	return now.Before(t.reprobeAt)
}

// Score returns the expected time of a request on the target, in units of the service
// time on an idle target, with penalties for a cold target, another failure domain and
// failures. Lower is better.
func (t *Target) Score(now time.Time, domain string) float64 {
	expected := t.LastLoad.ExpectedTime(now, t.Slots, t.InFlight, t.Saturation.Slowdown())
	if now.Before(t.ColdUntil) || t.IsCold(now) {
		expected *= coldPenalty
	}
	if t.Domain != domain {
		expected *= remoteDomainPenalty
	}
	if rate := t.FailureRate(now); rate >= negligibleFailureRate {
		expected *= 1 + failurePenalty*rate
	}
	return expected
}

// Candidates returns at most n targets to probe, in random order: free targets with a
// low failure rate first, then full ones, and failing ones only if there are no others.
// Within each group, preferred targets come first, and then targets of this host's
// failure domain: traffic between domains costs, and the fewer hosts share a target, the
// better each knows its load.
func Candidates(list []*Target, n int, domain string, now time.Time, rng *rand.Rand) []*Target {
	var good, full, bad []*Target // full: all slots busy with requests from this host, or probe deferred
	for tier := range tiers {
		group := inTier(list, tier, domain, now)
		rng.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
		slices.SortStableFunc(group, compareConnected)
		for _, t := range group {
			switch {
			case !t.Available(now):
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
	}
	out := append(good, full...)
	if len(out) == 0 {
		out = bad
	}
	return out[:min(n, len(out))]
}

// compareConnected orders targets with an idle connection first: a new one costs the host
// and the target more than a probe.
func compareConnected(a, b *Target) int {
	switch {
	case a.Connected == b.Connected:
		return 0
	case a.Connected:
		return -1
	}
	return 1
}

// inTier returns the targets of the list in the tier.
func inTier(list []*Target, tier int, domain string, now time.Time) []*Target {
	var group []*Target
	for _, t := range list {
		if t.tier(domain, now) == tier {
			group = append(group, t)
		}
	}
	return group
}

// tiers is the number of results of tier.
const tiers = 3

// tier returns the rank of the group of targets in which this one is a candidate. Only a few
// hosts may send to a cold target, so one with a token is in the first group.
func (t *Target) tier(domain string, now time.Time) int {
	switch {
	case t.Preferred, t.IsCold(now) && !t.barredAsCold(now):
		return 0
	case t.Domain == domain:
		return 1
	}
	return 2
}

// LowestScore returns the target with the lowest score, nil for an empty list; probed
// reports whether a target has just answered a probe.
func LowestScore(list []*Target, probed func(*Target) bool, now time.Time, domain string) *Target {
	var best *Target
	least := math.Inf(1)
	for _, t := range list {
		score := t.Score(now, domain)
		if !probed(t) {
			score *= unansweredProbePenalty
		}
		if score < least {
			best, least = t, score
		}
	}
	return best
}
