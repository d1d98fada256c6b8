package kqfeed

import (
	"context"
	"time"

	"kumquatglade/internal/host/kqevent"
)

// keepLease asks the other entry hosts once the control hosts are silent: one
// of them may still be served, and then passes the view on.
func (f *Follower) checkLease() {
	now := f.cfg.Clock.Now()
	f.mu.Lock()
	asks := f.lease.needsPeers(now)
	f.mu.Unlock()
	if asks {
		f.queryPeers()
	}
	f.logLeaseChange()
}

// noteLease logs and records when serving stops and starts.
func (f *Follower) logLeaseChange() {
	f.mu.Lock()
	defer f.mu.Unlock()
	refused := !f.lease.valid(f.cfg.Clock.Now())
	if refused == f.leaseExpired || f.view.Load() == nil {
		return
	}
	f.leaseExpired = refused
	kind := "lease"
	if refused {
		kind = "expired"
		f.cfg.Log.Warnf("cut off: no control host and no majority of entry hosts answers")
	}
	f.cfg.Events.Add(kqevent.Event{Component: "feed", Kind: kind, ContractRevision: f.revision()})
}

// answerOf is what one peer said of its standing.
type peerStatus struct {
	peer   string
	status viewStatus
	ok     bool
}

func (f *Follower) queryPeers() {
	v := f.view.Load()
	ctx, cancel := context.WithTimeout(f.ctx, peerStatusTimeout)
	defer cancel()
	asked := f.cfg.Clock.Now()
	answers := make(chan peerStatus, len(v.Hosts.Entry))
	n := 0
	for _, h := range v.Hosts.Entry {
		if h.Name == f.cfg.Host.Name {
			continue
		}
		n++
		go func() {
			var s viewStatus
			err := f.cfg.Link.Call(ctx, h.Name, MethodViewStatus, nil, &s)
			answers <- peerStatus{h.Name, s, err == nil}
		}()
	}
	heard := 1 // this host
	for range n {
		a := <-answers
		if !a.ok {
			continue
		}
		heard++
		f.adoptPeerView(ctx, a, asked)
	}
	if heard > len(v.Hosts.Entry)/2 {
		f.mu.Lock()
		f.lease.extend(asked)
		f.mu.Unlock()
	}
}

// learn takes over a newer view and a younger confirmation of a peer.
func (f *Follower) adoptPeerView(ctx context.Context, a peerStatus, asked time.Time) {
	if !a.status.Ready {
		return
	}
	if a.status.Revision > f.revision() {
		var v View
		if err := f.cfg.Link.Call(ctx, a.peer, MethodView, nil, &v); err != nil {
			return
		}
		f.mu.Lock()
		if v.Revision > f.revision() {
			f.applyView(&v)
		}
		f.mu.Unlock()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.revision() >= a.status.Revision {
		f.lease.confirm(asked.Add(-a.status.Age))
	}
}

// Standing answers a peer that asks how recently the view was confirmed.
func (f *Follower) ViewStatus() any {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view.Load() == nil {
		return viewStatus{}
	}
	return viewStatus{Revision: f.revision(), Age: f.lease.age(f.cfg.Clock.Now()), Ready: true}
}
