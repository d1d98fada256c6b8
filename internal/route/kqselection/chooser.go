package kqselection

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// AskMany is how many targets are asked before a send.
	MaxProbes = 4

	minProbes        = 2
	probeLevelFactor = 2 // times what is left, above which all are asked

	// LookMost is how many are asked in one look for those who wait.
	MaxQueueProbes = 6

	// LookEvery is the time between two looks for room while requests wait: a
	// fraction of the time in which a slot gets free.
	QueueProbeInterval = 6 * time.Millisecond

	// askAgain is the age up to which an answer serves another request.
	probeReuseAge = 4 * time.Millisecond

	// lateShare is the part of the time left for which a request that is late
	// already may wait: the rest is for the target and for another try.
	lateWaitShare = 0.35
)

// Chooser decides for the requests for one service on one host.
type Selector struct {
	Domain     string // failure domain of this host
	Rand       *rand.Rand
	Queue      Queue
	Saturation *Saturation
}

// Look returns up to n targets worth a send, those of them that told their load
// just now, and those to be asked as far as may allows one more question.
func (c *Selector) PlanProbes(list []*Target, n int, now time.Time, may func() bool) (worth, ask []*Target, fresh map[*Target]bool) {
	worth = Candidates(list, n, c.Domain, now, c.Rand)
	fresh = make(map[*Target]bool, len(worth))
	for _, t := range worth {
		switch {
		case !t.LastLoad.At.IsZero() && now.Sub(t.LastLoad.At) <= probeReuseAge:
			fresh[t] = true
		case !t.ProbeDeferred(now) && may():
			ask = append(ask, t)
		}
	}
	return worth, ask, fresh
}

// AskFor returns how many targets to ask before a send, by the share of the
// questions saved that is left: in a busy time all requests get some knowledge
// in place of the first ones much and the others none.
func ProbeCount(level float64) int {
	return min(MaxProbes, minProbes+int(level*probeLevelFactor*(MaxProbes-minProbes+1)))
}

// LookFor returns how many targets to look at for so many requests that wait.
func QueueProbeCount(waiting int) int { return min(2+waiting, MaxQueueProbes) }

// Best returns the best target with room and counts a send to it; nil if there
// is none. Targets that never told their load are judged by own requests alone.
func (c *Selector) Pick(list []*Target, fresh map[*Target]bool, now time.Time) *Target {
	tells := slices.ContainsFunc(list, func(t *Target) bool { return !t.LastLoad.At.IsZero() })
	with := func(room func(*Target) bool) []*Target {
		return slices.DeleteFunc(slices.Clone(list), func(t *Target) bool { return !room(t) })
	}
	roomy := with(func(t *Target) bool { return t.Headroom(now, tells) > 0 })
	if len(roomy) == 0 && len(list) > 0 && c.Saturation.Explore() {
		roomy = with(func(t *Target) bool { return t.HasFreeSlot(now) })
	}
	t := LowestScore(roomy, func(t *Target) bool { return fresh[t] || !tells }, now, c.Domain)
	if t != nil {
		c.recordSend(t, now)
	}
	return t
}

func (c *Selector) recordSend(t *Target, now time.Time) {
	t.InFlight++
	t.LastLoad.Sent++
	c.Queue.RecordStart(now)
}

// Serve gives those who wait the best targets of the list, as long as one has
// room.
func (c *Selector) AssignQueued(list []*Target, fresh map[*Target]bool, now time.Time) {
	for c.Queue.Len() > 0 {
		t := c.Pick(list, fresh, now)
		if t == nil {
			return
		}
		c.Queue.Dequeue(now).Assign(t)
	}
}

// Freed gives the room of a target that has just told its load to those who wait.
func (c *Selector) AssignHeadroom(t *Target, now time.Time) {
	for c.Queue.Len() > 0 && t.Headroom(now, true) > 0 {
		c.recordSend(t, now)
		c.Queue.Dequeue(now).Assign(t)
	}
}

// Patience returns by when a request must start to be answered within its
// objective, counted from born, and until when it waits at all; unit is what is
// usual for its route, and end when it is given up.
func WaitLimits(now, born, end time.Time, objective, unit time.Duration) (latest, until time.Time) {
	latest = born.Add(objective - unit - unit/2)
	if latest.After(now) {
		return latest, latest
	}
	return latest, now.Add(time.Duration(lateWaitShare * float64(end.Sub(now)-unit)))
}

const (
	// holdPause is the time between two questions to a target that waits for the
	// end of a body: a fraction of the time for which it stays slow.
	bodyHoldProbeInterval = 30 * time.Millisecond

	// holdLeast is how long it is worth waiting even if the answer gets late: one
	// target in ten is still slow after that, and a sound one costs less.
	minBodyHold = 2 * slowdownDecay
)

// HoldUntil returns until when the end of a long body may wait that has just
// arrived; latest is when the target must begin to answer in time.
func BodyHoldDeadline(now, latest time.Time) time.Time {
	if least := now.Add(minBodyHold); latest.Before(least) {
		return least
	}
	return latest
}

// Hold returns how long to wait before the target is asked once more whether it is
// a good moment to begin, 0: begin now.
func BodyHoldDelay(t *Target, now, until time.Time) time.Duration {
	if t.LastLoad.At.IsZero() || t.recentlyFast(now) || !now.Before(until) {
		return 0
	}
	return bodyHoldProbeInterval
}

// Choice is a chosen target and what was known of it before the send.
type Choice struct {
	Target     *Target
	Sample     Sample
	Score      float64 // expected time, in units of the route
	NearlyFull bool    // the send made the target nearly full
}

// Chosen returns the choice of a target to which a send has just been counted.
func (c *Selector) ChoiceFor(t *Target, now time.Time) Choice {
	before := *t
	before.InFlight--
	before.LastLoad.Sent = max(before.LastLoad.Sent-1, 0)
	return Choice{Target: t, Sample: before.LastLoad, Score: before.Score(now, c.Domain), NearlyFull: before.NearlyFull()}
}

// Learn takes how long a good answer took after the choice.
func (c *Selector) RecordServiceTime(ch Choice, unit *ServiceTime, took time.Duration) {
	if !ch.NearlyFull {
		unit.Record(took, ch.Score)
		return
	}
	if free := ch.Score / c.Saturation.Slowdown() * float64(unit.OrDefault(0)); free > 0 {
		c.Saturation.Record(float64(took) / free)
	}
}
