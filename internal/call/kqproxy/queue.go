package kqproxy

import (
	"context"
	"time"

	"kumquatglade/internal/route/kqselection"
)

// choice is a chosen target with the probe results and how long the request waited for
// it.
type choice struct {
	kqselection.Choice
	probeResult
	waited   time.Duration
	queueLen int       // number of requests that already waited for the service
	revision uint64    // of the routing state in force when the target was chosen
	at       time.Time // when the target was chosen

	admission admissionState
}

// chooser chooses targets for one service. The engine's mutex guards it.
type chooser struct {
	kqselection.Selector
	searching  bool      // serveQueue is running
	informedAt time.Time // when a probe was last answered in time to choose by it
}

// maxUninformed is how long after the last timely answer to a probe the queue counts as
// uninformed: several rounds of probes.
const maxUninformed = 8 * kqselection.QueueProbeInterval

// chooser returns the chooser of the service; e.mu must be held.
func (e *Engine) chooser(service string) *chooser {
	c := e.choosers[service]
	if c == nil {
		c = &chooser{Selector: kqselection.Selector{Domain: e.cfg.Domain, Rand: e.cfg.Rand, Saturation: &kqselection.Saturation{}}}
		e.choosers[service] = c
	}
	return c
}

// choose returns a target with room and counts a send to it. If no target has room,
// it waits for one within the limits of waitLimits. Without a target, cause says why.
func (p *proxiedRequest) choose(ctx context.Context, tried []*kqselection.Target) (c choice, cause string) {
	e := p.engine
	started := e.cfg.Clock.Now()
	if p.quietUntil = e.quietEnd(p.service, started); !p.quietUntil.IsZero() {
		return c, causeQuiet
	}
	e.mu.Lock()
	ch := e.chooser(p.service)
	if startBy, _ := p.waitLimits(started); len(tried) == 0 && startBy.After(started) {
		ch.Admission.RecordArrival(p.priority, started)
	}
	c.queueLen = ch.Queue.Len()
	mustQueue := ch.MustQueue(p.priority, started)
	maxProbes := kqselection.ProbeCount(e.probeAllowance.Level())
	e.mu.Unlock()
	if !mustQueue {
		list, result := e.probeCandidates(ctx, p.routing.table, p.service, tried, maxProbes, p.route.Objective/firstReplyDivisor)
		c.probeResult = result
		if len(list) == 0 {
			return c, "no target"
		}
		now := e.cfg.Clock.Now()
		e.mu.Lock()
		if t := ch.PickFor(p.priority, list, result.fresh, now); t != nil {
			e.recordChoice(&c, ch, t, now)
		}
		c.admission = ch.admissionState(p.priority, now)
		e.mu.Unlock()
		if c.Target != nil {
			return c, ""
		}
	}
	t, cause := p.waitInQueue(ctx, ch)
	now := e.cfg.Clock.Now()
	c.waited = now.Sub(started)
	if t == nil {
		p.quietUntil = e.quietEnd(p.service, now)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	c.admission = ch.admissionState(p.priority, now)
	if t != nil {
		e.recordChoice(&c, ch, t, now)
	}
	return c, cause
}

// causeQuiet says why a request is refused while all targets of its service ask for quiet.
const causeQuiet = "all targets asked for quiet"

// quietEnd returns when the first target of the service may get requests again if all of
// them are barred for a time that is not worth waiting for, and otherwise the zero time.
func (e *Engine) quietEnd(service string, now time.Time) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	end, ok := kqselection.QuietEnd(e.routing.Load().targets[service], now)
	if !ok || end.Sub(now) < minRetryDelay {
		return time.Time{}
	}
	return end
}

// recordChoice records the chosen target, to which a send has just been counted; e.mu
// must be held.
func (e *Engine) recordChoice(c *choice, ch *chooser, t *kqselection.Target, now time.Time) {
	c.Choice, c.at, c.revision = ch.ChoiceFor(t, now), now, e.routing.Load().revision
}

