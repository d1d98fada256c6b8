package kqfeed

import (
	"context"
	"time"
)

func (f *Follower) subscribe(control string) bool {
	f.mu.Lock()
	f.hub, f.subscribed, f.pendingChanges, f.earlyView, f.awaitedRevision = control, false, nil, nil, nil
	limit := f.subscribeTimeout()
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(f.ctx, limit)
	defer cancel()
	asked := f.cfg.Clock.Now()
	var s subscribeReply
	err := f.cfg.Link.Call(ctx, control, MethodSubscribe, subscription{Revision: f.revision(), Host: f.cfg.Host}, &s)
	if err != nil {
		f.cfg.Log.Debugf("subscribe at %s: %v", control, err)
		f.mu.Lock()
		f.failedSubscribes++
		f.mu.Unlock()
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lease.confirm(asked)
	f.lastHeard = f.cfg.Clock.Now()
	f.subscribed = true
	if len(s.Listeners) > 0 {
		f.listeners.Store(&s.Listeners) // a hub that knows none yet will tell as they come
	}
	f.cfg.Log.Infof("follows control host %s from revision %d", control, f.revision())
	if f.cfg.OnControls != nil && len(s.Controls) > 0 {
		f.cfg.OnControls(s.Controls)
	}
	f.newHost = f.newHost || s.New
	f.applyReply(s)
	return true
}

// triesEach is how many tries to subscribe follow each other before each may take
// twice as long: a whole view on a slow link needs its time, and what is given up
// half way loads the link for nothing.
const triesPerTimeout = 4

// subscribeTime returns the time for the next try to subscribe.
func (f *Follower) subscribeTimeout() time.Duration {
	limit := f.cfg.SubscribeTimeout
	if limit == 0 {
		limit = defaultSubscribeTimeout
	}
	return min(limit<<min(f.failedSubscribes/triesPerTimeout, 8), max(limit, defaultSubscribeTimeout))
}

// take moves to the state of the answer and to the changes that came meanwhile.
func (f *Follower) applyReply(s subscribeReply) {
	f.pendingChanges = append(s.Changes, f.pendingChanges...)
	v := s.View
	if s.ViewRevision != nil {
		v = f.earlyView
		if v == nil || v.Revision < *s.ViewRevision {
			f.awaitedRevision, f.awaitedSince = s.ViewRevision, f.cfg.Clock.Now()
			return
		}
	}
	f.startFrom(v)
}

// begin moves to the view, if it is newer, and to the changes that came meanwhile.
func (f *Follower) startFrom(v *View) {
	f.failedSubscribes, f.awaitedRevision, f.earlyView = 0, nil, nil
	if v != nil && (f.view.Load() == nil || v.Revision > f.revision()) {
		f.applyView(v)
	}
	held := f.pendingChanges
	f.pendingChanges = nil
	f.applyChanges(held)
}

// whole takes a view that travels beside the answer to the subscription.
func (f *Follower) receiveView(peer string, v *View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case peer != f.hub:
	case f.awaitedRevision != nil && v.Revision >= *f.awaitedRevision:
		f.startFrom(v)
	case !f.subscribed:
		f.earlyView = v
	}
}
