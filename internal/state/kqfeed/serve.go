package kqfeed

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Receive handles a one-way message for the hub.
func (h *Hub) Receive(peer, kind string, body json.RawMessage) error {
	var a inForce
	if err := json.Unmarshal(body, &a); err != nil {
		return errors.Wrapf(err, "feed: %s from %s", kind, peer)
	}
	h.Acknowledge(peer, a)
	return nil
}

// Answer handles a subscription.
func (h *Hub) Answer(ctx context.Context, peer string, body json.RawMessage) (any, error) {
	var s subscription
	if err := json.Unmarshal(body, &s); err != nil {
		return nil, errors.Wrapf(err, "feed: subscription of %s", peer)
	}
	return h.subscribe(ctx, peer, s)
}

// Receive handles a one-way message for the follower.
func (f *Follower) Receive(peer, kind string, body json.RawMessage) error {
	var err error
	switch kind {
	case MethodChanges:
		var m changes
		if err = json.Unmarshal(body, &m); err == nil {
			f.changed(peer, m.List)
		}
	case MethodWhole:
		var v View
		if err = json.Unmarshal(body, &v); err == nil {
			f.whole(peer, &v)
		}
	case MethodFresh:
		var m fresh
		if err = json.Unmarshal(body, &m); err == nil {
			f.Fresh(peer, m)
		}
	case MethodEntries:
		var m doors
		if err = json.Unmarshal(body, &m); err == nil {
			f.moved(peer, m)
		}
	case MethodControls:
		var m controls
		if err = json.Unmarshal(body, &m); err == nil && f.cfg.Learned != nil {
			f.cfg.Learned(m.List)
		}
	}
	return errors.Wrapf(err, "feed: %s from %s", kind, peer)
}

// Answer handles a request of another entry host.
func (f *Follower) Answer(kind string) (any, error) {
	if kind == MethodStanding {
		return f.Standing(), nil
	}
	v := f.view.Load()
	if v == nil {
		return nil, errors.New("feed: no view yet")
	}
	return v, nil
}
