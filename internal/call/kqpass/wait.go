package kqpass

import (
	"context"
	"time"

	"kumquatglade/internal/route/kqselection"
)

// choice is a chosen target, what was known of it, and how it was found.
type choice struct {
	kqselection.Choice
	findings
	waited time.Duration
	line   int // requests that waited for the service
}

// chooser decides for one service; its fields belong to the engine's lock.
type chooser struct {
	kqselection.Selector
	seeking bool // a goroutine looks for room
}

func (e *Engine) chooser(service string) *chooser {
	c := e.choices[service]
	if c == nil {
		c = &chooser{Selector: kqselection.Selector{Domain: e.cfg.Domain, Rand: e.cfg.Rand, Saturation: &kqselection.Saturation{}}}
		e.choices[service] = c
	}
	return c
}

// choose returns a target with room, counted as sent to; it waits for one as
// long as that helps the request. Without a target the word says why.
func (p *passage) choose(ctx context.Context, tried []*kqselection.Target) (c choice, word string) {
	e := p.engine
	began := e.cfg.Clock.Now()
	e.mu.Lock()
	ch := e.chooser(p.service)
	c.line = ch.Queue.Len()
	many := kqselection.ProbeCount(e.asks.Level())
	e.mu.Unlock()
	if c.line == 0 {
		list, f := e.look(ctx, p.scene, p.service, tried, many, p.route.Objective/askShare)
		c.findings = f
		if len(list) == 0 {
			return c, "no target"
		}
		now := e.cfg.Clock.Now()
		e.mu.Lock()
		if t := ch.Pick(list, f.fresh, now); t != nil {
			c.Choice = ch.ChoiceFor(t, now)
		}
		e.mu.Unlock()
		if c.Target != nil {
			return c, ""
		}
	}
	t, word := p.wait(ctx, ch)
	now := e.cfg.Clock.Now()
	c.waited = now.Sub(began)
	if t != nil {
		e.mu.Lock()
		c.Choice = ch.ChoiceFor(t, now)
		e.mu.Unlock()
	}
	return c, word
}

// wait joins the line and returns the target that it was given.
func (p *passage) wait(ctx context.Context, ch *chooser) (*kqselection.Target, string) {
	e := p.engine
	now := e.cfg.Clock.Now()
	given := make(chan *kqselection.Target, 1)
	w := &kqselection.Waiter{Priority: p.route.Priority, Assign: func(t *kqselection.Target) { given <- t }}
	e.mu.Lock()
	w.StartBy, w.GiveUpAt = p.patience(now)
	if !ch.Queue.Enqueue(w, now) {
		e.mu.Unlock()
		return nil, "no room in time"
	}
	if !ch.seeking {
		ch.seeking = true
		go e.seek(p.service, ch)
	}
	e.mu.Unlock()
	timer := time.NewTimer(w.GiveUpAt.Sub(now))
	defer timer.Stop()
	select {
	case t := <-given:
		return t, ""
	case <-ctx.Done():
	case <-timer.C:
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if ch.Queue.Remove(w) {
		return nil, "no room in time"
	}
	return <-given, "" // given at the last moment
}

// patience returns by when the request must start to be in time, and until when it
// waits at all; the lock is held.
func (p *passage) patience(now time.Time) (latest, until time.Time) {
	unit := p.engine.unit(p.route.Name).OrDefault(p.route.Objective / 3)
	return kqselection.WaitLimits(now, p.born, p.until, p.route.Objective, unit)
}

func (e *Engine) unit(route string) *kqselection.ServiceTime {
	u := e.units[route]
	if u == nil {
		u = &kqselection.ServiceTime{}
		e.units[route] = u
	}
	return u
}

// seek looks for room for the requests that wait, until none does.
func (e *Engine) seek(service string, ch *chooser) {
	ctx := context.Background()
	for {
		e.mu.Lock()
		n := ch.Queue.Len()
		if n == 0 {
			ch.seeking = false
			e.mu.Unlock()
			return
		}
		s := e.scene.Load()
		e.mu.Unlock()
		list, f := e.look(ctx, s, service, nil, kqselection.QueueProbeCount(n), 0)
		e.mu.Lock()
		ch.AssignQueued(list, f.fresh, e.cfg.Clock.Now())
		e.mu.Unlock()
		time.Sleep(kqselection.QueueProbeInterval)
	}
}
