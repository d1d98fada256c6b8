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
	searching bool // serveQueue is running
}

// recordSearch ends a round of probes that waited for a first answer for up to firstReplyWait;
// e.mu must be held.
func (c *chooser) recordSearch(list []*kqselection.Target, now time.Time, firstReplyWait time.Duration) {
	c.Search.Record(list, now, max(probeWait, firstReplyWait)+kqselection.QueueProbeInterval)
}

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
	allows := p.allows()
	list := e.routing.Load().untried(p.service, nil, allows)
	if allows != nil && len(list) == 0 {
		return c, causeNoRegion
	}
	if cause, p.quietUntil = e.allBarred(list, started); cause != "" {
		return c, cause
	}
	if p.coldForTooLong(tried, allows, started) {
		return c, causeColdElsewhere
	}
	e.mu.Lock()
	ch := e.chooser(p.service)
	if startBy, _ := p.waitLimits(started); len(tried) == 0 && startBy.After(started) {
		ch.Admission.RecordArrival(p.priority, started)
	}
	c.queueLen = ch.Queue.Len()
	wanted, mustQueue := ch.Queue.Wanted(), ch.MustQueue(p.priority, started)
	if !mustQueue {
		wanted = nil
	}
	if !ch.searching {
		ch.Search.Begin(started)
	}
	maxProbes := kqselection.ProbeCount(e.probeAllowance.Level())
	e.mu.Unlock()
	if !mustQueue || wanted != nil {
		firstReplyWait := p.route.Objective / firstReplyDivisor
		list, result := e.probeCandidates(ctx, p.routing.table, p.service, tried, without(allows, wanted), maxProbes, firstReplyWait)
		c.probeResult = result
		now := e.cfg.Clock.Now()
		if len(list) == 0 && c.queueLen == 0 && !e.allCold(p.service, tried, allows, now) {
			return c, "no target"
		}
		e.mu.Lock()
		ch.recordSearch(list, now, firstReplyWait)
		w := &kqselection.Waiter{Priority: p.priority, Tight: p.isTight()}
		if t := ch.PickFor(w, list, result.fresh, now, p.toleratesCold(now)); t != nil {
			e.recordChoice(&c, ch, t, now)
		}
		c.admission = ch.admissionState(p.priority, now)
		e.mu.Unlock()
		if c.Target != nil {
			return c, ""
		}
	}
	t, cause := p.waitInQueue(ctx, ch, allows)
	now := e.cfg.Clock.Now()
	c.waited = now.Sub(started)
	if t == nil {
		list := e.routing.Load().untried(p.service, nil, allows)
		var barred string
		if barred, p.quietUntil = e.allBarred(list, now); barred == causeEvacuated {
			cause = barred
		}
		if e.allCold(p.service, tried, allows, now) {
			e.metrics.coldRefused.Inc(1)
			cause = causeCold
		}
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

// quietEnd returns when the first of the targets may get requests again if all of them are
// barred for a time that is not worth waiting for, and otherwise the zero time.
func (e *Engine) quietEnd(list []*kqselection.Target, now time.Time) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	end, ok := kqselection.QuietEnd(list, now)
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
func (p *proxiedRequest) waitInQueue(ctx context.Context, ch *chooser, allows func(*kqselection.Target) bool) (*kqselection.Target, string) {
	e := p.engine
	now := e.cfg.Clock.Now()
	assigned := make(chan *kqselection.Target, 1)
	w := &kqselection.Waiter{Priority: p.priority, Allows: allows, Assign: func(t *kqselection.Target) { assigned <- t }}
	e.mu.Lock()
	w.StartBy, w.GiveUpAt = p.waitLimits(now)
	w.ServiceTime, w.Tight = p.expectedServiceTime(), p.isTight()
	if cause := p.keyChange(e.routing.Load().table); cause != "" {
		e.mu.Unlock()
		return nil, cause
	}
	if !ch.Enqueue(w, now) {
		cause := noRoomCause(ch.admissionState(p.priority, now))
		e.mu.Unlock()
		return nil, cause
	}
	var ended chan string // nil: no new document ends the wait
	if p.owner != nil || allows != nil {
		ended = make(chan string, 1)
		e.queued[p] = queuedRequest{ch, w, ended}
	}
	if !ch.searching {
		ch.searching = true
		go e.serveQueue(p.service, ch)
	}
	e.mu.Unlock()
	if ended != nil {
		defer func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			delete(e.queued, p)
		}()
	}
	timer := time.NewTimer(w.GiveUpAt.Sub(now))
	defer timer.Stop()
	select {
	case t := <-assigned:
		return assignment(w, t)
	case cause := <-ended:
		return nil, cause
	case <-ctx.Done():
	case <-timer.C:
	}
	e.mu.Lock()
	removed := ch.Queue.Remove(w)
	if removed {
		defer e.mu.Unlock()
		return p.pickUninformed(ctx, ch, allows)
	}
	e.mu.Unlock()
	select { // what happened just before the request could leave the queue
	case t := <-assigned:
		return assignment(w, t)
	case cause := <-ended:
		return nil, cause
	}
}

// pickUninformed returns a target for a request that has waited as long as it can, if that
// was only because no probe was answered in time, as when the host's link is busy. e.mu
// must be held.
func (p *proxiedRequest) pickUninformed(ctx context.Context, ch *chooser, allows func(*kqselection.Target) bool) (*kqselection.Target, string) {
	e := p.engine
	now := e.cfg.Clock.Now()
	admission := ch.admissionState(p.priority, now)
	noRoom := noRoomCause(admission)
	if ctx.Err() != nil || !ch.Search.Blind() {
		return nil, noRoom
	}
	t := ch.PickUninformed(e.routing.Load().untried(p.service, nil, allows), now)
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

// expectedServiceTime returns how long requests of the route take on an idle target, or a guess
// before the first answer; e.mu must be held.
func (p *proxiedRequest) expectedServiceTime() time.Duration {
	unknown := p.route.Objective / 3
	if p.engine.chooser(p.service).Admission.Active {
		unknown = min(unknown, kqselection.MaxUnknownServiceTime)
	}
	return p.engine.serviceTime(p.route.Name).OrDefault(unknown)
}

// isTight reports whether the request has too little time to wait for others; e.mu must be held.
func (p *proxiedRequest) isTight() bool {
	return kqselection.IsTight(p.route.Objective, p.expectedServiceTime())
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
		wanted := ch.Queue.Wanted()
		mayProbe := e.mayProbeQueued(ch, e.cfg.Clock.Now())
		e.mu.Unlock()
		if cause, _ := e.allBarred(e.routing.Load().targets[service], e.cfg.Clock.Now()); cause != "" {
			e.mu.Lock()
			ch.Queue.Clear()
			e.mu.Unlock()
			continue
		}
		if !mayProbe {
			e.mu.Lock()
			ch.recordSearch(nil, e.cfg.Clock.Now(), 0)
			e.mu.Unlock()
			time.Sleep(kqselection.QueueProbeInterval)
			continue
		}
		list, result := e.probeCandidates(ctx, e.routing.Load().table, service, nil, wanted, kqselection.QueueProbeCount(n), 0)
		e.mu.Lock()
		now := e.cfg.Clock.Now()
		ch.recordSearch(list, now, 0)
		ch.AssignQueued(list, result.fresh, now)
		e.mu.Unlock()
		time.Sleep(kqselection.QueueProbeInterval)
	}
}
