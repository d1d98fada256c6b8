package kqdispatch

import (
	"math"
	"time"

	kq "kumquatglade"
	"kumquatglade/internal/route/kqdirectory"
)

const (
	latencyWeight    = 0.2                    // weight of a new sample in the smoothed latency
	othersMeanWeight = 0.1                    // weight of a new sample in the mean load of others
	othersDecay      = 30 * time.Millisecond  // age at which a load sample has lost most of its worth
	latencyDecay     = 5 * time.Second        // age at which a latency sample has lost most of its worth
	othersMeanDecay  = time.Second            // age at which the mean load of others has lost most of its worth
	overcommit       = 3.0                    // calls beyond the slots that a target may be thought to have
	reportPrecedence = 500 * time.Millisecond // a load on an answer beats announced loads so long
	downTime         = time.Second            // no sends so long after a failed connect

	ejectAfterFailures = 3 // failures in a row
	minEjectTime       = 500 * time.Millisecond
	maxEjectTime       = 30 * time.Second
)

// health is one owner's experience with one target.
type health struct {
	failures     int
	ejections    int // ejections in a row
	ejectedUntil time.Time
}

// target is what this host knows of one target.
type target struct {
	rec        kqdirectory.Record
	inFlight   []*attempt // attempts in progress from here, oldest first
	others     float64    // busy slots by other hosts, newest sample
	othersMean float64    // the same, smoothed
	othersAt   time.Time
	latency    float64 // seconds to the first answer byte, smoothed
	sampledAt  time.Time
	answers    int // answers since the target's start
	downUntil  time.Time
	health     map[string]*health
}

func newTarget(rec kqdirectory.Record) *target {
	return &target{rec: rec, health: map[string]*health{}}
}

// update takes new facts; a new epoch is a cold target.
func (t *target) update(rec kqdirectory.Record) {
	if rec.Epoch != t.rec.Epoch {
		t.answers, t.latency, t.others, t.othersMean = 0, 0, 0, 0
		t.downUntil, t.health = time.Time{}, map[string]*health{}
	}
	t.rec = rec
}

// takes reports whether the target accepts new calls at all.
func (t *target) acceptsCalls(now time.Time) bool {
	ready := t.rec.State == kqdirectory.Ready || t.rec.State == kqdirectory.Warming
	return ready && t.rec.Live() && !now.Before(t.downUntil)
}

// ejected reports whether the owner avoids the target now.
func (t *target) ejected(owner string, now time.Time) bool {
	h := t.health[owner]
	return h != nil && now.Before(h.ejectedUntil)
}

// failed notes a failure for the owner; true says that it is ejected now.
func (t *target) recordFailure(owner string, now time.Time) (time.Time, bool) {
	h := t.health[owner]
	if h == nil {
		h = &health{}
		t.health[owner] = h
	}
	h.failures++
	trial := h.ejections > 0 && !now.Before(h.ejectedUntil)
	if h.failures < ejectAfterFailures && !trial {
		return h.ejectedUntil, false
	}
	if now.Before(h.ejectedUntil) {
		return h.ejectedUntil, false
	}
	pause := min(minEjectTime<<min(h.ejections, 10), maxEjectTime)
	h.ejectedUntil, h.failures = now.Add(pause), 0
	h.ejections++
	return h.ejectedUntil, true
}

func (t *target) recordSuccess(owner string) {
	delete(t.health, owner)
}

// report takes a load that counts all calls on the target.
func (t *target) recordLoad(busy int, now time.Time) {
	sample := math.Max(0, float64(busy-len(t.inFlight)))
	if t.othersAt.IsZero() {
		t.othersMean = sample
	}
	t.others = sample
	t.othersMean += othersMeanWeight * (sample - t.othersMean)
	t.othersAt = now
}

// announced takes a load that came with an announcement, which is older.
func (t *target) recordAnnouncedLoad(busy int, now time.Time) {
	if now.Sub(t.othersAt) >= reportPrecedence {
		t.recordLoad(busy, now)
	}
}

// elsewhere estimates the slots that other hosts keep busy now.
func (t *target) otherHostsLoad(now time.Time) float64 {
	age := float64(now.Sub(t.othersAt))
	worth := math.Exp(-age / float64(othersDecay))
	return (t.othersMean + (t.others-t.othersMean)*worth) * math.Exp(-age/float64(othersMeanDecay))
}

// sample takes the latency of one answer.
func (t *target) recordLatency(latency time.Duration, now time.Time) {
	s := latency.Seconds()
	if t.latency == 0 {
		t.latency = s
	}
	t.latency += latencyWeight * (s - t.latency)
	t.sampledAt = now
	t.answers++
}

// outlived learns from an attempt that was given up without an answer: the
// target takes at least that long.
func (t *target) recordAbandoned(age time.Duration, replied bool, now time.Time) {
	if replied || age.Seconds() <= t.latency {
		return
	}
	t.latency += latencyWeight * (age.Seconds() - t.latency)
	t.sampledAt = now
}

// expected returns the latency to expect: an old sample fades towards the
// typical one, and an attempt under way for longer says that it is worse.
func (t *target) expectedLatency(typical float64, now time.Time) float64 {
	l := t.latency
	if l > 0 && typical > 0 {
		worth := math.Exp(-float64(now.Sub(t.sampledAt)) / float64(latencyDecay))
		l = typical + (l-typical)*worth
	}
	if len(t.inFlight) > 0 {
		l = math.Max(l, now.Sub(t.inFlight[0].startedAt).Seconds())
	}
	return l
}

// slots returns how many calls may be sent at the same time: a cold target
// earns its slots by answers.
func (t *target) usableSlots() int {
	n := t.rec.Slots
	switch {
	case t.rec.State == kqdirectory.Warming, t.answers < 3:
		return 1
	case t.answers < 10:
		return min(2, n)
	case t.answers < 30:
		return (n + 1) / 2
	}
	return n
}

// free reports whether one more call may be sent: own calls never exceed the
// slots, while the estimate of others' calls may be wrong by a few.
func (t *target) hasFreeSlot(now time.Time) bool {
	slots := t.usableSlots()
	return len(t.inFlight) < slots && float64(len(t.inFlight))+t.otherHostsLoad(now) < float64(slots)+overcommit
}

func (t *target) candidate(typical float64, now time.Time) kq.Candidate {
	return kq.Candidate{
		ID: t.rec.ID, Domain: t.rec.Domain, Slots: t.rec.Slots, Inflight: len(t.inFlight),
		Weight:  float64(t.usableSlots()) / float64(t.rec.Slots),
		Latency: t.expectedLatency(typical, now),
	}
}

func (t *target) remove(a *attempt) {
	for i, o := range t.inFlight {
		if o == a {
			t.inFlight = append(t.inFlight[:i], t.inFlight[i+1:]...)
			return
		}
	}
}
