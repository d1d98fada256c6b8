package kqdispatch

import (
	"math"
	"time"

	kq "kumquatglade"
	"kumquatglade/internal/route/kqdirectory"
)

const (
	latencyGain  = 0.2                    // weight of a new sample in the smoothed latency
	othersGain   = 0.1                    // weight of a new sample in the mean load of others
	othersDecay  = 30 * time.Millisecond  // age at which a load sample has lost most of its worth
	latencyDecay = 5 * time.Second        // age at which a latency sample has lost most of its worth
	meanDecay    = time.Second            // age at which the mean load of others has lost most of its worth
	overcommit   = 3.0                    // calls beyond the slots that a target may be thought to have
	reportHolds  = 500 * time.Millisecond // a load on an answer beats announced loads so long
	downTime     = time.Second            // no sends so long after a failed connect

	ejectAfter   = 3 // failures in a row
	ejectTime    = 500 * time.Millisecond
	maxEjectTime = 30 * time.Second
)

// health is one owner's experience with one target.
type health struct {
	streak int
	turns  int // ejections in a row
	until  time.Time
}

// target is what this host knows of one target.
type target struct {
	rec      kqdirectory.Record
	open     []*attempt // attempts in progress from here, oldest first
	others   float64    // busy slots by other hosts, newest sample
	othersM  float64    // the same, smoothed
	othersAt time.Time
	latency  float64 // seconds to the first answer byte, smoothed
	sampled  time.Time
	answers  int // answers since the target's start
	down     time.Time
	health   map[string]*health
}

func newTarget(rec kqdirectory.Record) *target {
	return &target{rec: rec, health: map[string]*health{}}
}

// update takes new facts; a new epoch is a cold target.
func (t *target) update(rec kqdirectory.Record) {
	if rec.Epoch != t.rec.Epoch {
		t.answers, t.latency, t.others, t.othersM = 0, 0, 0, 0
		t.down, t.health = time.Time{}, map[string]*health{}
	}
	t.rec = rec
}

// takes reports whether the target accepts new calls at all.
func (t *target) takes(now time.Time) bool {
	ready := t.rec.State == kqdirectory.Ready || t.rec.State == kqdirectory.Warming
	return ready && t.rec.Live() && !now.Before(t.down)
}

// ejected reports whether the owner avoids the target now.
func (t *target) ejected(owner string, now time.Time) bool {
	h := t.health[owner]
	return h != nil && now.Before(h.until)
}

// failed notes a failure for the owner; true says that it is ejected now.
func (t *target) failed(owner string, now time.Time) (time.Time, bool) {
	h := t.health[owner]
	if h == nil {
		h = &health{}
		t.health[owner] = h
	}
	h.streak++
	trial := h.turns > 0 && !now.Before(h.until)
	if h.streak < ejectAfter && !trial {
		return h.until, false
	}
	if now.Before(h.until) {
		return h.until, false
	}
	pause := min(ejectTime<<min(h.turns, 10), maxEjectTime)
	h.until, h.streak = now.Add(pause), 0
	h.turns++
	return h.until, true
}

func (t *target) succeeded(owner string) {
	delete(t.health, owner)
}

// report takes a load that counts all calls on the target.
func (t *target) report(busy int, now time.Time) {
	sample := math.Max(0, float64(busy-len(t.open)))
	if t.othersAt.IsZero() {
		t.othersM = sample
	}
	t.others = sample
	t.othersM += othersGain * (sample - t.othersM)
	t.othersAt = now
}

// announced takes a load that came with an announcement, which is older.
func (t *target) announced(busy int, now time.Time) {
	if now.Sub(t.othersAt) >= reportHolds {
		t.report(busy, now)
	}
}

// elsewhere estimates the slots that other hosts keep busy now.
func (t *target) elsewhere(now time.Time) float64 {
	age := float64(now.Sub(t.othersAt))
	worth := math.Exp(-age / float64(othersDecay))
	return (t.othersM + (t.others-t.othersM)*worth) * math.Exp(-age/float64(meanDecay))
}

// sample takes the latency of one answer.
func (t *target) sample(latency time.Duration, now time.Time) {
	s := latency.Seconds()
	if t.latency == 0 {
		t.latency = s
	}
	t.latency += latencyGain * (s - t.latency)
	t.sampled = now
	t.answers++
}

// outlived learns from an attempt that was given up without an answer: the
// target takes at least that long.
func (t *target) outlived(age time.Duration, replied bool, now time.Time) {
	if replied || age.Seconds() <= t.latency {
		return
	}
	t.latency += latencyGain * (age.Seconds() - t.latency)
	t.sampled = now
}

// expected returns the latency to expect: an old sample fades towards the
// typical one, and an attempt under way for longer says that it is worse.
func (t *target) expected(typical float64, now time.Time) float64 {
	l := t.latency
	if l > 0 && typical > 0 {
		worth := math.Exp(-float64(now.Sub(t.sampled)) / float64(latencyDecay))
		l = typical + (l-typical)*worth
	}
	if len(t.open) > 0 {
		l = math.Max(l, now.Sub(t.open[0].began).Seconds())
	}
	return l
}

// slots returns how many calls may be sent at the same time: a cold target
// earns its slots by answers.
func (t *target) slots() int {
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
func (t *target) free(now time.Time) bool {
	slots := t.slots()
	return len(t.open) < slots && float64(len(t.open))+t.elsewhere(now) < float64(slots)+overcommit
}

func (t *target) candidate(typical float64, now time.Time) kq.Candidate {
	return kq.Candidate{
		ID: t.rec.ID, Domain: t.rec.Domain, Slots: t.rec.Slots, Inflight: len(t.open),
		Weight:  float64(t.slots()) / float64(t.rec.Slots),
		Latency: t.expected(typical, now),
	}
}

func (t *target) remove(a *attempt) {
	for i, o := range t.open {
		if o == a {
			t.open = append(t.open[:i], t.open[i+1:]...)
			return
		}
	}
}
