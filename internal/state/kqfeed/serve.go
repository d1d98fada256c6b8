package kqfeed

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Receive handles a one-way message for the hub.
func (h *Hub) Receive(peer, kind string, body json.RawMessage) error {
	var a appliedRevisions
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
			f.receiveChanges(peer, m.List)
		}
	case MethodFullView:
		var v View
		if err = json.Unmarshal(body, &v); err == nil {
			f.receiveView(peer, &v)
		}
	case MethodConfirmation:
		var m confirmation
		if err = json.Unmarshal(body, &m); err == nil {
			f.ReceiveConfirmation(peer, m)
		}
	case MethodListeners:
		var m listenerChanges
		if err = json.Unmarshal(body, &m); err == nil {
			f.updateListeners(peer, m)
		}
	case MethodControls:
		var m controlHosts
		if err = json.Unmarshal(body, &m); err == nil && f.cfg.OnControls != nil {
			f.cfg.OnControls(m.List)
		}
	}
	return errors.Wrapf(err, "feed: %s from %s", kind, peer)
}

// Answer handles a request of another entry host.
func (f *Follower) Answer(kind string) (any, error) {
	if kind == MethodViewStatus {
		return f.ViewStatus(), nil
	}
	v := f.view.Load()
	if v == nil {
		return nil, errors.New("feed: no view yet")
	}
	return v, nil
}
