package kqmodel

import (
	"slices"
	"time"

	"kumquatglade/internal/route/kqfresh"
)

// fresh asks a few targets and takes the best, or waits for room, as the
// product's kqpass does.
func fresh(h *host, p *passage) {
	if h.chooser.Line.Len() > 0 {
		h.wait(p)
		return
	}
	list := h.untried(p)
	h.look(list, kqfresh.AskFor(h.asks.Level()), func(worth []*kqfresh.Target, told map[*kqfresh.Target]bool) {
		if t := h.chooser.Best(worth, told, h.s.now); t != nil {
			p.send(h.number(t), h.chooser.Chosen(t, h.s.now))
			return
		}
		h.wait(p)
	})
}

func (h *host) untried(p *passage) []*kqfresh.Target {
	var list []*kqfresh.Target
	for i, t := range h.known {
		if !p.tried[i] {
			list = append(list, t)
		}
	}
	return list
}

func (h *host) number(t *kqfresh.Target) int { return slices.Index(h.known, t) }

func (h *host) mayAsk() bool {
	rate := askPart * h.s.cfg.Questions * float64(len(h.known)) / float64(len(h.s.hosts))
	h.asks.Refill(rate, rate*askSaved, h.s.now)
	return h.asks.Take()
}

// look asks up to n of the targets and goes on once all have answered.
func (h *host) look(list []*kqfresh.Target, n int, then func([]*kqfresh.Target, map[*kqfresh.Target]bool)) {
	worth, ask, told := h.chooser.Look(list, n, h.s.now, h.mayAsk)
	left := len(ask)
	if left == 0 {
		then(worth, told)
		return
	}
	h.s.report.Asked += left
	for _, k := range ask {
		t := h.s.targets[h.number(k)]
		way := h.s.distance(h, t)
		h.s.after(way, func() {
			sample := h.sample(t)
			h.s.after(way, func() {
				sample.At = h.s.now
				k.Told(sample)
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
	now, r := h.s.now, p.request
	given := false
	w := &kqfresh.Waiter{Give: func(t *kqfresh.Target) {
		given = true
		p.send(h.number(t), h.chooser.Chosen(t, h.s.now))
	}}
	w.Latest, w.Until = kqfresh.Patience(now, r.born, p.until, h.s.cfg.Objective, h.unit.Or(h.s.cfg.Objective/3))
	if !h.chooser.Line.Join(w, now) {
		p.refused(false)
		return
	}
	h.s.after(max(w.Until.Sub(now), time.Nanosecond), func() {
		if !given && h.chooser.Line.Leave(w) {
			p.refused(false)
		}
	})
	if !h.seeking {
		h.seeking = true
		h.seek()
	}
}

// seek looks for room for those who wait, until none does.
func (h *host) seek() {
	n := h.chooser.Line.Len()
	if n == 0 || h.dark {
		h.seeking = false
		return
	}
	h.look(h.known, kqfresh.LookFor(n), func(worth []*kqfresh.Target, told map[*kqfresh.Target]bool) {
		h.chooser.Serve(worth, told, h.s.now)
		h.s.after(kqfresh.LookEvery, h.seek)
	})
}