// waitInQueue queues the request and returns the target that it was assigned, or nil
// and the cause.
func (p *proxiedRequest) waitInQueue(ctx context.Context, ch *chooser) (*kqselection.Target, string) {
	e := p.engine
	now := e.cfg.Clock.Now()
	assigned := make(chan *kqselection.Target, 1)
	w := &kqselection.Waiter{Priority: p.priority, Assign: func(t *kqselection.Target) { assigned <- t }}
	e.mu.Lock()
	w.StartBy, w.GiveUpAt = p.waitLimits(now)
	if !ch.Enqueue(w, now) {
		cause := noRoomCause(ch.admissionState(p.priority, now))
		e.mu.Unlock()
		return nil, cause
	}
	if !ch.searching {
		ch.searching = true
		go e.serveQueue(p.service, ch)
	}
	e.mu.Unlock()
	timer := time.NewTimer(w.GiveUpAt.Sub(now))
	defer timer.Stop()
	select {
	case t := <-assigned:
		return assignment(w, t)
	case <-ctx.Done():
	case <-timer.C:
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if ch.Queue.Remove(w) {
		return p.pickUninformed(ctx, ch)
	}
	return assignment(w, <-assigned) // assigned just before the request could leave the queue
}

// pickUninformed returns a target for a request that has waited as long as it can, if that
// was only because no probe was answered in time, as when the host's link is busy. e.mu
// must be held.
func (p *proxiedRequest) pickUninformed(ctx context.Context, ch *chooser) (*kqselection.Target, string) {
	e := p.engine
	now := e.cfg.Clock.Now()
	admission := ch.admissionState(p.priority, now)
	noRoom := noRoomCause(admission)
	if ctx.Err() != nil || admission.yields || now.Sub(ch.informedAt) <= maxUninformed {
		return nil, noRoom
	}
	t := ch.PickUninformed(e.routing.Load().targets[p.service], now)
	if t == nil {
		return nil, noRoom
	}
	ch.Admission.RecordStart(p.priority, now)
	e.metrics.uninformed.Inc(1)
	return t, ""
}

// waitLimits returns the time by which the request must start to meet the objective of
// its route, and the time at which it leaves the queue. e.mu must be held.
func (p *proxiedRequest) waitLimits(now time.Time) (latestStart, waitUntil time.Time) {
	return kqselection.WaitLimits(now, p.firstTry, p.deadline, p.route.Objective, p.expectedServiceTime())
}

// expectedServiceTime returns how long requests of the route take on an idle target; e.mu
// must be held.
func (p *proxiedRequest) expectedServiceTime() time.Duration {
	return p.engine.serviceTime(p.route.Name).OrDefault(min(p.route.Objective/3, kqselection.MaxUnknownServiceTime))
}

// serviceTime returns the usual service time of the route's requests on an idle
// target; e.mu must be held.
func (e *Engine) serviceTime(route string) *kqselection.ServiceTime {
	u := e.serviceTimes[route]
	if u == nil {
		u = &kqselection.ServiceTime{}
		e.serviceTimes[route] = u
	}
	return u
}

// serveQueue looks for targets with room and assigns them to the queued requests until
// the queue is empty.
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
		mayProbe := e.mayProbeQueued(ch, e.cfg.Clock.Now())
		e.mu.Unlock()
		if !e.quietEnd(service, e.cfg.Clock.Now()).IsZero() {
			e.mu.Lock()
			ch.Queue.Clear()
			e.mu.Unlock()
			continue
		}
		if !mayProbe {
			time.Sleep(kqselection.QueueProbeInterval)
			continue
		}
		list, result := e.probeCandidates(ctx, e.routing.Load().table, service, nil, kqselection.QueueProbeCount(n), 0)
		e.mu.Lock()
		ch.AssignQueued(list, result.fresh, e.cfg.Clock.Now())
		e.mu.Unlock()
		time.Sleep(kqselection.QueueProbeInterval)
	}
}
