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
	h.s.after(h.reach(t, h.s.cfg.Once), func() {
		t.take(job{work: p.request.work, until: p.until, end: func(ok bool) {
			told := h.sample(t)
			h.s.after(way, func() { p.ended(k, c, told, ok, h.s.now.Sub(began)) })
		}})
	})
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
			h.chooser.RecordServiceTime(c, &h.unit, took)
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
	s.after(s.cfg.Client+wait, func() { s.try(p.policy, r) })
}
