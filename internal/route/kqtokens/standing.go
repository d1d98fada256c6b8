package kqtokens

import (
	"slices"
	"time"

	"kumquatglade/internal/state/kqreplica"
)

const (
	// confirmationLife is how long a voter grants tokens after a quorum last confirmed that it
	// is a voter. It covers elections and a short loss of the majority, during which no other
	// voter has its share. It also delays the first grants of a new voter.
	confirmationLife = 10 * time.Second

	// clockMargin covers the difference between two hosts' clocks over confirmationLife.
	clockMargin = time.Second
)

// Standing decides whether a control host may grant tokens, and among how many voters limits
// are divided. At no time do the shares of all voters that grant add up to more than one:
//
//   - A voter that is removed while it is cut off grants for confirmationLife after its last
//     confirmation, which began before its removal was committed. The others count it for
//     hold after they know that the removal is committed, which is longer.
//   - A voter that is added grants once it has known for hold that this is committed. Any
//     other voter that grants then has been confirmed since, and counts it. It need not wait if
//     all other voters say that they count it and those that grant know of no recent removal,
//     as when a cluster is founded by a part of its hosts; or if those that grant have counted it
//     for hold or since they started, as a voter that lost its folder and is back. It then counts
//     one more voter for hold, as they may not know of a removal.
//   - A voter that has restarted does not know of a removal just before, and counts one more
//     voter for hold. A voter of the loaded log was one before its start and grants once
//     confirmed, without a wait; so does one of the founding list, which no other precedes.
//
// Two removals within hold of the start of a third voter, or a start of a new voter within hold
// of its addition while another is cut off, may exceed a limit by one share for that time.
type Standing struct {
	hold        time.Duration
	started     time.Time
	restarted   bool                 // the log held a member list at the start
	established bool                 // a voter of the log as loaded at the start, or of the founding list
	committed   []string             // voters of the newest member list known to be committed
	lastSeen    map[string]time.Time // when each host was last a voter of a list in force
	firstSeen   map[string]time.Time // since when it has been in lastSeen; zero: since this host started
	voter       bool
	voterSince  time.Time
	confirmedAt time.Time
}

// NewStanding returns the standing at the start of a control host, whose replica has the
// status before it receives any message.
func NewStanding(p Params, s kqreplica.Status, now time.Time) *Standing {
	t := &Standing{
		hold:    confirmationLife + p.Window + p.Life() + clockMargin, // no window sees grants by both divisions
		started: now, restarted: len(s.Members) > 0, established: s.Voter, lastSeen: map[string]time.Time{}, firstSeen: map[string]time.Time{},
	}
	t.Observe(s, now)
	for h := range t.lastSeen {
		t.firstSeen[h] = time.Time{}
	}
	return t
}

// Observe records the member list.
func (t *Standing) Observe(s kqreplica.Status, now time.Time) {
	var voters []string
	for _, m := range s.Members {
		if m.Voter {
			voters = append(voters, m.Host)
		}
	}
	if s.Committed {
		t.committed = voters
	}
	for _, list := range [][]string{voters, t.committed} {
		for _, h := range list {
			if _, counted := t.lastSeen[h]; !counted {
				t.firstSeen[h] = now
			}
			t.lastSeen[h] = now
		}
	}
	for h, at := range t.lastSeen {
		if age(now, at) > t.hold {
			delete(t.lastSeen, h)
			delete(t.firstSeen, h)
		}
	}
	switch {
	case !s.Voter:
		t.voter, t.established = false, false
	case !t.voter && s.Committed:
		t.voter, t.voterSince = true, now
	}
	t.established = t.established || s.Voter && s.Founding
}

// Confirmed records that a quorum confirmed the state observed last; the confirmation began at
// the given time.
func (t *Standing) Confirmed(began time.Time) {
	if t.voter {
		t.confirmedAt = began
	}
}

// Voters returns among how many voters limits are divided, at least 1.
func (t *Standing) Voters(now time.Time) int {
	n := len(t.lastSeen)
	if t.restarted && age(now, t.started) < t.hold {
		n++
	}
	return max(n, 1)
}

// Opinion is what one voter says about another one that waits.
type Opinion string

// Opinions.
const (
	Counted Opinion = "counted" // limits are divided by a number that includes the other
	Sure    Opinion = "sure"    // and the sender grants, and knows that nobody was removed within hold
	Unsure  Opinion = "unsure"  // and the sender grants, and somebody may have been removed
	Settled Opinion = "settled" // and the sender grants, and has counted the other for hold, or since it started
)

// Opinion returns what this voter says about the other one, empty if it does not count it.
func (t *Standing) Opinion(other string, now time.Time) Opinion {
	switch _, counted := t.lastSeen[other]; {
	case !counted:
		return ""
	case !t.Grants(now):
		return Counted
	case age(now, t.firstSeen[other]) >= t.hold:
		return Settled
	case t.restarted && age(now, t.started) < t.hold, len(t.lastSeen) > len(t.committed):
		return Unsure
	}
	return Sure
}

// Others returns the other voters if this one is confirmed and waits, whose opinions may end
// the wait.
func (t *Standing) Others(self string, now time.Time) (list []string) {
	if !t.voter || t.Grants(now) || age(now, t.confirmedAt) > confirmationLife {
		return nil
	}
	for _, h := range t.committed {
		if h != self {
			list = append(list, h)
		}
	}
	return list
}

// Hear ends the wait of this voter if the opinions of all others allow it, and reports whether
// it did. The voter must then begin with new buckets, as the others granted the whole burst
// until they counted it.
func (t *Standing) Hear(list []Opinion, now time.Time) bool {
	if !t.voter || t.established || slices.Contains(list, Unsure) || slices.Contains(list, "") {
		return false
	}
	sure, settled := slices.Contains(list, Sure), slices.Contains(list, Settled)
	if sure == settled {
		return false
	}
	if settled { // a voter may have been removed that still grants: this one counts it for hold
		t.restarted, t.started = true, now
	}
	t.established = true
	return true
}

// Grants reports whether this host may grant tokens now.
func (t *Standing) Grants(now time.Time) bool {
	if !t.voter || t.confirmedAt.IsZero() || age(now, t.confirmedAt) > confirmationLife {
		return false
	}
	return t.established || now.Sub(t.voterSince) >= t.hold
}
