package kqdispatch

import (
	"slices"
	"time"

	"kumquatglade/internal/route/kqdirectory"
)

const (
	maxAttempts      = 4 // sends of one call from this host
	freeRetryLimit   = 3 // sends that certainly did not run and may be made again
	minUsableDivisor = 2 // at least one in so many targets stays in use
)

// choose picks a target for the call, nil if none can take it. With free only
// targets with a free slot count.
func (d *Dispatch) choose(now time.Time, c *call, free bool) *target {
	usable := d.usableTargets(now, c)
	if free && !d.cfg.PolicyOnly {
		usable = slices.DeleteFunc(usable, func(t *target) bool { return !t.hasFreeSlot(now) })
	}
	if c.sends > 0 {
		usable = d.preferUntriedDomains(c, usable)
	}
	if len(usable) == 0 {
		return nil
	}
	d.candidates = d.candidates[:0]
	for _, t := range usable {
		d.candidates = append(d.candidates, t.candidate(c.service.meanLatency, now))
	}
	return usable[c.service.policy.Choose(d.candidates, d.cfg.Rand)]
}

// usable returns the targets that the call may go to; the ejected ones stay
// out unless too few would be left to carry the service.
func (d *Dispatch) usableTargets(now time.Time, c *call) []*target {
	s := c.service
	live, kept := 0, s.usableBuf[:0]
	for _, t := range s.targets {
		if !t.acceptsCalls(now) {
			continue
		}
		live++
		if (d.cfg.PolicyOnly || !t.ejected(c.Owner, now)) && !slices.Contains(c.tried, t) {
			kept = append(kept, t)
		}
	}
	s.usableBuf = kept
	if len(kept)+len(c.tried) >= (live+minUsableDivisor-1)/minUsableDivisor {
		return kept
	}
	kept = kept[:0]
	for _, t := range s.targets {
		if t.acceptsCalls(now) && !slices.Contains(c.tried, t) {
			kept = append(kept, t)
		}
	}
	s.usableBuf = kept
	return kept
}

// elsewhere prefers failure domains that the call has not tried.
func (d *Dispatch) preferUntriedDomains(c *call, list []*target) []*target {
	other := make([]*target, 0, len(list))
	for _, t := range list {
		if !slices.ContainsFunc(c.tried, func(o *target) bool { return o.rec.Domain == t.rec.Domain }) {
			other = append(other, t)
		}
	}
	if len(other) > 0 {
		return other
	}
	return list
}

func (d *Dispatch) start(now time.Time, c *call, t *target, hedge bool) {
	d.nextID++
	a := &attempt{id: d.nextID, call: c, target: t, startedAt: now}
	d.attempts[a.id] = a
	c.inFlight = append(c.inFlight, a)
	c.tried = append(c.tried, t)
	c.sends++
	t.inFlight = append(t.inFlight, a)
	d.emit(Start{
		ID: c.ID, Attempt: a.id, Target: t.rec, Hedge: hedge, Number: c.sends,
		Retries: max(0, c.Retries-(c.sends-1)),
	})
}

// hedge sends a call that is slow to a second target, if one is free.
func (d *Dispatch) hedge(now time.Time, c *call) {
	c.hedgeAt = time.Time{}
	if c.answered || len(c.inFlight) != 1 || c.sends > 1 {
		return
	}
	t := d.choose(now, c, true)
	if t == nil || !c.grant.hedges.Spend(c.grant.limits.Hedges) {
		return
	}
	d.start(now, c, t, true)
}

// replied learns from the answer and decides what becomes of the call.
func (d *Dispatch) attemptReplied(now time.Time, ev AttemptReplied) {
	a := d.attempts[ev.Attempt]
	if a == nil {
		return
	}
	a.replied = true
	d.recordReply(now, a, ev)
	c := a.call
	if c.answered {
		return
	}
	switch ev.Outcome {
	case Answered:
		d.deliver(c, a)
	case Cancelled:
	default:
		d.retry(now, c, a, ev.Outcome)
	}
}

