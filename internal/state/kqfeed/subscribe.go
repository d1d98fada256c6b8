package kqfeed

import (
	"context"
	"time"
)

func (f *Follower) subscribe(control string) bool {
	f.mu.Lock()
	f.hub, f.joined, f.held, f.early, f.awaits = control, false, nil, nil, nil
	limit := f.subscribeTime()
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(f.ctx, limit)
	defer cancel()
	asked := f.cfg.Clock.Now()
	var s start
	err := f.cfg.Link.Call(ctx, control, MethodSubscribe, subscription{Revision: f.revision(), Host: f.cfg.Host}, &s)
	if err != nil {
		f.cfg.Log.Debugf("subscribe at %s: %v", control, err)
		f.mu.Lock()
		f.failed++
		f.mu.Unlock()
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lease.confirm(asked)
	f.heard = f.cfg.Clock.Now()
	f.joined = true
	if len(s.Entries) > 0 {
		f.doors.Store(&s.Entries) // a hub that knows none yet will tell as they come
	}
	f.cfg.Log.Infof("follows control host %s from revision %d", control, f.revision())
	if f.cfg.Learned != nil && len(s.Controls) > 0 {
		f.cfg.Learned(s.Controls)
	}
	f.fresh = f.fresh || s.New
	f.take(s)
	return true
}

// triesEach is how many tries to subscribe follow each other before each may take
// twice as long: a whole view on a slow link needs its time, and what is given up
// half way loads the link for nothing.
const triesEach = 4

// subscribeTime returns the time for the next try to subscribe.
func (f *Follower) subscribeTime() time.Duration {
	limit := f.cfg.Subscribe
	if limit == 0 {
		limit = subscribeLimit
	}
	return min(limit<<min(f.failed/triesEach, 8), max(limit, subscribeLimit))
}

// take moves to the state of the answer and to the changes that came meanwhile.
func (f *Follower) take(s start) {
	f.held = append(s.Changes, f.held...)
	v := s.View
	if s.Whole != nil {
		v = f.early
		if v == nil || v.Revision < *s.Whole {
			f.awaits, f.since = s.Whole, f.cfg.Clock.Now()
			return
		}
	}
	f.begin(v)
}

// begin moves to the view, if it is newer, and to the changes that came meanwhile.
func (f *Follower) begin(v *View) {
	f.failed, f.awaits, f.early = 0, nil, nil
	if v != nil && (f.view.Load() == nil || v.Revision > f.revision()) {
		f.enforce(v)
	}
	held := f.held
	f.held = nil
	f.advance(held)
}

// whole takes a view that travels beside the answer to the subscription.
func (f *Follower) whole(peer string, v *View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case peer != f.hub:
	case f.awaits != nil && v.Revision >= *f.awaits:
		f.begin(v)
	case !f.joined:
		f.early = v
	}
}
