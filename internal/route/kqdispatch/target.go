package kqdispatch

import (
	"math"
	"time"

	kq "kumquatglade"
	"kumquatglade/internal/route/kqdirectory"
)

const (
	latencyWeight    = 0.2                    // weight of the newest sample in the smoothed latency
	othersMeanWeight = 0.1                    // weight of the newest sample in the mean load from other hosts
	othersDecay      = 30 * time.Millisecond  // age at which the weight of a load sample has fallen by a factor of e
	latencyDecay     = 5 * time.Second        // age at which the weight of the smoothed latency has fallen by a factor of e
	othersMeanDecay  = time.Second            // age at which the mean load from other hosts has fallen by a factor of e
	overcommit       = 3.0                    // calls beyond the slots, by the estimate, up to which a target gets calls
	reportPrecedence = 500 * time.Millisecond // for which a load reported with an answer overrides announced loads
	downTime         = time.Second            // for which a target gets no calls after a failed connection attempt

	ejectAfterFailures = 3 // consecutive failures
	minEjectTime       = 500 * time.Millisecond
	maxEjectTime       = 30 * time.Second
)

// health records the failures of one target for one owner.
type health struct {
	failures     int
	ejections    int // consecutive ejections
	ejectedUntil time.Time
}

// target is what this host knows of one target.
type target struct {
	rec        kqdirectory.Record
	inFlight   []*attempt // attempts from this host, oldest first
	others     float64    // slots kept busy by other hosts, newest sample
	othersMean float64    // the same, smoothed
	othersAt   time.Time
	latency    float64 // smoothed seconds to the first byte of the answer
	sampledAt  time.Time
	answers    int // since the target's start
	downUntil  time.Time
	health     map[string]*health
}

func newTarget(rec kqdirectory.Record) *target {
	return &target{rec: rec, health: map[string]*health{}}
}

// update takes a new record. A new epoch means that the target restarted: its history is
// dropped and it is cold.
func (t *target) update(rec kqdirectory.Record) {
	if rec.Epoch != t.rec.Epoch {
		t.answers, t.latency, t.others, t.othersMean = 0, 0, 0, 0
		t.downUntil, t.health = time.Time{}, map[string]*health{}
	}
	t.rec = rec
}

// acceptsCalls reports whether the target accepts new calls at all.
func (t *target) acceptsCalls(now time.Time) bool {
	ready := t.rec.State == kqdirectory.Ready || t.rec.State == kqdirectory.Warming
	return ready && t.rec.Live() && !now.Before(t.downUntil)
}

// ejected reports whether the target is ejected for the owner now.
func (t *target) ejected(owner string, now time.Time) bool {
	h := t.health[owner]
	return h != nil && now.Before(h.ejectedUntil)
}

// recordFailure counts a failure for the owner. It returns until when the target is
// ejected, and whether this failure ejected it. After an ejection one failure is enough for
// the next one, which takes twice as long.
func (t *target) recordFailure(owner string, now time.Time) (time.Time, bool) {
	h := t.health[owner]
	if h == nil {
		h = &health{}
		t.health[owner] = h
	}
	h.failures++
	onProbation := h.ejections > 0 && !now.Before(h.ejectedUntil)
	if h.failures < ejectAfterFailures && !onProbation {
		return h.ejectedUntil, false
	}
	if now.Before(h.ejectedUntil) {
		return h.ejectedUntil, false
	}
	duration := min(minEjectTime<<min(h.ejections, 10), maxEjectTime)
	h.ejectedUntil, h.failures = now.Add(duration), 0
	h.ejections++
	return h.ejectedUntil, true
}

func (t *target) recordSuccess(owner string) {
	delete(t.health, owner)
}

// recordLoad takes a reported load; busy counts the calls of all hosts on the target.
func (t *target) recordLoad(busy int, now time.Time) {
	sample := math.Max(0, float64(busy-len(t.inFlight)))
	if t.othersAt.IsZero() {
		t.othersMean = sample
	}
	t.others = sample
	t.othersMean += othersMeanWeight * (sample - t.othersMean)
	t.othersAt = now
}

// recordAnnouncedLoad takes a load from an announcement. It is older than a load reported
// with an answer and is ignored for reportPrecedence after one.
func (t *target) recordAnnouncedLoad(busy int, now time.Time) {
	if now.Sub(t.othersAt) >= reportPrecedence {
		t.recordLoad(busy, now)
	}
}

// otherHostsLoad estimates the number of slots that other hosts keep busy now.
func (t *target) otherHostsLoad(now time.Time) float64 {
	age := float64(now.Sub(t.othersAt))
	remaining := math.Exp(-age / float64(othersDecay))
	return (t.othersMean + (t.others-t.othersMean)*remaining) * math.Exp(-age/float64(othersMeanDecay))
}

// recordLatency takes the latency of one answer.
func (t *target) recordLatency(latency time.Duration, now time.Time) {
	seconds := latency.Seconds()
	if t.latency == 0 {
		t.latency = seconds
	}
	t.latency += latencyWeight * (seconds - t.latency)
	t.sampledAt = now
	t.answers++
}

// recordAbandoned takes the age of an attempt that ended without a reply as a lower bound
// of the target's latency.
func (t *target) recordAbandoned(age time.Duration, replied bool, now time.Time) {
	if replied || age.Seconds() <= t.latency {
		return
	}
	t.latency += latencyWeight * (age.Seconds() - t.latency)
	t.sampledAt = now
}

// expectedLatency returns the expected latency in seconds. An old value decays towards the
// mean of all targets; the age of the oldest attempt in flight is a lower bound.
func (t *target) expectedLatency(typical float64, now time.Time) float64 {
	latency := t.latency
	if latency > 0 && typical > 0 {
		remaining := math.Exp(-float64(now.Sub(t.sampledAt)) / float64(latencyDecay))
		latency = typical + (latency-typical)*remaining
	}
	if len(t.inFlight) > 0 {
		latency = math.Max(latency, now.Sub(t.inFlight[0].startedAt).Seconds())
	}
	return latency
}

// usableSlots returns how many calls may be in flight on the target: a cold target gets
// more slots as it answers calls.
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

// hasFreeSlot reports whether one more call may be sent. Calls from this host never exceed
// the slots, while the estimate of the calls from other hosts may be wrong by a few.
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