// learn updates what is known of the target.
func (d *Dispatch) recordReply(now time.Time, a *attempt, ev AttemptReplied) {
	t, c := a.target, a.call
	if ev.Load.Slots > 0 {
		t.recordLoad(ev.Load.Busy, now)
	}
	switch ev.Outcome {
	case Answered:
		t.recordLatency(now.Sub(a.startedAt), now)
		t.recordSuccess(c.Owner)
		c.service.recordLatency(now.Sub(a.startedAt).Seconds())
	case Cancelled, PoolExhausted:
	case Unsent:
		t.downUntil = now.Add(downTime)
	case Refused:
		if ev.Load.Slots > 0 && ev.Load.Busy >= ev.Load.Slots {
			return // it sheds because it is full, which its load says
		}
		d.countFailure(now, a)
	default:
		d.countFailure(now, a)
	}
}

func (d *Dispatch) countFailure(now time.Time, a *attempt) {
	if until, ejected := a.target.recordFailure(a.call.Owner, now); ejected {
		d.emit(TargetEjected{ID: a.call.ID, Owner: a.call.Owner, Target: a.target.rec.Key(), Until: until})
	}
}

// deliver passes one answer on and gives the other attempts up.
func (d *Dispatch) deliver(c *call, a *attempt) {
	c.answered = true
	d.emit(Deliver{ID: c.ID, Attempt: a.id})
	for _, o := range c.inFlight {
		if o != a {
			d.emit(Cancel{ID: c.ID, Attempt: o.id})
		}
	}
}

// again sends the call to another target if that is safe and allowed. Only an
// idempotent call, or one that certainly did not run, may be sent again.
func (d *Dispatch) retry(now time.Time, c *call, a *attempt, out Outcome) {
	ran := out == NoAnswer || out == Failed
	if ran {
		c.worstOutcome = NoAnswer
	}
	if len(c.inFlight) > 1 {
		c.inFlight = slices.DeleteFunc(c.inFlight, func(o *attempt) bool { return o == a })
		return // the other attempt may still answer
	}
	allowed := d.mayRetry(c, ran)
	if allowed && now.Before(c.Deadline) {
		if t := d.choose(now, c, false); t != nil && d.payForRetry(c, ran) {
			d.start(now, c, t, false)
			return
		}
	}
	d.giveUp(c, a, out)
}

func (d *Dispatch) mayRetry(c *call, ran bool) bool {
	if c.sends >= maxAttempts {
		return false
	}
	if ran {
		return c.Idempotent && c.Retries >= c.sends
	}
	return true
}

// pay takes a repeat from the owner's budget. The first repeats of a send that
// certainly did not run are free: they put no more load on the targets than
// the first send would have.
func (d *Dispatch) payForRetry(c *call, ran bool) bool {
	if !ran && c.sends < freeRetryLimit {
		return true
	}
	return c.grant.retries.Spend(c.grant.limits.Retries)
}

// giveUp passes the target's own answer on, or answers in its place.
func (d *Dispatch) giveUp(c *call, a *attempt, out Outcome) {
	switch {
	case out == Failed:
		d.deliver(c, a)
	case c.worstOutcome == NoAnswer:
		c.answered = true
		d.emit(Fail{ID: c.ID, Reason: ReasonNoAnswer})
	default:
		d.refuse(c, ReasonTarget, kqdirectory.RenewInterval)
	}
}

// ended frees the slot that the attempt held.
func (d *Dispatch) attemptEnded(now time.Time, id uint64) {
	a := d.attempts[id]
	if a == nil {
		return
	}
	delete(d.attempts, id)
	a.target.remove(a)
	a.target.recordAbandoned(now.Sub(a.startedAt), a.replied, now)
	a.call.inFlight = slices.DeleteFunc(a.call.inFlight, func(o *attempt) bool { return o == a })
	d.startQueued(now, a.call.service)
}
