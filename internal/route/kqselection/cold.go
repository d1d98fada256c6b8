package kqselection

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// coldState is what a host knows of the cold time of a target, and its own share of the
// target's cold rate.
type coldState struct {
	list *EntryList // nil: the service has no cold rate
	pace ColdPace
	hash uint64 // of the target

	newsAt       time.Time // when the last news was true
	announcedAt  time.Time // of the last announcement that was recorded, by the clock of the control hosts
	assumedSince time.Time // cold until a probe that was sent later says otherwise; zero: not assumed

	sharerSince time.Time // when this host became one of the sharers, zero: it is none
	nextAt      time.Time // when the next token is there
	reserved    bool      // the token is meant for a request that was chosen and not sent yet

	wasCold bool // what turned or HasWarmedUp last reported
}

// LimitCold makes this host send to the target, while it is cold, only at the pace and as
// one of the sharers under the list. A nil list removes the limit.
func (t *Target) LimitCold(list *EntryList, pace ColdPace, now time.Time) {
	if list == nil {
		t.cold = coldState{}
		return
	}
	if t.cold.list == list && t.cold.pace == pace {
		return
	}
	isNew := t.cold.list == nil
	t.cold.list, t.cold.pace, t.cold.hash = list, pace, xxhash.Sum64String(t.ID)
	if isNew {
		t.emptyColdBucket(now)
	}
	t.UpdateSharer()
}

// emptyColdBucket makes the next token come after a whole interval.
func (t *Target) emptyColdBucket(now time.Time) {
	if next := now.Add(t.cold.pace.Interval); next.After(t.cold.nextAt) {
		t.cold.nextAt = next
	}
}

// UpdateSharer determines, after a change of the list, whether this host is one of the
// sharers. A host that becomes one waits for coldTakeover and starts without a token.
func (t *Target) UpdateSharer() {
	c := &t.cold
	switch {
	case c.list == nil:
	case !c.list.shares(c.hash, c.pace.Sharers):
		c.sharerSince = time.Time{}
	case c.sharerSince.IsZero():
		c.sharerSince = c.list.changedAt
		t.emptyColdBucket(c.sharerSince)
	}
}

// IsCold reports whether the target of a service with a cold rate is cold, as far as this
// host knows.
func (t *Target) IsCold(now time.Time) bool {
	return t.cold.list != nil && (now.Before(t.ColdUntil) || t.AssumedCold())
}

// AssumedCold reports whether the target counts as cold until a probe says otherwise.
func (t *Target) AssumedCold() bool { return !t.cold.assumedSince.IsZero() }

// coldTokenAt returns from when on this host may send to the cold target, the zero time if
// it has no right to.
func (t *Target) coldTokenAt(now time.Time) time.Time {
	c := &t.cold
	if c.sharerSince.IsZero() || now.Sub(c.list.HeardAt) > coldListAge {
		return time.Time{}
	}
	if at := c.sharerSince.Add(coldTakeover); at.After(c.nextAt) {
		return at
	}
	return c.nextAt
}

// barredAsCold reports whether the target is cold and this host has no right or no token to
// send to it.
func (t *Target) barredAsCold(now time.Time) bool {
	if !t.IsCold(now) {
		return false
	}
	at := t.coldTokenAt(now)
	return t.cold.reserved || at.IsZero() || now.Before(at)
}

// reserveCold keeps the token of a cold target for the request that was just chosen. Each
// choice ends in BarredToSend or ReleaseCold. An older choice, from before the target was
// cold, can release the token too early: then one of two choices finds none when it takes
// the token, and is made again.
func (t *Target) reserveCold(now time.Time) {
	t.cold.reserved = t.cold.reserved || t.IsCold(now)
}

// ReleaseCold makes the reserved token available again after a choice that was not sent.
func (t *Target) ReleaseCold() { t.cold.reserved = false }

// BarredToSend is Barred for a request that was chosen, right before its first byte. It
// takes the token of a cold target.
func (t *Target) BarredToSend(now time.Time) Barred {
	t.ReleaseCold()
	reason := t.Barred(now)
	if reason == NotBarred && t.IsCold(now) {
		t.cold.nextAt = now.Add(t.cold.pace.Interval)
	}
	return reason
}

// BarredToProbe is Barred for probes and for requests of which the target has a part
// already; a cold target limits neither.
func (t *Target) BarredToProbe(now time.Time) Barred {
	if reason := t.Barred(now); reason != Cold {
		return reason
	}
	return NotBarred
}

