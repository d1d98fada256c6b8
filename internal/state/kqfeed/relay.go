package kqfeed

import (
	"context"
	"time"

	"kumquatglade/internal/host/kqevent"
)

// checkLease queries the other entry hosts once the control hosts are silent: an entry
// host may still hear from a control host and can then pass on its view.
func (f *Follower) checkLease() {
	now := f.cfg.Clock.Now()
	f.mu.Lock()
	needsPeers := f.lease.needsPeers(now)
	f.mu.Unlock()
	if needsPeers {
		f.queryPeers()
	}
	f.logLeaseChange()
}

// logLeaseChange logs and records an event when this host stops or starts serving.
func (f *Follower) logLeaseChange() {
	f.mu.Lock()
	defer f.mu.Unlock()
	expired := !f.lease.valid(f.cfg.Clock.Now())
	if expired == f.leaseExpired || f.view.Load() == nil {
		return
	}
	f.leaseExpired = expired
	kind := "lease"
	if expired {
		kind = "expired"
		f.cfg.Log.Warnf("lease expired, not serving: no control host and no majority of entry hosts answers")
	}
	f.cfg.Events.Add(kqevent.Event{Component: "feed", Kind: kind, ContractRevision: f.revision()})
}

// peerStatus is one peer's answer to a status query.
type peerStatus struct {
	peer   string
	status viewStatus
	ok     bool
}

func (f *Follower) queryPeers() {
	v := f.view.Load()
	ctx, cancel := context.WithTimeout(f.ctx, peerStatusTimeout)
	defer cancel()
	startedAt := f.cfg.Clock.Now()
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
	answered := 1 // counts this host
	for range n {
		a := <-answers
		if !a.ok {
			continue
		}
		answered++
		f.adoptPeerView(ctx, a, startedAt)
	}
	if answered > len(v.Hosts.Entry)/2 {
		f.mu.Lock()
		f.lease.extend(startedAt)
		f.mu.Unlock()
	}
}

// adoptPeerView takes over a peer's view if it is newer, and the time at which a control
// host last confirmed it if that is more recent.
func (f *Follower) adoptPeerView(ctx context.Context, a peerStatus, startedAt time.Time) {
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
			f.cfg.Log.Infof("applying view %d from entry host %s", v.Revision, a.peer)
			f.applyView(&v)
		}
		f.mu.Unlock()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.revision() >= a.status.Revision {
		f.lease.confirm(startedAt.Add(-a.status.Age))
	}
}

// ViewStatus returns the answer to a peer's status query.
func (f *Follower) ViewStatus() any {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view.Load() == nil {
		return viewStatus{}
	}
	return viewStatus{Revision: f.revision(), Age: f.lease.age(f.cfg.Clock.Now()), Ready: true}
}
