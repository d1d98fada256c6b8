package kqcontrol

import (
	"context"
	"slices"
	"time"

	kq "kumquatglade"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqfeed"
	"kumquatglade/internal/state/kqroutes"
	"kumquatglade/internal/state/kqtargets"

	"github.com/cockroachdb/errors"
)

// Kinds of requests that hosts without a replica send to control hosts.
const (
	MethodCommand = "command"
	MethodRead    = "read"
	MethodReached = "reached"

	MethodEvacuate = "evacuate"
)

// Query selects the documents to read from the state.
type Query struct {
	Owner   string `json:"owner,omitempty"` // empty: all owners
	History bool   `json:"history,omitempty"`
	Routes  bool   `json:"routes,omitempty"` // include the routes and their history

	Evacuations bool `json:"evacuations,omitempty"` // include the entries of failure domains
	// RouteLog includes the history of the routes without the routes, whose source has the
	// keys of owners: it may go to a host that needs none.
	RouteLog bool `json:"routeLog,omitempty"`
}

// Document is the result of a Query, confirmed by a quorum.
type Document struct {
	Revision  uint64                          `json:"revision"`
	Contracts map[string]*kqcontract.Contract `json:"contracts"`
	History   []kqcontract.Accepted           `json:"history,omitempty"`
	Hosts     kqcontract.Hosts                `json:"hosts"`
	Digest    string                          `json:"digest"`

	Routes   *kqroutes.Proposal         `json:"routes,omitempty"`
	RouteLog []kqroutes.AcceptedVersion `json:"routeLog,omitempty"`

	Evacuations []kqcontract.Evacuation `json:"evacuations,omitempty"`
}

// Reach reports on how many entry hosts a revision is in force.
type Reach struct {
	Hosts   int      `json:"hosts"`             // number of entry hosts on which it is in force
	Of      int      `json:"of"`                // number of all listed entry hosts
	Missing []string `json:"missing,omitempty"` // entry hosts on which it is not in force yet
}

// waitInForceRequest asks for the Reach of a revision, after waiting for at most Wait
// until it is in force on all entry hosts.
type waitInForceRequest struct {
	Revision uint64        `json:"revision"`
	Wait     time.Duration `json:"wait"`
}

// Store gives the handlers of operators' requests access to the replicated state.
type Store interface {
	// Submit returns the result of a command; an error means that the outcome is
	// unknown.
	Submit(ctx context.Context, c kqcontract.Command) (kqcontract.Result, error)
	// Read returns documents confirmed by a quorum, or an error if none confirms.
	Read(ctx context.Context, q Query) (Document, error)
	// WaitInForce waits, for at most wait, until the revision is in force on all entry
	// hosts. A revision that is still missing on some is not an error.
	WaitInForce(ctx context.Context, revision uint64, wait time.Duration) (Reach, error)
	// Evacuate evacuates a failure domain or ends its evacuation, and returns its entry.
	// It fails with kqcontract.ErrUnknownDomain if nothing was changed nor will be; any
	// other error means that the outcome is unknown.
	Evacuate(ctx context.Context, domain string, on bool) (kqcontract.Evacuation, error)
}

// LocalStore is the Store of a host with a replica.
type LocalStore struct {
	*Control
	Hub *kqfeed.Hub
}

// Read implements Store.
func (l LocalStore) Read(ctx context.Context, q Query) (Document, error) {
	if err := l.Confirm(ctx); err != nil {
		return Document{}, err
	}
	doc := Document{Contracts: map[string]*kqcontract.Contract{}}
	err := l.View(func(s *kqcontract.State) {
		doc.Revision, doc.Hosts, doc.Digest = s.Revision, s.Hosts, s.Digest()
		for owner, rec := range s.Owners {
			if rec.Current != nil && (q.Owner == "" || q.Owner == owner) {
				doc.Contracts[owner] = rec.Current
			}
		}
		if q.Routes {
			doc.Routes = s.Routes.Current
		}
		if q.Routes || q.RouteLog {
			doc.RouteLog = slices.Clone(s.Routes.History)
		}
		if q.Evacuations {
			doc.Evacuations = s.Evacuations
		}
		if q.History {
			doc.History = s.History(q.Owner)
		}
	})
	return doc, err
}

// Routes returns the routes in force, confirmed by a quorum, or nil if none were set.
func (l LocalStore) Routes(ctx context.Context) (*kqroutes.Proposal, error) {
	if err := l.Confirm(ctx); err != nil {
		return nil, err
	}
	var p *kqroutes.Proposal
	err := l.View(func(s *kqcontract.State) { p = s.Routes.Current })
	return p, err
}

