package kqsoak

import (
	"fmt"
	"sync"
	"time"
)

// Bounds of the promises, from the users' rules.
const (
	drainBound = 2 * time.Second // until a leaving target gets no new work
	applyBound = 2 * time.Second // until accepted routes are shown everywhere
)

// mostViolations bounds what the ledger keeps: the first ones tell.
const mostViolations = 50

// Ledger notes what callers, targets and operators see, and what of it breaks a
// promise. It is safe for concurrent use.
type Ledger struct {
	mu         sync.Mutex
	calls      map[string]*call
	left       map[string]time.Time // when the leave of a target was acknowledged
	accepted   []acceptance         // in order of their acknowledgement
	violations []string
	counts     Counts
}

// call is one request with an ID of its own.
type call struct {
	once    bool // must not run twice
	runs    int
	refused bool // the system said that it did not run and never will
}

type acceptance struct {
	version uint64
	at      time.Time
}

// Counts are how the calls ended.
type Counts struct {
	Sent, Good, Refused, Unknown, Broken int
	Accepted                             int // versions of routes
	Left                                 int // targets that left as planned
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{calls: map[string]*call{}, left: map[string]time.Time{}}
}

func (l *Ledger) violate(format string, args ...any) {
	if len(l.violations) < mostViolations {
		l.violations = append(l.violations, fmt.Sprintf(format, args...))
	}
}

func (l *Ledger) call(id string) *call {
	c := l.calls[id]
	if c == nil {
		c = &call{}
		l.calls[id] = c
	}
	return c
}

// Sent notes a request of a caller.
func (l *Ledger) Sent(id string, once bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.call(id).once = once
	l.counts.Sent++
}

// Ran notes that a target began to run the request.
func (l *Ledger) Ran(id, target string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.calls[id]
	if c == nil {
		l.violate("target %s ran %s, which no caller sent", target, id)
		return
	}
	c.runs++
	switch {
	case c.once && c.runs > 1:
		l.violate("%s ran %d times, the last time at %s", id, c.runs, target)
	case c.refused && c.once:
		l.violate("%s was refused as not run, and ran at %s", id, target)
	}
	if left, ok := l.left[target]; ok && at.Sub(left) > drainBound {
		l.violate("%s reached %s %v after its leave was acknowledged", id, target, at.Sub(left))
	}
}

// Answered notes what a caller got: whole says that the answer ended in order, own
// that it is the whole answer of a target to this very request.
func (l *Ledger) Answered(id string, status int, whole, own bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.call(id)
	switch {
	case !whole:
		l.counts.Broken++
	case status/100 == 2 && !own:
		l.violate("%s got a success that is not the whole answer to it", id)
	case status/100 == 2:
		l.counts.Good++
		if c.runs == 0 {
			l.violate("%s got a success and did not run", id)
		}
	case status == 429 || status == 503:
		l.counts.Refused++
		c.refused = true
		if c.once && c.runs > 0 {
			l.violate("%s was refused as not run, and had run", id)
		}
	default:
		l.counts.Unknown++
	}
}

// Left notes that the leave of a target was acknowledged.
func (l *Ledger) Left(target string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.left[target] = at
	l.counts.Left++
}

// Accepted notes that routes of the version were acknowledged.
func (l *Ledger) Accepted(version uint64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepted = append(l.accepted, acceptance{version, at})
	l.counts.Accepted++
}

// Read notes that routes asked for at a time were shown in a version.
func (l *Ledger) Read(host string, version uint64, asked time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if newest := l.newest(asked.Add(-applyBound)); version < newest {
		l.violate("%s showed routes %d, though %d was acknowledged more than %v before", host, version, newest, applyBound)
	}
}

// newest returns the highest version acknowledged until then; the lock is held.
func (l *Ledger) newest(until time.Time) uint64 {
	var v uint64
	for _, a := range l.accepted {
		if !a.at.After(until) {
			v = max(v, a.version)
		}
	}
	return v
}

// Newest returns the highest version acknowledged until now.
func (l *Ledger) Newest(now time.Time) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newest(now)
}

// Missed notes that something did not come back in time after the faults.
func (l *Ledger) Missed(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violate(format, args...)
}

// Result returns the counts and what broke a promise.
func (l *Ledger) Result() (Counts, []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts, append([]string(nil), l.violations...)
}
