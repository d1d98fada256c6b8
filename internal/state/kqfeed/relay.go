package kqfeed

import (
	"context"
	"time"

	"kumquatglade/internal/host/kqevent"
)

// keepLease asks the other entry hosts once the control hosts are silent: one
// of them may still be served, and then passes the view on.
func (f *Follower) keepLease() {
	now := f.cfg.Clock.Now()
	f.mu.Lock()
	asks := f.lease.asks(now)
	f.mu.Unlock()
	if asks {
		f.askPeers()
	}
	f.noteLease()
}

// noteLease logs and records when serving stops and starts.
func (f *Follower) noteLease() {
	f.mu.Lock()
	defer f.mu.Unlock()
	refused := !f.lease.serves(f.cfg.Clock.Now())
	if refused == f.refused || f.view.Load() == nil {
		return
	}
	f.refused = refused
	kind := "lease"
	if refused {
		kind = "expired"
		f.cfg.Log.Warnf("cut off: no control host and no majority of entry hosts answers")
	}
	f.cfg.Events.Add(kqevent.Event{Component: "feed", Kind: kind, ContractRevision: f.revision()})
}

// answerOf is what one peer said of its standing.
type answerOf struct {
	peer string
	s    standing
	ok   bool
}

func (f *Follower) askPeers() {
	v := f.view.Load()
	ctx, cancel := context.WithTimeout(f.ctx, askLimit)
	defer cancel()
	asked := f.cfg.Clock.Now()
	answers := make(chan answerOf, len(v.Hosts.Entry))
	n := 0
	for _, h := range v.Hosts.Entry {
		if h.Name == f.cfg.Host.Name {
			continue
		}
		n++
		go func() {
			var s standing
			err := f.cfg.Link.Call(ctx, h.Name, MethodStanding, nil, &s)
			answers <- answerOf{h.Name, s, err == nil}
		}()
	}
	heard := 1 // this host
	for range n {
		a := <-answers
		if !a.ok {
			continue
		}
		heard++
		f.learn(ctx, a, asked)
	}
	if heard > len(v.Hosts.Entry)/2 {
		f.mu.Lock()
		f.lease.excuse(asked)
		f.mu.Unlock()
	}
}

// learn takes over a newer view and a younger confirmation of a peer.
func (f *Follower) learn(ctx context.Context, a answerOf, asked time.Time) {
	if !a.s.Ready {
		return
	}
	if a.s.Revision > f.revision() {
		var v View
		if err := f.cfg.Link.Call(ctx, a.peer, MethodView, nil, &v); err != nil {
			return
		}
		f.mu.Lock()
		if v.Revision > f.revision() {
			f.enforce(&v)
		}
		f.mu.Unlock()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.revision() >= a.s.Revision {
		f.lease.confirm(asked.Add(-a.s.Age))
	}
}

// Standing answers a peer that asks how recently the view was confirmed.
func (f *Follower) Standing() any {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view.Load() == nil {
		return standing{}
	}
	return standing{Revision: f.revision(), Age: f.lease.age(f.cfg.Clock.Now()), Ready: true}
}
