package kqdispatch

import (
	"slices"
	"time"

	"kumquatglade/internal/route/kqdirectory"
)

const (
	maxSends     = 4 // sends of one call from this host
	safeBurst    = 3 // sends that certainly did not run and may be made again
	floorDivisor = 2 // at least one in so many targets stays in use
)

// choose picks a target for the call, nil if none can take it. With free only
// targets with a free slot count.
func (d *Dispatch) choose(now time.Time, c *call, free bool) *target {
	usable := d.usable(now, c)
	if free && !d.cfg.Plain {
		usable = slices.DeleteFunc(usable, func(t *target) bool { return !t.free(now) })
	}
	if c.sends > 0 {
		usable = d.elsewhere(c, usable)
	}
	if len(usable) == 0 {
		return nil
	}
	d.list = d.list[:0]
	for _, t := range usable {
		d.list = append(d.list, t.candidate(c.service.typical, now))
	}
	return usable[c.service.policy.Choose(d.list, d.cfg.Rand)]
}

// usable returns the targets that the call may go to; the ejected ones stay
// out unless too few would be left to carry the service.
func (d *Dispatch) usable(now time.Time, c *call) []*target {
	s := c.service
	live, kept := 0, s.scratch[:0]
	for _, t := range s.targets {
		if !t.takes(now) {
			continue
		}
		live++
		if (d.cfg.Plain || !t.ejected(c.Owner, now)) && !slices.Contains(c.tried, t) {
			kept = append(kept, t)
		}
	}
	s.scratch = kept
	if len(kept)+len(c.tried) >= (live+floorDivisor-1)/floorDivisor {
		return kept
	}
	kept = kept[:0]
	for _, t := range s.targets {
		if t.takes(now) && !slices.Contains(c.tried, t) {
			kept = append(kept, t)
		}
	}
	s.scratch = kept
	return kept
}

// elsewhere prefers failure domains that the call has not tried.
func (d *Dispatch) elsewhere(c *call, list []*target) []*target {
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
	a := &attempt{id: d.nextID, call: c, target: t, began: now}
	d.attempts[a.id] = a
	c.open = append(c.open, a)
	c.tried = append(c.tried, t)
	c.sends++
	t.open = append(t.open, a)
	d.emit(Start{
		ID: c.ID, Attempt: a.id, Target: t.rec, Hedge: hedge, Number: c.sends,
		Retries: max(0, c.Retries-(c.sends-1)),
	})
}

// hedge sends a call that is slow to a second target, if one is free.
func (d *Dispatch) hedge(now time.Time, c *call) {
	c.hedgeAt = time.Time{}
	if c.settled || len(c.open) != 1 || c.sends > 1 {
		return
	}
	t := d.choose(now, c, true)
	if t == nil || !c.grant.hedges.Spend(c.grant.terms.Hedges) {
		return
	}
	d.start(now, c, t, true)
}

// replied learns from the answer and decides what becomes of the call.
func (d *Dispatch) replied(now time.Time, ev Replied) {
	a := d.attempts[ev.Attempt]
	if a == nil {
		return
	}
	a.replied = true
	d.learn(now, a, ev)
	c := a.call
	if c.settled {
		return
	}
	switch ev.Outcome {
	case Answered:
		d.deliver(c, a)
	case Cancelled:
	default:
		d.again(now, c, a, ev.Outcome)
	}
}

// learn updates what is known of the target.
func (d *Dispatch) learn(now time.Time, a *attempt, ev Replied) {
	t, c := a.target, a.call
	if ev.Load.Slots > 0 {
		t.report(ev.Load.Busy, now)
	}
	switch ev.Outcome {
	case Answered:
		t.sample(now.Sub(a.began), now)
		t.succeeded(c.Owner)
		c.service.sample(now.Sub(a.began).Seconds())
	case Cancelled, Crowded:
	case Unsent:
		t.down = now.Add(downTime)
	case Refused:
		if ev.Load.Slots > 0 && ev.Load.Busy >= ev.Load.Slots {
			return // it sheds because it is full, which its load says
		}
		d.failure(now, a)
	default:
		d.failure(now, a)
	}
}

func (d *Dispatch) failure(now time.Time, a *attempt) {
	if until, ejected := a.target.failed(a.call.Owner, now); ejected {
		d.emit(Ejected{ID: a.call.ID, Owner: a.call.Owner, Target: a.target.rec.Key(), Until: until})
	}
}

// deliver passes one answer on and gives the other attempts up.
func (d *Dispatch) deliver(c *call, a *attempt) {
	c.settled = true
	d.emit(Deliver{ID: c.ID, Attempt: a.id})
	for _, o := range c.open {
		if o != a {
			d.emit(Cancel{ID: c.ID, Attempt: o.id})
		}
	}
}

// again sends the call to another target if that is safe and allowed. Only an
// idempotent call, or one that certainly did not run, may be sent again.
func (d *Dispatch) again(now time.Time, c *call, a *attempt, out Outcome) {
	ran := out == Broken || out == Failed
	if ran {
		c.failed = Broken
	}
	if len(c.open) > 1 {
		c.open = slices.DeleteFunc(c.open, func(o *attempt) bool { return o == a })
		return // the other attempt may still answer
	}
	allowed := d.mayRepeat(c, ran)
	if allowed && now.Before(c.Deadline) {
		if t := d.choose(now, c, false); t != nil && d.pay(c, ran) {
			d.start(now, c, t, false)
			return
		}
	}
	d.giveUp(c, a, out)
}

func (d *Dispatch) mayRepeat(c *call, ran bool) bool {
	if c.sends >= maxSends {
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
func (d *Dispatch) pay(c *call, ran bool) bool {
	if !ran && c.sends < safeBurst {
		return true
	}
	return c.grant.retries.Spend(c.grant.terms.Retries)
}

// giveUp passes the target's own answer on, or answers in its place.
func (d *Dispatch) giveUp(c *call, a *attempt, out Outcome) {
	switch {
	case out == Failed:
		d.deliver(c, a)
	case c.failed == Broken:
		c.settled = true
		d.emit(Fail{ID: c.ID, Reason: ReasonBroken})
	default:
		d.refuse(c, ReasonTarget, kqdirectory.RenewInterval)
	}
}

// ended frees the slot that the attempt held.
func (d *Dispatch) ended(now time.Time, id uint64) {
	a := d.attempts[id]
	if a == nil {
		return
	}
	delete(d.attempts, id)
	a.target.remove(a)
	a.target.outlived(now.Sub(a.began), a.replied, now)
	a.call.open = slices.DeleteFunc(a.call.open, func(o *attempt) bool { return o == a })
	d.drain(now, a.call.service)
}
