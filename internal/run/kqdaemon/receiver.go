package kqdaemon

import (
	"context"
	"encoding/json"
	"runtime/debug"

	"kumquatglade/internal/admin/kqadmin"
	"kumquatglade/internal/call/kqidempotency"
	"kumquatglade/internal/call/kqquota"
	"kumquatglade/internal/route/kqregistry"
	"kumquatglade/internal/route/kqtokens"
	"kumquatglade/internal/state/kqcontrol"
	"kumquatglade/internal/state/kqfeed"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

// receiver passes messages and requests of peers to the component that handles them.
type receiver struct {
	d *Daemon
}

// Receive handles a one-way message of a peer.
func (r receiver) Receive(peer, kind string, body json.RawMessage) {
	<-r.d.ready
	if err := r.contain(func() error { return r.receive(peer, kind, body) }); err != nil {
		metrics.GetOrRegisterCounter("peers.malformed", r.d.metrics).Inc(1)
		r.d.log.Warnf("peer %s: %v", peer, err)
	}
}

// contain returns a panic of f as an error: a message that a component cannot handle must
// not end the process, which serves others. What the replica decides runs elsewhere and is
// not contained, as its state may then be wrong.
func (r receiver) contain(f func() error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			metrics.GetOrRegisterCounter("peers.panics", r.d.metrics).Inc(1)
			r.d.log.Errorf("a message made a component panic: %v\n%s", p, debug.Stack())
			err = errors.Newf("panic: %v", p)
		}
	}()
	return f()
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
		if d.presence != nil {
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
	return errors.Newf("no component of this host receives messages of kind %q", kind)
}

// HandleRequest handles a request of a peer and returns the response.
func (r receiver) HandleRequest(ctx context.Context, peer, kind string, body json.RawMessage) (answer any, err error) {
	<-r.d.ready
	err = r.contain(func() error {
		answer, err = r.handleRequest(ctx, peer, kind, body)
		return err
	})
	return answer, err
}

func (r receiver) handleRequest(ctx context.Context, peer, kind string, body json.RawMessage) (any, error) {
	d := r.d
	switch kind {
	case kqcontrol.MethodSubmit, kqcontrol.MethodCommand, kqcontrol.MethodRead, kqcontrol.MethodReached:
		if d.control != nil {
			return d.localStore.HandleRequest(ctx, kind, body)
		}
	case kqtokens.MethodTokens:
		if d.voter != nil {
			return d.voter.Handle(peer, body)
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

// LinkChanged notifies the components that a link came up or broke.
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
