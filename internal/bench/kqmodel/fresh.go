package kqmodel

import (
	"slices"
	"time"

	"kumquatglade/internal/route/kqselection"
)

// fresh asks a few targets and takes the best, or waits for room, as the
// product's kqproxy does.
func fresh(h *host, p *passage) {
	priority := h.s.classes[p.request.class].Priority
	if startBy, _ := h.limits(p); startBy.After(h.s.now) {
		h.chooser.Admission.RecordArrival(priority, h.s.now)
	}
	if h.chooser.MustQueue(priority, h.s.now) {
		h.wait(p)
		return
	}
	list := h.untried(p)
	h.look(list, kqselection.ProbeCount(h.asks.Level()), func(worth []*kqselection.Target, told map[*kqselection.Target]bool) {
		w := &kqselection.Waiter{Priority: priority, Tight: h.isTight(p)}
		if t := h.chooser.PickFor(w, worth, told, h.s.now, p.toleratesCold()); t != nil {
			p.send(h.number(t), h.chooser.ChoiceFor(t, h.s.now))
			return
		}
		h.wait(p)
	})
}

func (h *host) untried(p *passage) []*kqselection.Target {
	var list []*kqselection.Target
	for i, t := range h.known {
		if !p.tried[i] {
			list = append(list, t)
		}
	}
	return list
}

func (h *host) number(t *kqselection.Target) int { return slices.Index(h.known, t) }

func (h *host) mayAsk() bool {
	h.refillAsks()
	return h.asks.Take()
}

func (h *host) refillAsks() {
	rate := askPart * h.s.cfg.Questions * float64(len(h.known)) / float64(len(h.s.hosts))
	h.asks.Refill(rate, rate*askSaved, h.s.now)
}

// look asks up to n of the targets and goes on once all have answered.
func (h *host) look(list []*kqselection.Target, n int, then func([]*kqselection.Target, map[*kqselection.Target]bool)) {
	if h.s.cfg.ConnectedFirst {
		for i, k := range h.known {
			k.Connected = !h.used[i].IsZero() && h.s.now.Sub(h.used[i]) <= h.s.cfg.KeepIdle
		}
	}
	worth, ask, told := h.chooser.PlanProbes(list, n, h.s.now, h.mayAsk)
	left := len(ask)
	if left == 0 {
		then(worth, told)
		return
	}
	h.s.report.Asked += left
	for _, k := range ask {
		t := h.s.targets[h.number(k)]
		way := h.s.distance(h, t)
		h.s.after(h.reach(t, false), func() {
			sample := h.sample(t)
			h.s.after(way, func() {
				sample.At = h.s.now
				k.RecordLoad(sample)
				told[k] = true
				if left--; left == 0 {
					then(worth, told)
				}
			})
		})
	}
}

// wait joins the line, or refuses at once.
func (h *host) wait(p *passage) {
	now := h.s.now
	given := false
	w := &kqselection.Waiter{Priority: h.s.classes[p.request.class].Priority, Assign: func(t *kqselection.Target) {
		given = true
		p.send(h.number(t), h.chooser.ChoiceFor(t, h.s.now))
	}}
	w.StartBy, w.GiveUpAt = h.limits(p)
	w.ServiceTime, w.Tight = h.serviceTime(p), h.isTight(p)
	if h.coldUntil(w.GiveUpAt) {
		p.refused(true)
		return
	}
	if !h.chooser.Enqueue(w, now) {
		p.refused(false)
		return
	}
	h.s.after(max(w.GiveUpAt.Sub(now), time.Nanosecond), func() {
		if !given && h.chooser.Queue.Remove(w) {
			p.refused(false)
		}
	})
	if !h.seeking {
		h.seeking = true
		h.seek()
	}
}

// limits returns by when the request must start, and until when it may wait.
func (h *host) limits(p *passage) (startBy, giveUpAt time.Time) {
	return kqselection.WaitLimits(h.s.now, p.request.born, p.until, h.s.classes[p.request.class].Objective, h.serviceTime(p))
}

// isTight reports whether the request has too little time to wait for others.
func (h *host) isTight(p *passage) bool {
	return kqselection.IsTight(h.s.classes[p.request.class].Objective, h.serviceTime(p))
}

// serviceTime returns how long requests of the class take on an idle target.
func (h *host) serviceTime(p *passage) time.Duration {
	unknown := min(h.s.classes[p.request.class].Objective/3, kqselection.MaxUnknownServiceTime)
	return h.units[p.request.class].OrDefault(unknown)
}

// seek looks for room for those who wait, until none does.
func (h *host) seek() {
	n := h.chooser.Queue.Len()
	if n == 0 || h.dark {
		h.seeking = false
		return
	}
	h.refillAsks()
	if !h.chooser.MayProbeQueued(h.asks.Level(), h.s.now) {
		h.s.after(kqselection.QueueProbeInterval, h.seek)
		return
	}
	h.look(h.known, kqselection.QueueProbeCount(n), func(worth []*kqselection.Target, told map[*kqselection.Target]bool) {
		h.chooser.AssignQueued(worth, told, h.s.now)
		h.s.after(kqselection.QueueProbeInterval, h.seek)
	})
}
