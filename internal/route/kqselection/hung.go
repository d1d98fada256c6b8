package kqselection

import (
	"slices"
	"time"
)

const (
	// hungFactor is how many times its expected time a send stays unanswered before its
	// target is probed. A request that meets a slow machine takes five times as long and is
	// found running, so a lower factor only costs probes.
	hungFactor = 4

	// minHungTime is the least time before that probe: short requests wait longer than they
	// run, for links and a busy host.
	minHungTime = 250 * time.Millisecond

	// hungConfirmTime is the time between the two reports that show a send to be lost. An
	// answer that was under way at the first one has then arrived.
	hungConfirmTime = 40 * time.Millisecond

	// maxHungProbeInterval bounds the growing interval between probes for one send.
	maxHungProbeInterval = 4 * time.Second

	// timeoutFactor is how many times its expected time a request without an answer took at
	// least if its timeout shows that targets hang: twice that on a slow machine.
	timeoutFactor = 10

	// hangMemory is how long a service counts as one whose targets hang after the last one
	// did: as long, full targets are not tried, and their slowdown is not learned.
	hangMemory = 10 * time.Minute

	// distrustTime is how long no send of a service counts as lost after one that did was
	// answered: its targets report less than they run.
	distrustTime = 10 * time.Minute
)

// Hangs learns whether targets of a service leave requests unanswered for ever, as some do
// with those that they cannot queue.
type Hangs struct {
	seenUntil       time.Time
	distrustedUntil time.Time
}

// Seen reports whether a target of the service has hung lately. Nothing is then sent
// without a young report that shows room.
func (h *Hangs) Seen(now time.Time) bool { return h != nil && now.Before(h.seenUntil) }

// Record notes that a send got no answer which reports of its target explain.
func (h *Hangs) Record(now time.Time) { h.seenUntil = now.Add(hangMemory) }

// RecordTimeout notes that a send to a target ended at its deadline without an answer. If
// the target reported its load meanwhile and should have answered long ago, it hangs.
func (h *Hangs) RecordTimeout(s *Send, reportedAt, now time.Time) {
	if !s.SentAt.IsZero() && reportedAt.After(s.SentAt) && now.Sub(s.SentAt) >= max(timeoutFactor*s.Expected, minHungTime) {
		h.Record(now)
	}
}

// RecordLateAnswer notes the answer to a send that counted as lost.
func (h *Hangs) RecordLateAnswer(now time.Time) { h.distrustedUntil = now.Add(distrustTime) }

// Send is a request that was sent to a target, until it is answered or given up.
type Send struct {
	Expected time.Duration // until the answer, by what was known at the choice of the target
	SentAt   time.Time     // when the last byte was written; zero before
	Lost     bool          // the target does not have it any more

	OnLost func() // called once when Lost is set

	probeDelay time.Duration
}

// HungDelay returns after which time the target is probed for the send, counted from SentAt
// or from the last probe for it: each time twice as long, but soon if the last report of the
// target leaves the send unexplained.
func (t *Target) HungDelay(s *Send) time.Duration {
	if t.fewerOf == s {
		return hungConfirmTime
	}
	if s.probeDelay == 0 {
		s.probeDelay = s.overdueAfter()
		return s.probeDelay
	}
	s.probeDelay = min(2*s.probeDelay, maxHungProbeInterval)
	return s.probeDelay
}

// overdueAfter returns for how long the send may stay unanswered before its target is probed.
func (s *Send) overdueAfter() time.Duration { return max(hungFactor*s.Expected, minHungTime) }

// overdue reports whether the send should have been answered before now.
func (s *Send) overdue(now time.Time) bool {
	return !s.SentAt.IsZero() && now.Sub(s.SentAt) >= s.overdueAfter()
}

// BeginSend adds a send that has been counted in InFlight.
func (t *Target) BeginSend(s *Send) { t.sends = append(t.sends, s) }

// EndSend uncounts a send; a lost one was uncounted before.
func (t *Target) EndSend(s *Send) {
	t.Answered(s)
	if s == nil || !s.Lost {
		t.InFlight--
	}
}

// Answered notes that the answer to a send began to arrive: from now on it cannot be lost.
func (t *Target) Answered(s *Send) {
	t.sends = slices.DeleteFunc(t.sends, func(x *Send) bool { return x == s })
}

// Unanswered reports whether the send has neither an answer nor ended.
func (t *Target) Unanswered(s *Send) bool { return slices.Contains(t.sends, s) }

// RecordSends compares a report with the sends that the target should have, where probedAt
// is when the probe was sent. Two reports in a row that name fewer requests than this host
// sent show that the oldest one is lost, if it is overdue. RecordSends returns that one,
// uncounted, or nil.
func (t *Target) RecordSends(reported int, probedAt, now time.Time) *Send {
	sent := 0
	var oldest *Send
	for _, s := range t.sends {
		if s.SentAt.IsZero() || !s.SentAt.Before(probedAt) {
			continue
		}
		sent++
		if oldest == nil || s.SentAt.Before(oldest.SentAt) {
			oldest = s
		}
	}
	if oldest == nil || t.Hangs == nil || reported >= sent || !oldest.overdue(probedAt) || now.Before(t.Hangs.distrustedUntil) {
		t.fewerOf = nil
		return nil
	}
	if t.fewerOf != oldest {
		t.fewerOf, t.fewerAt = oldest, probedAt
		return nil
	}
	if probedAt.Sub(t.fewerAt) < hungConfirmTime {
		return nil
	}
	t.fewerOf = nil
	oldest.Lost = true
	t.InFlight--
	t.Answered(oldest)
	t.Hangs.Record(now)
	return oldest
}