// Announce applies an announcement that a target makes about itself. After nil, all
// connected hosts receive the change. A renewal of a ready target promises nothing and
// needs no quorum. A leave does, unless this host's state, which may lag or be empty,
// shows it in effect for good.
// An error marked kqtargets.ErrInvalid means that it changed nothing and never will, any
// other an unknown service, a full directory or an unknown outcome.
func (l LocalStore) Announce(ctx context.Context, t kqtargets.Target) error {
	if err := t.Validate(time.Now()); err != nil {
		return err
	}
	known, foreign, serviceKnown, hasRoom := false, false, true, true
	err := l.View(func(s *kqcontract.State) {
		t.ColdLimited = s.Routes.Current != nil && s.Routes.Current.Document.HasColdRate(t.Service)
		if t.State == kqtargets.Ready {
			known = !s.Targets.IsChange(t, l.cfg.Clock.Now())
		} else {
			known = s.Targets.IsFinal(t)
		}
		hasRoom, foreign = s.Targets.HasRoom(t), s.Targets.IsForeign(t)
		if s.Routes.Current != nil && t.State != kqtargets.Gone {
			serviceKnown = s.Routes.Current.Document.HasService(t.Service)
		}
	})
	switch {
	case err != nil:
		return err
	case !serviceKnown:
		return errors.Newf("announcement of %s: service %q is unknown", t.ID, t.Service)
	case foreign:
		return errors.Mark(errors.Newf("announcement of %s: it names no start, which is known of this target", t.ID), kqtargets.ErrInvalid)
	case known:
		return nil
	case !hasRoom:
		return errors.Newf("announcement of %s: too many targets", t.ID)
	}
	res, err := l.Submit(ctx, kqcontract.Command{Op: kqcontract.OpTarget, Target: &t})
	if err == nil && res.Refused == kqcontract.ReasonStale {
		err = errors.Mark(errors.Newf("announcement of %s: it names no start and later ones came before it", t.ID), kqtargets.ErrInvalid)
	} else if err == nil && res.Refused != "" {
		err = errors.Newf("announcement of %s: refused: %s", t.ID, res.Refused)
	}
	return err
}

// WaitInForce implements Store.
func (l LocalStore) WaitInForce(ctx context.Context, revision uint64, wait time.Duration) (Reach, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		acked, ackChanged := l.Hub.Acked()
		r, err := l.reach(revision, acked)
		if err != nil || len(r.Missing) == 0 {
			return r, err
		}
		select {
		case <-ctx.Done():
			return r, nil
		case <-ackChanged:
		}
	}
}

func (l LocalStore) reach(revision uint64, acked map[string]uint64) (Reach, error) {
	var r Reach
	err := l.View(func(s *kqcontract.State) {
		r.Of = len(s.Hosts.Entry)
		for _, h := range s.Hosts.Entry {
			if acked[h.Name] < revision {
				r.Missing = append(r.Missing, h.Name)
				continue
			}
			r.Hosts++
		}
	})
	return r, err
}

// RemoteStore is the Store of a host without a replica; it sends requests to control
// hosts.
type RemoteStore struct {
	Link kq.Link
	// ControlHosts returns the control hosts known now.
	ControlHosts func() []string
	// PreferredHost returns the control host to try first, empty if none.
	PreferredHost func() string
}

// call sends the request to one control host after the other until one answers.
func (r RemoteStore) call(ctx context.Context, method string, body, out any) error {
	list := r.ControlHosts()
	if preferred := r.PreferredHost(); preferred != "" {
		list = append([]string{preferred}, list...)
	}
	err := errors.New("no control host")
	for _, c := range list {
		if !r.Link.Up(c) {
			continue
		}
		if err = r.Link.Call(ctx, c, method, body, out); err == nil {
			return nil
		}
	}
	return errors.Wrap(err, "control")
}

// Submit implements Store.
func (r RemoteStore) Submit(ctx context.Context, c kqcontract.Command) (kqcontract.Result, error) {
	var res kqcontract.Result
	err := r.call(ctx, MethodCommand, c, &res)
	return res, err
}

// Read implements Store.
func (r RemoteStore) Read(ctx context.Context, q Query) (Document, error) {
	var doc Document
	err := r.call(ctx, MethodRead, q, &doc)
	return doc, err
}

// WaitInForce implements Store.
func (r RemoteStore) WaitInForce(ctx context.Context, revision uint64, wait time.Duration) (Reach, error) {
	var reach Reach
	err := r.call(ctx, MethodReached, waitInForceRequest{revision, wait}, &reach)
	return reach, err
}
