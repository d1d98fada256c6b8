package kqmodel

import (
	"math"
	"time"

	"kumquatglade/internal/route/kqselection"
)

// policy finds a target for a request at a host.
type policy func(h *host, p *passage)

// Names of the policies.
const (
	Random  = "random"  // any target
	Least   = "least"   // the one with the fewest own requests in progress
	Fresh   = "fresh"   // the product's: asked right before the send, waiting for room
	Perfect = "perfect" // the one that is best by the true state of all, at once
)

var policies = map[string]policy{Random: random, Least: least, Fresh: fresh, Perfect: perfect}

// Policies returns the names of all policies.
func Policies() []string { return []string{Random, Least, Fresh, Perfect} }

// passage is one try of a request at a host.
type passage struct {
	host    *host
	request *request
	policy  policy
	until   time.Time
	sends   int
	tried   map[int]bool
}

func random(h *host, p *passage) { p.send(h.s.rng.IntN(len(h.known)), kqselection.Choice{}) }

func least(h *host, p *passage) {
	best, few := 0, math.MaxInt
	for _, i := range h.s.rng.Perm(len(h.known)) {
		if own := h.known[i].InFlight; own < few && !p.tried[i] {
			best, few = i, own
		}
	}
	p.send(best, kqselection.Choice{})
}

func perfect(h *host, p *passage) {
	best, short := 0, math.Inf(1)
	for _, i := range h.s.rng.Perm(len(h.known)) {
		if x := h.s.targets[i].expected(); x < short {
			best, short = i, x
		}
	}
	p.send(best, kqselection.Choice{})
}

// send gives the request to a target; the choice is empty for policies that do
// not count their sends by themselves.
func (p *passage) send(i int, c kqselection.Choice) {
	h, t := p.host, p.host.s.targets[i]
	k, began := h.known[i], h.s.now
	if c.Target == nil {
		k.InFlight++
	}
	if p.barred(k) {
		p.refused(true)
		return
	}
	h.s.recordSent(i)
	if p.tried == nil {
		p.tried = map[int]bool{}
	}
	p.tried[i] = true
	p.sends++
	way := h.s.distance(h, t)
	p.deliver(i, func() {
		t.take(job{work: p.request.work, until: p.until, end: func(ok bool) {
			told := h.sample(t)
			h.s.after(way, func() { p.ended(k, c, told, ok, h.s.now.Sub(began)) })
		}})
	})
}

// deliver brings the request to a target, and its body, of which the end is held back while
// the target is slow.
func (p *passage) deliver(i int, arrived func()) {
	h, t := p.host, p.host.s.targets[i]
	upload := h.s.classes[p.request.class].Upload
	reach := h.reach(t, h.s.cfg.Once)
	if upload == 0 {
		h.s.after(reach, arrived)
		return
	}
	h.s.after(reach+upload, func() {
		startBy, _ := h.limits(p)
		p.hold(i, kqselection.BodyHoldDeadline(h.s.now, startBy), arrived)
	})
}

// hold asks the target for its load until it may have the last byte of the body.
func (p *passage) hold(i int, until time.Time, arrived func()) {
	h := p.host
	k, t := h.known[i], h.s.targets[i]
	way := h.s.distance(h, t)
	if !h.mayAsk() {
		h.s.after(way, arrived)
		return
	}
	h.s.report.Asked++
	h.s.after(way, func() {
		sample := h.sample(t)
		h.s.after(way, func() {
			sample.At = h.s.now
			k.RecordLoad(sample)
			if pause := p.holdDelay(k, until); pause > 0 {
				h.s.after(pause, func() { p.hold(i, until, arrived) })
				return
			}
			h.s.after(way, arrived)
		})
	})
}

// holdDelay returns how long the last byte is held back before the target is asked again.
func (p *passage) holdDelay(k *kqselection.Target, until time.Time) time.Duration {
	return p.host.chooser.BodyHoldDelay(k, p.host.s.now, until, p.until)
}

func (h *host) sample(t *target) kqselection.Sample {
	return kqselection.Sample{Running: t.running, Waiting: len(t.line), Slots: h.s.cfg.Slots, Slowdown: t.slow}
}

// ended takes the answer of a target, or its word that it did not run the request.
func (p *passage) ended(k *kqselection.Target, c kqselection.Choice, told kqselection.Sample, ok bool, took time.Duration) {
	h := p.host
	k.InFlight--
	told.At = h.s.now
	if ok {
		k.RecordSuccess(h.s.now)
	} else {
		k.RecordFailure(h.s.now)
	}
	if c.Target != nil {
		if ok {
			h.chooser.RecordServiceTime(c, &h.units[p.request.class], took)
		}
		k.RecordLoad(told)
		h.chooser.AssignHeadroom(k, h.s.now)
	}
	switch {
	case h.dark:
		p.refused(true) // the caller's connection broke
	case ok && !h.s.now.After(p.until):
		h.s.answered(p.request)
	case ok:
	case p.sends < h.s.cfg.Attempts && h.budget.Take(h.s.now, len(h.s.hosts)):
		p.policy(h, p)
	default:
		p.refused(true)
	}
}

// refused sends the caller away for a while; soon says that there was room.
func (p *passage) refused(soon bool) {
	s, r := p.host.s, p.request
	if r.tries >= s.cfg.Tries {
		return
	}
	wait := time.Duration(s.rng.Float64() * float64(20*time.Millisecond))
	if !soon {
		wait = backLeast + time.Duration(s.rng.Float64()*backShare*float64(max(r.end.Sub(s.now), 0)))
	}
	if !soon {
		wait += p.host.chooser.ReturnDelay(s.classes[r.class].Priority, max(r.end.Sub(s.now), 0), s.now)
	}
	if s.cfg.Fault.AtOnce && s.inFault(s.now) {
		wait = 0
	}
	s.after(s.cfg.Client+wait, func() { s.try(p.policy, r) })
}
