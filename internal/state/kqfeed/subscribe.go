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
	ctx, cancel := f.callContext(control, limit)
	defer cancel()
	startedAt := f.cfg.Clock.Now()
	var reply subscribeReply
	err := f.cfg.Link.Call(ctx, control, MethodSubscribe, subscription{Revision: f.revision(), Host: f.cfg.Host}, &reply)
	if err != nil {
		f.cfg.Log.Debugf("subscription to control host %s failed: %v", control, err)
		f.mu.Lock()
		f.failedSubscribes++
		f.mu.Unlock()
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lease.confirm(startedAt)
	f.setHeard(f.cfg.Clock.Now())
	f.subscribed, f.subscribedAt = true, startedAt
	if len(reply.Listeners) > 0 {
		f.listeners.Store(&reply.Listeners) // a hub that knows none yet sends them later
	}
	f.cfg.Log.Infof("subscribed to control host %s from revision %d", control, f.revision())
	if f.cfg.OnControls != nil && len(reply.Controls) > 0 {
		f.cfg.OnControls(reply.Controls)
	}
	f.newHost = f.newHost || reply.New
	f.applyReply(reply)
	f.recordSubscribed()
	return true
}

// callContext returns a context that ends after the time limit, or later if the answer of
// the control host is arriving then.
func (f *Follower) callContext(control string, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(f.ctx, limit+maxTransfer)
	var check func()
	check = func() {
		if f.cfg.Link.Receiving(control) {
			time.AfterFunc(searchInterval, check)
			return
		}
		cancel()
	}
	timer := time.AfterFunc(limit, check)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// triesPerTimeout is how many attempts to subscribe fail before the timeout doubles. A
// full view takes long on a slow link, and a transfer that is given up half way loads
// the link for nothing.
const triesPerTimeout = 4

// subscribeTimeout returns the timeout of the next attempt to subscribe. The lock is held.
func (f *Follower) subscribeTimeout() time.Duration {
	limit := f.cfg.SubscribeTimeout
	if limit == 0 {
		limit = defaultSubscribeTimeout
	}
	if f.view.Load() == nil {
		limit = max(limit, f.cfg.FirstTimeout)
	}
	return min(limit<<min(f.failedSubscribes/triesPerTimeout, 8), max(limit, defaultSubscribeTimeout))
}

// applyReply applies the reply to a subscription, or waits for the full view that it
// announces. The lock is held.
func (f *Follower) applyReply(reply subscribeReply) {
	f.pendingChanges = append(reply.Changes, f.pendingChanges...)
	v := reply.View
	if reply.ViewRevision != nil {
		v = f.earlyView
		if v == nil || v.Revision < *reply.ViewRevision {
			f.awaitedRevision, f.awaitedSince = reply.ViewRevision, f.cfg.Clock.Now()
			return
		}
	}
	f.startFrom(v)
}

// startFrom applies the view if it is newer, then the changes that arrived meanwhile.
func (f *Follower) startFrom(v *View) {
	f.failedSubscribes, f.awaitedRevision, f.earlyView = 0, nil, nil
	if v != nil && (f.view.Load() == nil || v.Revision > f.revision()) {
		f.cfg.Log.Infof("applying view %d from control host %s, held back %d changes", v.Revision, f.hub, len(f.pendingChanges))
		f.applyView(v)
	}
	pending := f.pendingChanges
	f.pendingChanges = nil
	f.applyChanges(pending)
}

// receiveView handles a full view, which may arrive before or after the subscription
// reply that announces it.
func (f *Follower) receiveView(peer string, v *View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case peer != f.hub:
	case f.awaitedRevision != nil && v.Revision >= *f.awaitedRevision:
		f.startFrom(v)
		f.recordSubscribed()
	case !f.subscribed:
		f.earlyView = v
	}
}
