package kqsoak

import (
	"fmt"
	"net/http"
	"net/textproto"
	"slices"
	"sync"
	"time"

	"kumquatglade/internal/call/kqresponse"

	"github.com/cockroachdb/errors"
)

// Time limits of the guarantees, as the users require them.
const (
	lossSlack  = 200 * time.Millisecond // a request may cross the close of its connection
	drainBound = 2 * time.Second        // until an evacuated domain or a leaving target gets no new requests
	applyBound = 2 * time.Second        // until every control host returns accepted routes
)

// maxViolations limits the violations that the ledger keeps; the first ones suffice
// to find the cause.
const maxViolations = 50

// Ledger records what callers, targets and operators observe, and which observations
// violate a guarantee. It is safe for concurrent use.
type Ledger struct {
	mu         sync.Mutex
	calls      map[string]*call
	left       map[string]time.Time // when the leave of a target was acknowledged
	evacuated  map[string]time.Time // when the evacuation of a failure domain was acknowledged, until its end is ordered
	accepted   []acceptance         // in order of acknowledgement
	violations []string
	counts     Counts
	ways       map[Way]*WayCounts
	signals    map[string]time.Time // when a host was last told to stop, by its address for callers
	lost       []string             // IDs
	planned    bool                 // all faults are planned work, which may cut no request

	// For the promises of a scarce run.
	checks    map[Promise]*Checks
	used      map[string]*bucket     // by owner
	cold      map[string][]time.Time // requests of the last second at a cold target
	submitted uint64                 // highest version that an operator sent
	disturbed time.Time              // until when hosts may be behind
}

// call is one request, identified by its request ID.
type call struct {
	way     Way
	once    bool // must not run twice
	runs    int
	refused bool // the answer said that it did not run and never will

	credential *credential // nil in a run without owners
	sentAt     time.Time
}

type acceptance struct {
	version uint64
	at      time.Time
}

// Counts holds the numbers of calls by outcome; its field names are printed.
type Counts struct {
	Sent, Good, Refused, Unknown, Broken int
	Accepted                             int // versions of routes
	Left                                 int // targets that left as planned
	Evacuated                            int // evacuations of failure domains
	Limited                              int // requests with a valid key that were beyond their owner's limit
	Hung                                 int // requests that a target did not queue and never answered
}

// WayCounts holds the numbers of calls that were sent in one way, by outcome; its field
// names are printed.
type WayCounts struct {
	Sent, Answered, Refused, Failed int
	Crossed                         int // without a response, as the connection ended when they were sent
	Lost                            int
}

// Cut is the end of a connection without a complete response to a request.
type Cut struct {
	Addr  string    // of the host, for callers
	Began time.Time // when the request was sent, if it isn't known when it was whole
	Sent  time.Time // when the request was whole, zero if it never was
	At    time.Time
	Err   error
}

// NewLedger returns a Ledger without records.
func NewLedger() *Ledger {
	return &Ledger{
		calls: map[string]*call{}, left: map[string]time.Time{}, evacuated: map[string]time.Time{}, ways: map[Way]*WayCounts{}, signals: map[string]time.Time{},
		checks: map[Promise]*Checks{}, used: map[string]*bucket{}, cold: map[string][]time.Time{},
	}
}

// way returns the counts of a way; the caller holds l.mu.
func (l *Ledger) way(w Way) *WayCounts {
	c := l.ways[w]
	if c == nil {
		c = &WayCounts{}
		l.ways[w] = c
	}
	return c
}

