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

// Methods by which hosts without a replica use one.
const (
	MethodCommand = "command"
	MethodRead    = "read"
	MethodReached = "reached"
)

// Query asks for documents of the state.
type Query struct {
	Owner   string `json:"owner,omitempty"` // empty: all owners
	History bool   `json:"history,omitempty"`
	Routes  bool   `json:"routes,omitempty"` // also the routes and their history
}

// Document is what a Query found, confirmed by a quorum.
type Document struct {
	Revision  uint64                          `json:"revision"`
	Contracts map[string]*kqcontract.Contract `json:"contracts"`
	History   []kqcontract.Accepted           `json:"history,omitempty"`
	Hosts     kqcontract.Hosts                `json:"hosts"`
	Digest    string                          `json:"digest"`

	Routes   *kqroutes.Proposal         `json:"routes,omitempty"`
	RouteLog []kqroutes.AcceptedVersion `json:"routeLog,omitempty"`
}

// Reach says where a revision is in force.
type Reach struct {
	Hosts   int      `json:"hosts"`             // entry hosts on which it is in force
	Of      int      `json:"of"`                // entry hosts that the system counts on
	Missing []string `json:"missing,omitempty"` // entry hosts not reached yet
}

// waitRequest asks where a revision is in force after at most Wait.
type waitInForceRequest struct {
	Revision uint64        `json:"revision"`
	Wait     time.Duration `json:"wait"`
}

// Store is what operators' requests need of the replicated state.
type Store interface {
	// Submit has a command accepted or refused; an error means unknown.
	Submit(ctx context.Context, c kqcontract.Command) (kqcontract.Result, error)
	// Read returns documents that a quorum confirmed.
	Read(ctx context.Context, q Query) (Document, error)
	// Reached waits until the revision is in force on all entry hosts, at most wait.
	WaitInForce(ctx context.Context, revision uint64, wait time.Duration) (Reach, error)
}

// Local is the Store of a host with a replica.
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
			doc.Routes, doc.RouteLog = s.Routes.Current, slices.Clone(s.Routes.History)
		}
		if q.History {
			doc.History = s.History(q.Owner)
		}
	})
	return doc, err
}

// Routes returns the routes in force, confirmed by a quorum; nil before the first.
func (l LocalStore) Routes(ctx context.Context) (*kqroutes.Proposal, error) {
	if err := l.Confirm(ctx); err != nil {
		return nil, err
	}
	var p *kqroutes.Proposal
	err := l.View(func(s *kqcontract.State) { p = s.Routes.Current })
	return p, err
}

// Announce takes what a target says of itself; nil says that all hosts in touch
// learn of it. A renewal changes nothing and needs no quorum.
func (l LocalStore) Announce(ctx context.Context, t kqtargets.Target) error {
	news, known := false, true
	err := l.View(func(s *kqcontract.State) {
		news = s.Targets.IsChange(t)
		if s.Routes.Current != nil && t.State != kqtargets.Gone {
			known = s.Routes.Current.Document.HasService(t.Service)
		}
	})
	switch {
	case err != nil:
		return err
	case !known:
		return errors.Newf("announcement of %s: service %q is unknown", t.ID, t.Service)
	case !news:
		return nil
	}
	_, err = l.Submit(ctx, kqcontract.Command{Op: kqcontract.OpTarget, Target: &t})
	return err
}

// Reached implements Store.
func (l LocalStore) WaitInForce(ctx context.Context, revision uint64, wait time.Duration) (Reach, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		acked, more := l.Hub.Acked()
		r, err := l.reach(revision, acked)
		if err != nil || len(r.Missing) == 0 {
			return r, err
		}
		select {
		case <-ctx.Done():
			return r, nil
		case <-more:
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

// Remote is the Store of a host without a replica: it asks a control host.
type RemoteStore struct {
	Link         kq.Link
	ControlHosts []string
	// Hub returns the control host to ask first, empty if none.
	PreferredHost func() string
}

// call asks one control host after the other until one answers.
func (r RemoteStore) call(ctx context.Context, method string, body, out any) error {
	list := slices.Clone(r.ControlHosts)
	if hub := r.PreferredHost(); hub != "" {
		list = append([]string{hub}, list...)
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

// Reached implements Store.
func (r RemoteStore) WaitInForce(ctx context.Context, revision uint64, wait time.Duration) (Reach, error) {
	var reach Reach
	err := r.call(ctx, MethodReached, waitInForceRequest{revision, wait}, &reach)
	return reach, err
}
