package kqselection

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// MaxProbes is the largest number of targets probed before a send.
	MaxProbes = 4

	minProbes = 2

	// probeLevelFactor scales the level of the probe budget, 0 to 1, in ProbeCount: the
	// higher it is, the sooner MaxProbes targets are probed.
	probeLevelFactor = 2

	// MaxQueueProbes is the largest number of targets probed in one round for the queue.
	MaxQueueProbes = 6

	// QueueProbeInterval is the time between two rounds of probes while requests are
	// queued. It is much shorter than the time in which a slot of a target becomes free.
	QueueProbeInterval = 6 * time.Millisecond

	// probeReuseAge is the age up to which a probe result is used for further requests.
	probeReuseAge = 4 * time.Millisecond

	// lateWaitShare is the share of the remaining time for which a request that can no
	// longer meet its objective may wait: the rest is for the target and for a retry.
	lateWaitShare = 0.35
)

// Selector selects targets for the requests for one service on one host.
type Selector struct {
	Domain     string // failure domain of this host
	Rand       *rand.Rand
	Queue      Queue
	Saturation *Saturation // learned slowdown of nearly full targets
	Admission  Admission
	Hangs      Hangs
	Search     Search

	reportsLoad bool // a target of the service has reported its load
}

// PlanProbes returns up to n candidates for a send, those of them to probe, and the set
// of those whose last load report is recent enough to be used again. It calls mayProbe
// before it adds a target to probe, and leaves the target out on false.
func (s *Selector) PlanProbes(list []*Target, n int, now time.Time, mayProbe func() bool) (candidates, probe []*Target, fresh map[*Target]bool) {
	candidates = Candidates(list, n, s.Domain, now, s.Rand)
	fresh = make(map[*Target]bool, len(candidates))
	for _, t := range candidates {
		switch {
		case !t.LastLoad.At.IsZero() && now.Sub(t.LastLoad.At) <= probeReuseAge:
			fresh[t] = true
		case !t.ProbeDeferred(now) && mayProbe():
			probe = append(probe, t)
		}
	}
	return candidates, probe, fresh
}

// ProbeCount returns how many targets to probe before a send; level is the share of the
// probe budget that is left. Under high load every request gets a few probes, instead of
// the first requests getting many and the others none.
func ProbeCount(level float64) int {
	return min(MaxProbes, minProbes+int(level*probeLevelFactor*(MaxProbes-minProbes+1)))
}

// QueueProbeCount returns how many targets to probe when waiting requests are queued.
func QueueProbeCount(waiting int) int { return min(2+waiting, MaxQueueProbes) }

// Pick returns the target with the lowest score among those with headroom and counts a
// send to it, or returns nil if there is none. If none has headroom, Pick now and then
// takes a target with a free slot, as Saturation.Explore decides. If no target of the
// service ever reported its load, only the requests in flight from this host count.
func (s *Selector) Pick(list []*Target, fresh map[*Target]bool, now time.Time) *Target {
	return s.pick(list, fresh, now, true)
}

// pick is Pick for a request of which toleratesCold says whether it may get a cold target
// while others are warm.
func (s *Selector) pick(list []*Target, fresh map[*Target]bool, now time.Time, toleratesCold bool) *Target {
	reportsLoad := s.recordReports(list)
	filter := func(keep func(*Target) bool) []*Target {
		return slices.DeleteFunc(slices.Clone(list), func(t *Target) bool { return !keep(t) })
	}
	available := filter(func(t *Target) bool { return t.Headroom(now, reportsLoad) > 0 })
	if len(available) == 0 && len(list) > 0 && !s.Hangs.Seen(now) && s.Saturation.Explore() {
		available = filter(func(t *Target) bool { return t.HasFreeSlot(now) })
	}
	if !toleratesCold {
		available = withoutCold(available, list, now)
	}
	t := LowestScore(available, func(t *Target) bool { return fresh[t] || !reportsLoad }, now, s.Domain)
	if t != nil {
		s.recordSend(t, now)
	}
	return t
}

// recordReports returns whether a target of the service has ever reported its load.
func (s *Selector) recordReports(list []*Target) bool {
	s.reportsLoad = s.reportsLoad || slices.ContainsFunc(list, func(t *Target) bool { return !t.LastLoad.At.IsZero() })
	return s.reportsLoad
}

// PickUninformed returns the target with the lowest score by what was known earlier and
// counts a send to it, or returns nil if there is none. It is for requests that cannot
// wait any longer while no load report comes in time; where targets hang when full, they
// get none.
func (s *Selector) PickUninformed(list []*Target, now time.Time) *Target {
	if s.Hangs.Seen(now) {
		list = slices.DeleteFunc(slices.Clone(list), func(t *Target) bool { return t.Headroom(now, true) <= 0 })
	}
	candidates := Candidates(list, MaxProbes, s.Domain, now, s.Rand)
	t := LowestScore(candidates, func(*Target) bool { return true }, now, s.Domain)
	if t != nil {
		s.recordSend(t, now)
	}
	return t
}

