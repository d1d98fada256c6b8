package kqdispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	kq "kumquatglade"
	"kumquatglade/internal/route/kqdirectory"
)

// TickInterval is the time between two Tick events while calls are in progress.
const TickInterval = 5 * time.Millisecond

// Config constructs a Dispatch.
type Config struct {
	Policy     func() kq.Policy // a new policy for each service
	PolicyOnly bool             // the policy alone decides, for experiments with baselines
	Rand       *rand.Rand
}

// Dispatch is the reducer of all calls on one entry host.
type Dispatch struct {
	cfg        Config
	services   map[string]*service
	grants     map[grantKey]*grant
	calls      map[uint64]*call
	attempts   map[uint64]*attempt
	nextID     uint64
	candidates []kq.Candidate
	effects    []Effect
}

// call is one call in progress.
type call struct {
	Call
	grant        *grant
	service      *service
	inFlight     []*attempt
	tried        []*target
	sends        int
	queued       bool
	admitted     bool
	answered     bool // an answer was passed on or made
	startTag     float64
	hedgeAt      time.Time
	worstOutcome Outcome // the worst outcome so far: Broken beats the others
}

// attempt is one send of a call.
type attempt struct {
	id        uint64
	call      *call
	target    *target
	startedAt time.Time
	replied   bool
}

// New returns an empty Dispatch.
func New(cfg Config) *Dispatch {
	return &Dispatch{
		cfg: cfg, services: map[string]*service{}, grants: map[grantKey]*grant{},
		calls: map[uint64]*call{}, attempts: map[uint64]*attempt{},
	}
}

// Reduce handles one event.
func (d *Dispatch) Reduce(now time.Time, ev Event) []Effect {
	d.effects = nil
	switch ev := ev.(type) {
	case CallArrived:
		d.callArrived(now, ev.Call)
	case AttemptReplied:
		d.attemptReplied(now, ev)
	case AttemptEnded:
		d.attemptEnded(now, ev.Attempt)
	case CallClosed:
		d.callClosed(now, ev.ID)
	case Tick:
		d.tick(now)
	case TargetUpdated:
		d.targetUpdated(now, ev.Record)
	case LoadReported:
		if t := d.target(ev.Record.Key()); t != nil {
			t.recordAnnouncedLoad(ev.Record.Load, now)
		}
	case LimitsGranted:
		d.limitsGranted(now, ev)
	case LimitsRevoked:
		d.limitsRevoked(ev)
	}
	return d.effects
}

func (d *Dispatch) emit(e Effect) {
	d.effects = append(d.effects, e)
}

func (d *Dispatch) serviceOf(name string) *service {
	s := d.services[name]
	if s == nil {
		s = &service{name: name, policy: d.cfg.Policy()}
		d.services[name] = s
	}
	return s
}

func (d *Dispatch) target(k kqdirectory.Key) *target {
	s := d.services[k.Service]
	if s == nil {
		return nil
	}
	i := slices.IndexFunc(s.targets, func(t *target) bool { return t.rec.ID == k.ID })
	if i < 0 {
		return nil
	}
	return s.targets[i]
}

func (d *Dispatch) targetUpdated(now time.Time, rec kqdirectory.Record) {
	s := d.serviceOf(rec.Service)
	t := d.target(rec.Key())
	switch {
	case t == nil && rec.Live():
		s.targets = append(s.targets, newTarget(rec))
	case t != nil && rec.Live():
		t.update(rec)
	case t != nil:
		s.targets = slices.DeleteFunc(s.targets, func(o *target) bool { return o == t })
	}
	d.startQueued(now, s)
}

func (d *Dispatch) limitsGranted(now time.Time, ev LimitsGranted) {
	k := grantKey{ev.Owner, ev.Service.Name}
	g := d.grants[k]
	if g == nil {
		g = newGrant(ev.Owner, now)
		d.grants[k] = g
		s := d.serviceOf(ev.Service.Name)
		s.grants = append(s.grants, g)
	}
	g.set(ev, now)
	d.startQueued(now, d.serviceOf(ev.Service.Name))
}

func (d *Dispatch) limitsRevoked(ev LimitsRevoked) {
	k := grantKey{ev.Owner, ev.Service}
	g := d.grants[k]
	if g == nil {
		return
	}
	delete(d.grants, k)
	s := d.serviceOf(ev.Service)
	s.grants = slices.DeleteFunc(s.grants, func(o *grant) bool { return o == g })
	for _, c := range slices.Clone(g.waiting) {
		d.refuse(c, ReasonUnknown, 0)
	}
}

