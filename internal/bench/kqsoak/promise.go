package kqsoak

import (
	"fmt"
	"net/http"
	"time"
)

// Promise is a guarantee that a scarce run checks from outside, as printed.
type Promise string

// Promises of a scarce run.
const (
	PromiseOwner     Promise = "a target gets the name of the owner, and no key"
	PromiseWithdrawn Promise = "no request without a valid key runs"
	PromiseKey       Promise = "a valid key is not refused"
	PromiseLimit     Promise = "an owner stays within its limit"
	PromiseCold      Promise = "a cold target gets no more than its rate"
	PromiseEvacuated Promise = "an evacuated domain gets nothing"
)

var promises = []Promise{PromiseOwner, PromiseWithdrawn, PromiseKey, PromiseLimit, PromiseCold, PromiseEvacuated}

// learnTime is how long after a change, at the latest, no entry host acts on what was before:
// the time to apply it, and for bytes on the way.
const learnTime = applyBound + lossSlack

// Checks counts the checks of one promise.
type Checks struct{ Made, Broken int }

// bucket holds the requests of an owner that ran, as a leaky bucket: it exceeds its depth
// exactly if some window holds more than rate x window + depth.
type bucket struct {
	level float64
	at    time.Time
}

func (b *bucket) add(at time.Time, rate float64) float64 {
	if d := at.Sub(b.at); d > 0 {
		b.level = max(0, b.level-rate*d.Seconds())
		b.at = at
	}
	b.level++
	return b.level
}

// Arrival is a request as a target sees it.
type Arrival struct {
	ID     string
	Target string
	Domain string
	Owner  string // as the system names it
	Key    string // Authorization, which no target may see
	Cold   bool   // the target is cold, and every host had time to know
	Late   bool   // the link was faulty: the time says little about when it was sent
	At     time.Time
}

// check counts a check of the promise, and a violation if it is broken; the caller holds l.mu.
func (l *Ledger) check(p Promise, kept bool, format string, args ...any) {
	c := l.checks[p]
	if c == nil {
		c = &Checks{}
		l.checks[p] = c
	}
	c.Made++
	if !kept {
		c.Broken++
		l.violate("%s: %s", p, fmt.Sprintf(format, args...))
	}
}

// SentWith records what the caller of a request presents.
func (l *Ledger) SentWith(id string, c credential, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.call(id)
	x.credential, x.sentAt = &c, at
}

// Submitted records that an operator is about to send routes of the version.
func (l *Ledger) Submitted(version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.submitted = max(l.submitted, version)
}

// Disturbed records that until then a fault can keep hosts from learning of changes in time;
// extend keeps a later end that is known already.
func (l *Ledger) Disturbed(until time.Time, extend bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !extend || until.After(l.disturbed) {
		l.disturbed = until
	}
}

// Hung records that a target did not queue a request and will never answer it.
func (l *Ledger) Hung() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Hung++
}

// Received checks a request that has reached a target, whether or not it runs there.
func (l *Ledger) Received(a Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.calls[a.ID]; c != nil && c.credential != nil {
		l.check(PromiseOwner, a.Owner == c.credential.owner && a.Key == "", "%s of %q reached %s as of %q with Authorization %q", a.ID, c.credential.owner, a.Target, a.Owner, a.Key)
		low := l.newest(a.At.Add(-learnTime))
		if withdrawn := c.credential.withdrawn(low); withdrawn && !a.Late && a.At.After(l.disturbed) {
			l.check(PromiseWithdrawn, false, "%s with key %q, valid in versions %d to %d, reached %s after version %d was in force", a.ID, c.credential.key, c.credential.first, c.credential.end, a.Target, low)
		}
	}
	if a.Late {
		return
	}
	l.checkEvacuated(a)
	if a.Cold {
		l.checkCold(a)
	}
}

// checkEvacuated checks an arrival while a domain has been evacuated for long enough.
func (l *Ledger) checkEvacuated(a Arrival) {
	for domain, since := range l.evacuated {
		if d := a.At.Sub(since); d > drainBound {
			l.check(PromiseEvacuated, a.Domain != domain, "%s reached %s in domain %s %v after its evacuation was acknowledged", a.ID, a.Target, domain, d)
		}
	}
}

func (l *Ledger) checkCold(a Arrival) {
	recent := l.cold[a.Target]
	for len(recent) > 0 && a.At.Sub(recent[0]) >= time.Second {
		recent = recent[1:]
	}
	recent = append(recent, a.At)
	l.cold[a.Target] = recent
	l.check(PromiseCold, float64(len(recent)) <= coldLimit, "%s, which is cold, got %d requests in a second, the last one %s", a.Target, len(recent), a.ID)
}

// checkLimit counts a request that ran; the caller holds l.mu.
func (l *Ledger) checkLimit(c *call, id string, at time.Time) {
	if c.credential == nil {
		return
	}
	o, ok := limit(c.credential.owner)
	if !ok {
		return
	}
	b := l.used[o.Name]
	if b == nil {
		b = &bucket{}
		l.used[o.Name] = b
	}
	depth := o.Burst*quotaShare + quotaSlack
	level := b.add(at, o.Rate*quotaShare)
	l.check(PromiseLimit, level <= depth, "%s of %s ran: %.1f requests beyond its rate, want at most %.1f", id, o.Name, level, depth)
}

// checkKey checks the answer to a request with a key.
func (l *Ledger) checkKey(c *call, id string, status int) {
	if c.credential == nil {
		return
	}
	low := l.newest(c.sentAt.Add(-applyBound))
	if c.credential.valid(low, l.submitted) {
		l.check(PromiseKey, status != http.StatusUnauthorized, "%s of %s got 401, though its key is valid from version %d on, and %d was in force", id, c.credential.owner, c.credential.first, low)
		if status == http.StatusTooManyRequests {
			l.counts.Limited++
		}
	}
	if c.credential.withdrawn(low) && !c.sentAt.Before(l.disturbed) {
		l.check(PromiseWithdrawn, status == http.StatusUnauthorized || status == http.StatusServiceUnavailable, "%s with key %q was answered %d", id, c.credential.key, status)
	}
}

// CheckPromises records a violation for each promise that was not checked, and if no request
// was beyond its owner's limit: a run that tried nothing proves nothing.
func (l *Ledger) CheckPromises() map[Promise]Checks {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := map[Promise]Checks{}
	for _, p := range promises {
		if c := l.checks[p]; c != nil {
			all[p] = *c
		}
		if all[p].Made == 0 {
			l.violate("not checked: %s", p)
		}
	}
	if l.counts.Limited == 0 {
		l.violate("no request was beyond its owner's limit")
	}
	return all
}
