package kqproxy

import (
	"context"
	"time"

	"kumquatglade/internal/route/kqselection"
)

// choice is a chosen target, what was known of it, and how it was found.
type choice struct {
	kqselection.Choice
	probeResult
	waited   time.Duration
	queueLen int // requests that waited for the service
}

// chooser decides for one service; its fields belong to the engine's lock.
type chooser struct {
	kqselection.Selector
	searching bool // a goroutine looks for room
}

func (e *Engine) chooser(service string) *chooser {
	c := e.choosers[service]
	if c == nil {
		c = &chooser{Selector: kqselection.Selector{Domain: e.cfg.Domain, Rand: e.cfg.Rand, Saturation: &kqselection.Saturation{}}}
		e.choosers[service] = c
	}
	return c
}

// choose returns a target with room, counted as sent to; it waits for one as
// long as that helps the request. Without a target the word says why.
func (p *proxiedRequest) choose(ctx context.Context, tried []*kqselection.Target) (c choice, word string) {
	e := p.engine
	began := e.cfg.Clock.Now()
	e.mu.Lock()
	ch := e.chooser(p.service)
	c.queueLen = ch.Queue.Len()
	many := kqselection.ProbeCount(e.probeAllowance.Level())
	e.mu.Unlock()
	if c.queueLen == 0 {
		list, f := e.probeCandidates(ctx, p.routing, p.service, tried, many, p.route.Objective/firstReplyDivisor)
		c.probeResult = f
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
	t, word := p.waitInQueue(ctx, ch)
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
func (p *proxiedRequest) waitInQueue(ctx context.Context, ch *chooser) (*kqselection.Target, string) {
	e := p.engine
	now := e.cfg.Clock.Now()
	given := make(chan *kqselection.Target, 1)
	w := &kqselection.Waiter{Priority: p.route.Priority, Assign: func(t *kqselection.Target) { given <- t }}
	e.mu.Lock()
	w.StartBy, w.GiveUpAt = p.waitLimits(now)
	if !ch.Queue.Enqueue(w, now) {
		e.mu.Unlock()
		return nil, "no room in time"
	}
	if !ch.searching {
		ch.searching = true
		go e.serveQueue(p.service, ch)
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
func (p *proxiedRequest) waitLimits(now time.Time) (latest, until time.Time) {
	unit := p.engine.serviceTime(p.route.Name).OrDefault(p.route.Objective / 3)
	return kqselection.WaitLimits(now, p.firstTry, p.deadline, p.route.Objective, unit)
}

func (e *Engine) serviceTime(route string) *kqselection.ServiceTime {
	u := e.serviceTimes[route]
	if u == nil {
		u = &kqselection.ServiceTime{}
		e.serviceTimes[route] = u
	}
	return u
}

// seek looks for room for the requests that wait, until none does.
func (e *Engine) serveQueue(service string, ch *chooser) {
	ctx := context.Background()
	for {
		e.mu.Lock()
		n := ch.Queue.Len()
		if n == 0 {
			ch.searching = false
			e.mu.Unlock()
			return
		}
		s := e.routing.Load()
		e.mu.Unlock()
		list, f := e.probeCandidates(ctx, s, service, nil, kqselection.QueueProbeCount(n), 0)
		e.mu.Lock()
		ch.AssignQueued(list, f.fresh, e.cfg.Clock.Now())
		e.mu.Unlock()
		time.Sleep(kqselection.QueueProbeInterval)
	}
}