// arrive admits a call, queues it or refuses it.
func (d *Dispatch) callArrived(now time.Time, in Call) {
	c := &call{Call: in}
	d.calls[in.ID] = c
	c.grant = d.grants[grantKey{in.Owner, in.Service}]
	if c.grant == nil {
		d.refuse(c, ReasonUnknown, 0)
		return
	}
	c.service = d.serviceOf(in.Service)
	c.grant.arrived++
	if wait, ok := c.grant.bucket.Take(now); !ok {
		d.refuse(c, ReasonRate, wait)
		return
	}
	c.service.assignTag(c)
	if in.Depth > 0 {
		c.grant.nestedAt = now
	}
	if !c.grant.mustWait(in.Depth) && c.grant.active < c.grant.activeLimit(in.Depth, now) && d.startFirst(now, c) {
		return
	}
	d.enqueue(now, c)
}

// enqueue lets the call wait for a place, unless it would wait in vain.
func (d *Dispatch) enqueue(now time.Time, c *call) {
	g := c.grant
	if !c.service.hasTarget(now) {
		d.refuse(c, ReasonTarget, kqdirectory.RenewInterval)
		return
	}
	wait := c.service.expectedWait(len(g.waiting) + 1)
	if len(g.waiting) >= g.share.Queue {
		reason := ReasonQueue
		if g.active >= g.share.Active {
			reason = ReasonActive
		}
		d.refuse(c, reason, max(wait, TickInterval))
		return
	}
	if now.Add(wait).After(c.Deadline) {
		d.refuse(c, ReasonDeadline, wait)
		return
	}
	c.queued = true
	g.insert(c)
}

// first makes the first send if some target has a free slot.
func (d *Dispatch) startFirst(now time.Time, c *call) bool {
	t := d.choose(now, c, true)
	if t == nil {
		return false
	}
	c.queued, c.admitted = false, true
	c.grant.active++
	c.grant.retries.RecordFirstSend(c.grant.limits.Retries)
	c.grant.hedges.RecordFirstSend(c.grant.limits.Hedges)
	c.service.virtualTime = max(c.service.virtualTime, c.startTag)
	d.start(now, c, t, false)
	if !d.cfg.PolicyOnly && c.Idempotent && c.Retries > 0 && c.grant.limits.Hedges > 0 && c.service.tailLatency > 0 {
		c.hedgeAt = now.Add(time.Duration(c.service.tailLatency * float64(time.Second)))
	}
	return true
}

// drain sends waiting calls in their fair order while slots are free.
func (d *Dispatch) startQueued(now time.Time, s *service) {
	if !s.hasTarget(now) {
		d.refuseAll(s)
		return
	}
	for c := s.next(now); c != nil; c = s.next(now) {
		if now.After(c.Deadline) {
			c.grant.remove(c)
			d.refuse(c, ReasonDeadline, 0)
			continue
		}
		if !d.startFirst(now, c) {
			return
		}
		c.grant.remove(c)
	}
}

// refuseAll ends the waiting calls of a service whose last target is gone.
func (d *Dispatch) refuseAll(s *service) {
	for _, g := range s.grants {
		for _, c := range slices.Clone(g.waiting) {
			d.refuse(c, ReasonTarget, kqdirectory.RenewInterval)
		}
	}
}

// refuse ends a call that certainly did not run.
func (d *Dispatch) refuse(c *call, reason Reason, wait time.Duration) {
	if c.answered {
		return
	}
	c.answered = true
	if c.queued {
		c.queued = false
		c.grant.remove(c)
	}
	d.emit(Refuse{ID: c.ID, Reason: reason, Wait: wait})
}

// leave forgets the call and gives up what is still under way for it.
func (d *Dispatch) callClosed(now time.Time, id uint64) {
	c := d.calls[id]
	if c == nil {
		return
	}
	delete(d.calls, id)
	c.answered = true
	if c.queued {
		c.grant.remove(c)
	}
	for _, a := range c.inFlight {
		d.emit(Cancel{ID: id, Attempt: a.id})
	}
	if c.admitted {
		c.grant.active--
		d.startQueued(now, c.service)
	}
}

func (d *Dispatch) tick(now time.Time) {
	for _, s := range d.services {
		d.startQueued(now, s)
	}
	for _, c := range d.calls {
		switch {
		case c.queued && now.After(c.Deadline):
			d.refuse(c, ReasonDeadline, 0)
		case !c.hedgeAt.IsZero() && !now.Before(c.hedgeAt):
			d.hedge(now, c)
		}
	}
}
