package kqtargets

import "time"

const (
	// coldAtTolerance is how far the first announcement may be from the start of the target
	// for the start to stand for its time, so that ColdAt need not be stored.
	coldAtTolerance = 250 * time.Millisecond

	// coldMargin is how much later than known the warm-up must end for a renewal to be a
	// change. It covers late renewals and the difference between the clocks of the target
	// and the control hosts.
	coldMargin = 500 * time.Millisecond

	// coldRenewLead is how long before the known end of the warm-up a renewal may extend it:
	// hosts know until then that the target is cold. It is a few intervals of renewals, of a
	// second each.
	coldRenewLead = 3 * time.Second

	// minColdInterval is the least time between two such changes. Without it a target that
	// always names a short time would add an entry to the log with each renewal.
	minColdInterval = 5 * time.Second
)

// ColdFrom returns when the remaining warm-up time was announced, by the clocks of the
// control hosts.
func (t *Target) ColdFrom() time.Time {
	if t.ColdAt != 0 {
		return time.UnixMilli(t.ColdAt)
	}
	return time.UnixMilli(t.Boot)
}

// ColdEnd returns when the warm-up ends, by the clocks of the control hosts, the zero time
// if none was announced.
func (t *Target) ColdEnd() time.Time {
	if t.ColdRemaining <= 0 {
		return time.Time{}
	}
	return t.ColdFrom().Add(t.ColdRemaining)
}

// isColder reports whether the renewal a, made at the given time, says that the target
// stays cold for longer than t says, by enough to tell all hosts.
func (t *Target) isColder(a Target, at time.Time) bool {
	if a.ColdRemaining <= 0 || t.State != Ready {
		return false
	}
	end := t.ColdEnd()
	if end.IsZero() {
		return a.ColdRemaining > coldMargin
	}
	return at.Add(a.ColdRemaining).Sub(end) > coldMargin && end.Sub(at) < coldRenewLead && at.Sub(t.ColdFrom()) >= minColdInterval
}

// setColdAt records when the announcement was made if it names a warm-up time that limits
// what the target gets, and the start of the target does not tell.
func (t *Target) setColdAt(at time.Time) {
	fromStart := t.Boot != 0 && at.Sub(time.UnixMilli(t.Boot)).Abs() <= coldAtTolerance
	t.ColdAt = 0
	if t.ColdLimited && t.ColdRemaining > 0 && t.State == Ready && !fromStart {
		t.ColdAt = at.UnixMilli()
	}
	t.ColdLimited = false
}