func (s *Selector) recordSend(t *Target, now time.Time) {
	t.InFlight++
	t.LastLoad.Sent++
	t.reserveCold(now)
	s.Queue.RecordStart(now)
}

// undoSend takes back a send that no request uses.
func (s *Selector) undoSend(t *Target) {
	t.InFlight--
	t.LastLoad.Sent--
	t.ReleaseCold()
}

// AssignQueued assigns targets of the list to queued requests until no target has
// headroom.
func (s *Selector) AssignQueued(list []*Target, fresh map[*Target]bool, now time.Time) {
	s.recordProbed(list, fresh, now)
	for s.Queue.Len() > 0 {
		wanted := s.Queue.wantedOf(list)
		may := s.mayStart(s.room(wanted, now), now)
		if s.Queue.next(now, may) == nil {
			return
		}
		t := s.pick(wanted, fresh, now, s.Queue.toleratesCold(now))
		if t == nil {
			return
		}
		w := s.Queue.nextFor(t, hasWarm(list, now), now, may)
		if w == nil { // those that allow the target, tolerate a cold one and may start differ
			s.undoSend(t)
			return
		}
		s.assign(w, t, now)
	}
}

// AssignHeadroom assigns a target that has just reported its load to queued requests
// until its headroom is used up.
func (s *Selector) AssignHeadroom(t *Target, now time.Time) {
	for s.Queue.Len() > 0 && t.Headroom(now, true) > 0 {
		w := s.Queue.nextFor(t, true, now, s.mayStart(t.Headroom(now, true), now))
		if w == nil {
			return
		}
		s.recordSend(t, now)
		s.assign(w, t, now)
	}
}

// WaitLimits returns by when a request must start to be answered within its objective,
// which counts from its arrival, and until when it may wait in the queue. A request that
// can still be in time waits until startBy; one that is late leaves the queue early
// enough before its deadline for the target and a retry. serviceTime is the usual one of
// its route.
func WaitLimits(now, arrived, deadline time.Time, objective, serviceTime time.Duration) (startBy, giveUpAt time.Time) {
	startBy = arrived.Add(objective - serviceTime - serviceTime/2)
	if startBy.After(now) {
		return startBy, startBy
	}
	return startBy, now.Add(time.Duration(lateWaitShare * float64(deadline.Sub(now)-serviceTime)))
}

const (
	// bodyHoldProbeInterval is the time between two probes of a slow target while the
	// end of a body is held back. It is a fraction of slowdownDecay, the time for which a
	// target stays slow.
	bodyHoldProbeInterval = 30 * time.Millisecond

	// minBodyHold is how long the end of a body may be held back even if the answer then
	// misses its objective. Waiting is worthwhile, since a request takes less time on a
	// target that is no longer slow; after this time one slow target in ten is still slow.
	minBodyHold = 2 * slowdownDecay
)

// BodyHoldDeadline returns until when the end of a long body that has just arrived may
// be held back; startBy is when the target must start for the answer to be in time.
func BodyHoldDeadline(now, startBy time.Time) time.Time {
	if least := now.Add(minBodyHold); startBy.Before(least) {
		return least
	}
	return startBy
}

// BodyHoldDelay returns how long to hold back the end of a body before the target is
// probed again, or 0 to send it now.
func BodyHoldDelay(t *Target, now, until time.Time) time.Duration {
	if t.LastLoad.At.IsZero() || t.recentlyFast(now) || !now.Before(until) {
		return 0
	}
	return bodyHoldProbeInterval
}

// Choice is a selected target with its load and score before the send.
type Choice struct {
	Target     *Target
	Sample     Sample
	Score      float64 // in units of the route's service time on an idle target
	NearlyFull bool    // the send takes the target above saturationThreshold of its slots
}

// ChoiceFor returns the choice for a target to which a send has just been counted.
func (s *Selector) ChoiceFor(t *Target, now time.Time) Choice {
	before := *t
	before.InFlight--
	before.LastLoad.Sent = max(before.LastLoad.Sent-1, 0)
	return Choice{Target: t, Sample: before.LastLoad, Score: before.Score(now, s.Domain), NearlyFull: before.NearlyFull()}
}

// RecordServiceTime records how long a successful request took from the choice of its
// target to the response. On a target that was not nearly full it counts as the route's
// service time, corrected by the score; otherwise as the slowdown of nearly full targets.
func (s *Selector) RecordServiceTime(ch Choice, serviceTime *ServiceTime, took time.Duration) {
	if !ch.NearlyFull {
		serviceTime.Record(took, ch.Score)
		return
	}
	if free := ch.Score / s.Saturation.Slowdown() * float64(serviceTime.OrDefault(0)); free > 0 {
		s.Saturation.Record(float64(took) / free)
	}
}
