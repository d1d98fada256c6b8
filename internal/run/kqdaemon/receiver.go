package kqdaemon

import (
	"context"
	"encoding/json"

	"kumquatglade/internal/admin/kqadmin"
	"kumquatglade/internal/call/kqidempotency"
	"kumquatglade/internal/call/kqquota"
	"kumquatglade/internal/route/kqregistry"
	"kumquatglade/internal/state/kqcontrol"
	"kumquatglade/internal/state/kqfeed"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

// receiver hands what peers send to the part that it is for.
type receiver struct {
	d *Daemon
}

// Receive handles a one-way message.
func (r receiver) Receive(peer, kind string, body json.RawMessage) {
	<-r.d.ready
	if err := r.receive(peer, kind, body); err != nil {
		metrics.GetOrRegisterCounter("peers.malformed", r.d.metrics).Inc(1)
		r.d.log.Warnf("peer %s: %v", peer, err)
	}
}

func (r receiver) receive(peer, kind string, body json.RawMessage) error {
	d := r.d
	switch kind {
	case kqcontrol.MethodReplica:
		if d.control != nil {
			return d.control.ReceiveRaw(peer, body)
		}
	case kqfeed.MethodApplied:
		if d.hub != nil {
			return d.hub.Receive(peer, kind, body)
		}
	case kqfeed.MethodPresence:
		if d.hub != nil {
			return d.handlePresence(peer, body)
		}
	case kqfeed.MethodChanges, kqfeed.MethodFullView, kqfeed.MethodConfirmation, kqfeed.MethodControls, kqfeed.MethodListeners:
		if d.follower != nil {
			return d.follower.Receive(peer, kind, body)
		}
	case kqregistry.MethodTargets, kqregistry.MethodDigest, kqregistry.MethodSync, kqregistry.MethodLeaving:
		if d.targets != nil {
			return d.targets.Receive(peer, kind, body)
		}
	}
	return errors.Newf("no receiver for %q", kind)
}

// Answer handles a request.
func (r receiver) HandleRequest(ctx context.Context, peer, kind string, body json.RawMessage) (any, error) {
	<-r.d.ready
	d := r.d
	switch kind {
	case kqcontrol.MethodSubmit, kqcontrol.MethodCommand, kqcontrol.MethodRead, kqcontrol.MethodReached:
		if d.control != nil {
			return d.localStore.HandleRequest(ctx, kind, body)
		}
	case kqfeed.MethodSubscribe:
		if d.hub != nil {
			return d.hub.Answer(ctx, peer, body)
		}
	case kqfeed.MethodViewStatus, kqfeed.MethodView:
		if d.follower != nil {
			return d.follower.Answer(kind)
		}
	case kqregistry.MethodTargets:
		if d.targets != nil {
			return d.targets.Answer(peer, body)
		}
	case kqidempotency.MethodClaim, kqidempotency.MethodStore, kqidempotency.MethodRelease, kqidempotency.MethodCopy:
		if d.coordinator != nil {
			return d.coordinator.HandleRequest(kind, body)
		}
	case kqquota.MethodReport:
		if d.quota != nil {
			return d.quota.HandleReport(peer, body)
		}
	case kqadmin.MethodStatus, kqadmin.MethodAccount, kqadmin.MethodEvents:
		if d.admin != nil {
			return d.admin.Answer(kind, body)
		}
	}
	return nil, errors.Newf("no part answers %q", kind)
}

// Linked tells the parts of a link that came up or broke.
func (r receiver) LinkChanged(peer string, up bool) {
	<-r.d.ready
	d := r.d
	if d.control != nil {
		d.control.LinkChanged(peer, up)
	}
	if d.hub != nil && !up {
		d.hub.RemoveSubscriber(peer)
	}
	if len(d.settings.Seeds) > 0 {
		d.linkChangedSeeded(peer, up)
	}
	if d.targets != nil {
		d.targets.Linked(peer, up)
	}
}
