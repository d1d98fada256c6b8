package kqcall

import (
	"context"
	"net/http"
	"time"

	"kumquatglade/internal/call/kqaccount"
	"kumquatglade/internal/call/kqforward"
	"kumquatglade/internal/call/kqheader"
	"kumquatglade/internal/call/kqkeyed"
	"kumquatglade/internal/host/kqevent"
	"kumquatglade/internal/route/kqdispatch"
)

// ServeHTTP serves one call.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := e.cfg.Clock.Now()
	if e.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	q, p := e.check(r, now)
	if p == nil {
		if err := q.readBody(w, r); err != nil {
			bad := q.problem(http.StatusBadRequest, "body", kqheader.RunNo, 0)
			bad.Detail = err.Error()
			p = &bad
			w.Header().Set("Connection", "close") // the rest of the body is not read
		}
	}
	if p != nil {
		e.deny(w, q, *p)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	if q.key != "" && !q.idempotent && e.cfg.Keeper != nil {
		e.serveKeyed(ctx, w, r, q)
	} else {
		e.serveOnce(ctx, w, r, q, nil)
	}
	e.served.UpdateSince(now)
}

// serveOnce carries one call out; a non-nil claim hears how it ended.
func (e *Engine) serveOnce(ctx context.Context, w http.ResponseWriter, r *http.Request, q *request, claim *kqkeyed.Claim) {
	c := e.newCall(ctx, q, r)
	c.claim = claim
	defer c.finish()
	c.run(w)
}

// deny answers a call that did not pass its checks.
func (e *Engine) deny(w http.ResponseWriter, q *request, p problem) {
	e.refused.Inc(1)
	cause := kqaccount.Malformed
	if p.status == http.StatusUnauthorized {
		cause = kqaccount.Denied
	}
	if q.version > 0 {
		e.book.Add(q.owner, kqaccount.Key{Cause: cause, Service: q.service.Name, Version: q.version})
	}
	e.cfg.Events.Add(kqevent.Event{Part: "calls", Kind: "denied", Owner: p.Owner, Service: p.Service, Text: p.Error})
	p.write(w)
}

// call is one call in progress.
type call struct {
	engine  *Engine
	ctx     context.Context
	req     *request
	in      *http.Request
	id      uint64
	name    string
	effects chan kqdispatch.Effect
	results chan result
	sent    map[uint64]*send
	replies map[uint64]*kqforward.Reply
	gone    chan struct{}  // closed when nobody waits for results any more
	claim   *kqkeyed.Claim // of the call's key, nil if it has none
}

// send is one attempt under way.
type send struct {
	target string
	cancel context.CancelFunc
}

// result is how one attempt ended up to its first answer byte.
type result struct {
	attempt uint64
	reply   *kqforward.Reply
	err     error
}

func (e *Engine) newCall(ctx context.Context, q *request, r *http.Request) *call {
	id, effects := e.enter()
	c := &call{
		engine: e, ctx: ctx, req: q, in: r, id: id, name: q.call, effects: effects,
		results: make(chan result), sent: map[uint64]*send{}, replies: map[uint64]*kqforward.Reply{},
		gone: make(chan struct{}),
	}
	if c.name == "" {
		c.name = callID(e.cfg.Host, id)
	}
	e.Feed(kqdispatch.CallArrived{Call: kqdispatch.Call{
		ID: id, Owner: q.owner, Service: q.service.Name, Idempotent: q.idempotent,
		Deadline: q.deadline, Retries: q.retries, Depth: q.depth,
	}})
	return c
}

// finish forgets the call and ends its attempts.
func (c *call) finish() {
	close(c.gone)
	c.engine.Feed(kqdispatch.CallClosed{ID: c.id})
	// Answers come first: cancelling an attempt closes its connection, which a
	// whole answer leaves fit for reuse.
	for attempt, reply := range c.replies {
		c.end(attempt, reply)
	}
	for _, s := range c.sent {
		s.cancel()
	}
	c.engine.exit(c.id)
}

// run carries out effects until the caller has an answer.
func (c *call) run(w http.ResponseWriter) {
	for {
		select {
		case eff := <-c.effects:
			if c.perform(w, eff) {
				return
			}
		case res := <-c.results:
			c.took(res)
		case <-c.ctx.Done():
			c.late(w)
			return
		}
	}
}

// perform carries out one effect; true says that the caller has its answer.
func (c *call) perform(w http.ResponseWriter, eff kqdispatch.Effect) bool {
	switch eff := eff.(type) {
	case kqdispatch.Start:
		c.start(eff)
	case kqdispatch.Cancel:
		if s := c.sent[eff.Attempt]; s != nil {
			s.cancel()
		}
	case kqdispatch.Deliver:
		c.deliver(w, eff.Attempt)
		return true
	case kqdispatch.Refuse:
		c.refuse(w, eff)
		return true
	case kqdispatch.Fail:
		c.answer(w, http.StatusBadGateway, string(eff.Reason), kqheader.RunUnknown, 0)
		return true
	}
	return false
}

func (c *call) refuse(w http.ResponseWriter, eff kqdispatch.Refuse) {
	status := http.StatusServiceUnavailable
	if eff.Reason == kqdispatch.ReasonRate || eff.Reason == kqdispatch.ReasonActive {
		status = http.StatusTooManyRequests
	}
	if eff.Reason == kqdispatch.ReasonUnknown {
		status = http.StatusNotFound
	}
	c.engine.refused.Inc(1)
	c.answer(w, status, string(eff.Reason), kqheader.RunNo, eff.Wait)
}

// answer makes the system's own answer and writes it to account and time line.
func (c *call) answer(w http.ResponseWriter, status int, word, run string, wait time.Duration) {
	if c.claim != nil && run == kqheader.RunNo {
		c.claim.Release()
	}
	c.note(kqaccount.Cause(word), "")
	c.engine.cfg.Events.Add(kqevent.Event{
		Part: "calls", Kind: "refused", Call: c.name, Owner: c.req.owner, Service: c.req.service.Name, Text: word + ", run " + run,
	})
	c.req.problem(status, word, run, wait).write(w)
}

func (c *call) note(cause kqaccount.Cause, target string) {
	c.engine.book.Add(c.req.owner, kqaccount.Key{Cause: cause, Service: c.req.service.Name, Target: target, Version: c.req.version})
}

// late ends a call whose deadline passed or whose caller left.
func (c *call) late(w http.ResponseWriter) {
	if c.in.Context().Err() != nil {
		c.note(kqaccount.Left, "")
		return
	}
	if len(c.sent) == 0 {
		c.answer(w, http.StatusServiceUnavailable, string(kqdispatch.ReasonDeadline), kqheader.RunNo, 0)
		return
	}
	c.answer(w, http.StatusGatewayTimeout, string(kqaccount.Late), kqheader.RunUnknown, 0)
}