// RecordProbedCold records that the answer to a probe sent at a time says until when the
// target is cold; the zero time means that it is not. An answer that is older than what is
// known is ignored. It reports whether the target turned cold or warm.
func (t *Target) RecordProbedCold(now, sentAt, until time.Time) (turned bool) {
	if t.cold.list == nil || !sentAt.After(t.cold.newsAt) {
		return false
	}
	return t.recordCold(now, sentAt, until)
}

// maxClockDifference is how far the clocks of control hosts and entry hosts may be apart
// without a cold target counting as warm too early.
const maxClockDifference = time.Second

// RecordAnnouncedCold records a remaining cold time that was announced at a time, by the
// clock of the control hosts. Each announcement counts once. It reports whether the target
// turned cold or warm.
func (t *Target) RecordAnnouncedCold(now, announcedAt time.Time, remaining time.Duration) (turned bool) {
	c := &t.cold
	if c.list == nil || !announcedAt.After(c.announcedAt) {
		return false
	}
	c.announcedAt = announcedAt
	saidAt := earlier(announcedAt, now)
	if saidAt.Before(c.newsAt) {
		return false
	}
	return t.recordCold(now, saidAt, earlier(now, announcedAt.Add(maxClockDifference)).Add(remaining))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (t *Target) recordCold(now, saidAt, until time.Time) (turned bool) {
	t.cold.newsAt, t.cold.assumedSince, t.ColdUntil = saidAt, time.Time{}, until
	return t.turned(now)
}

// AssumeCold makes the target count as cold until an answer to a probe that was sent after
// since says otherwise. News that is younger than since is kept. It reports whether the
// target turned cold.
func (t *Target) AssumeCold(now, since time.Time) (turned bool) {
	c := &t.cold
	if c.list == nil || !since.After(c.newsAt) {
		return false
	}
	c.newsAt, c.assumedSince = since, since
	return t.turned(now)
}

// turned empties the bucket of a target that has just become cold, and reports whether the
// target turned cold or warm.
func (t *Target) turned(now time.Time) bool {
	is := t.IsCold(now)
	if is == t.cold.wasCold {
		return false
	}
	t.cold.wasCold = is
	if is {
		t.emptyColdBucket(now)
	}
	return true
}

// HasWarmedUp reports once that the cold time of the target has passed.
func (t *Target) HasWarmedUp(now time.Time) bool {
	return t.cold.wasCold && t.turned(now)
}

// succeed takes over what an earlier record of the target knew. After a restart of the
// target only the sends of this host count on.
func (c *coldState) succeed(old *coldState, sameStart bool) {
	c.list, c.pace, c.hash = old.list, old.pace, old.hash
	c.sharerSince, c.nextAt = old.sharerSince, old.nextAt
	if sameStart {
		c.newsAt, c.announcedAt, c.assumedSince, c.wasCold = old.newsAt, old.announcedAt, old.assumedSince, old.wasCold
	}
}

// ColdEnd returns when this host may first send to one of the targets again, if all of them
// are barred and at least one of them as cold. A zero end means that nothing says when.
func ColdEnd(list []*Target, now time.Time) (end time.Time, ok bool) {
	for _, t := range list {
		switch t.Barred(now) {
		case NotBarred:
			return time.Time{}, false
		case Cold:
			ok = true
			at := t.coldTokenAt(now)
			if !t.AssumedCold() && (at.IsZero() || t.ColdUntil.Before(at)) {
				at = t.ColdUntil
			}
			if !at.IsZero() && (end.IsZero() || at.Before(end)) {
				end = at
			}
		}
	}
	return end, ok
}

// Unverified returns the targets that count as cold only by assumption, the preferred ones
// first.
func Unverified(list []*Target) []*Target {
	var preferred, others []*Target
	for _, t := range list {
		switch {
		case !t.AssumedCold():
		case t.Preferred:
			preferred = append(preferred, t)
		default:
			others = append(others, t)
		}
	}
	return slices.Concat(preferred, others)
}

// SharesCold reports whether this host is one of those that may send to the target while it
// is cold.
func (t *Target) SharesCold() bool { return !t.cold.sharerSince.IsZero() }

// AllCold reports whether all targets are cold or barred, and at least one of them is cold.
func AllCold(list []*Target, now time.Time) bool {
	cold := false
	for _, t := range list {
		if t.IsCold(now) {
			cold = true
			continue
		}
		if t.Barred(now) == NotBarred {
			return false
		}
	}
	return cold
}