func (l *Ledger) violate(format string, args ...any) {
	if len(l.violations) < maxViolations {
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

// Sent records that a caller sends a request, which must not run twice if once is set.
func (l *Ledger) Sent(id string, once bool) { l.SentIn("", id, once) }

// SentIn records the same of a request that is sent in one of the ways.
func (l *Ledger) SentIn(way Way, id string, once bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.call(id)
	c.way, c.once = way, once
	l.counts.Sent++
	l.way(way).Sent++
}

// Ran records that a target started to run the request.
func (l *Ledger) Ran(id, target string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.calls[id]
	if c == nil {
		l.violate("target %s ran %s, which no caller sent", target, id)
		return
	}
	c.runs++
	l.checkLimit(c, id, at)
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

// Answered records what a caller received: complete says that the body was read
// without an error, matches that it is the target's full answer to this request.
func (l *Ledger) Answered(id string, status int, complete, matches bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.call(id)
	way := l.way(c.way)
	l.checkKey(c, id, status)
	switch {
	case !complete:
		l.counts.Broken++
		way.Failed++
	case status/100 == 2 && !matches:
		l.violate("%s got a success that is not the whole answer to it", id)
	case status/100 == 2:
		l.counts.Good++
		way.Answered++
		if c.runs == 0 {
			l.violate("%s got a success and did not run", id)
		}
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable, status == http.StatusUnauthorized:
		l.counts.Refused++
		way.Refused++
		c.refused = true
		if c.once && c.runs > 0 {
			l.violate("%s was refused as not run, and had run", id)
		}
	default:
		l.counts.Unknown++
		way.Failed++
		if l.planned && status == http.StatusBadGateway {
			l.violate("%s was answered %d, though nothing failed", id, status)
		}
	}
}

// SetPlanned says whether all faults are planned work.
func (l *Ledger) SetPlanned(planned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.planned = planned
}

// Cut records that the connection of a request ended without a complete response, which a
// host may do only with a request that it had no time to read, or with one that was passed on
// once the timeout of its route was over.
func (l *Ledger) Cut(id string, e Cut) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Broken++
	c := l.call(id)
	way := l.way(c.way)
	if isMalformed(e.Err) {
		l.violate("%s (%s) got a malformed response: %v", id, c.way, e.Err)
	}
	ran, late := c.runs > 0, !e.Sent.IsZero() && e.At.Sub(e.Sent) > lossSlack
	began := e.Sent
	if began.IsZero() {
		began = e.Began
	}
	switch {
	case !l.planned || !ran && !late:
		way.Crossed++
		return
	case ran && !began.IsZero() && e.At.Sub(began) >= routeTimeout:
		way.Failed++
		return
	}
	way.Lost++
	l.lost = append(l.lost, id)
	l.violate("%s (%s) was cut %s, %s, passed on: %t: %v", id, c.way, after(e.Sent, e.At, "it was sent"), after(l.signals[e.Addr], e.At, "the last signal"), ran, e.Err)
}

// isMalformed reports whether a response ended with an error that no end of a connection causes.
func isMalformed(err error) bool {
	var syntax textproto.ProtocolError
	return errors.As(err, &syntax) || errors.IsAny(err, kqresponse.ErrMalformed, kqresponse.ErrCloseDelimited)
}

// after says how long after an event something was.
func after(event, at time.Time, name string) string {
	if event.IsZero() {
		return "unknown when after " + name
	}
	return fmt.Sprintf("%v after %s", at.Sub(event).Round(time.Millisecond), name)
}

// Signalled records that the host with the address for callers was told to stop.
func (l *Ledger) Signalled(addr string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.signals[addr] = at
}

// CheckWays records a violation for each way in which nothing was sent, and if no host was
// told to stop: a run that tried nothing proves nothing.
func (l *Ledger) CheckWays(list []Way) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range list {
		if l.way(w).Sent == 0 {
			l.violate("nothing was sent in the way %q", w)
		}
	}
	if len(l.signals) == 0 {
		l.violate("no host of callers was told to stop")
	}
}

// ByWay returns the counts of each way and the IDs of the requests that were lost.
func (l *Ledger) ByWay() (counts map[Way]WayCounts, lost []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts = map[Way]WayCounts{}
	for w, c := range l.ways {
		counts[w] = *c
	}
	return counts, slices.Clone(l.lost)
}

// Left records when the leave of a target was acknowledged.
func (l *Ledger) Left(target string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.left[target] = at
	l.counts.Left++
}

// Accepted records when routes of the version were acknowledged.
func (l *Ledger) Accepted(version uint64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepted = append(l.accepted, acceptance{version, at})
	l.counts.Accepted++
}

// Read records the version that a host returned to a read sent at the time asked.
func (l *Ledger) Read(host string, version uint64, asked time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if newest := l.newest(asked.Add(-applyBound)); version < newest {
		l.violate("%s showed routes %d, though %d was acknowledged more than %v before", host, version, newest, applyBound)
	}
}

// newest returns the highest version acknowledged by then; the caller holds l.mu.
func (l *Ledger) newest(until time.Time) uint64 {
	var v uint64
	for _, a := range l.accepted {
		if !a.at.After(until) {
			v = max(v, a.version)
		}
	}
	return v
}

// Newest returns the highest version acknowledged by the time now.
func (l *Ledger) Newest(now time.Time) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newest(now)
}

// AddViolation records a violation that was found outside the ledger, such as a host
// that does not recover in time.
func (l *Ledger) AddViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violate(format, args...)
}

// Result returns the counts and the recorded violations.
func (l *Ledger) Result() (Counts, []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts, append([]string(nil), l.violations...)
}
