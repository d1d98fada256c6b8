package kqcall

import (
	"context"
	"net/http"
	"time"

	"kumquatglade/internal/call/kqaccount"
	"kumquatglade/internal/call/kqbody"
	"kumquatglade/internal/call/kqheader"
	"kumquatglade/internal/call/kqidempotency"
	"kumquatglade/internal/call/kqtransport"
	"kumquatglade/internal/host/kqevent"
	"kumquatglade/internal/route/kqdispatch"

	"github.com/cockroachdb/errors"
)

// noRoomRetryDelay is the Retry-After time of a call for whose body there was no room: paused
// bodies are ended in that time.
const noRoomRetryDelay = time.Second

// ServeHTTP serves one call: it validates the request, dispatches it to a target and
// writes the response.
func (e *Engine) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	now := e.cfg.Clock.Now()
	w := &closingWriter{ResponseWriter: rw, engine: e, in: r, bodyRead: r.Body == nil || r.Body == http.NoBody}
	q, p := e.checkRequest(r, now)
	if p == nil {
		defer q.releaseBody()
		if err := q.readBody(e.bodies, w, r); err != nil {
			p = q.bodyProblem(err)
			w.Header().Set("Connection", "close") // the rest of the body is not read
		} else {
			w.bodyRead = true
			p = e.checkShutdown(q) // it may have begun while the body arrived
		}
	}
	if p != nil {
		e.reject(w, q, *p)
		return
	}
	base := r.Context()
	if !q.idempotent {
		base = context.WithoutCancel(base) // a call that was sent goes on when its caller closes its sending side
	}
	ctx, cancel := context.WithDeadline(base, q.deadline)
	defer cancel()
	if q.key != "" && !q.idempotent && e.cfg.Coordinator != nil {
		e.serveWithKey(ctx, w, r, q)
	} else {
		e.serveCall(ctx, w, r, q, nil)
	}
	e.served.UpdateSince(now)
}

// bodyProblem returns the response to a call whose body was not read.
func (q *request) bodyProblem(err error) *problem {
	if errors.Is(err, kqbody.ErrNoRoom) {
		p := q.problem(http.StatusServiceUnavailable, "room", kqheader.RunNo, noRoomRetryDelay)
		return &p
	}
	p := q.problem(http.StatusBadRequest, "body", kqheader.RunNo, 0)
	p.Detail = err.Error()
	return &p
}

// serveCall runs one call. A non-nil claim stores the response, or is released if
// the call certainly did not run.
func (e *Engine) serveCall(ctx context.Context, w http.ResponseWriter, r *http.Request, q *request, claim *kqidempotency.Claim) {
	c := e.newCall(ctx, q, r)
	c.claim = claim
	defer c.finish()
	c.run(w)
}

// reject responds to a call that is not valid or not authorized.
func (e *Engine) reject(w http.ResponseWriter, q *request, p problem) {
	e.refused.Inc(1)
	cause := kqaccount.Malformed
	if p.status == http.StatusUnauthorized {
		cause = kqaccount.Unauthorized
	}
	if q.version > 0 {
		e.accounts.Add(q.owner, kqaccount.Key{Cause: cause, Service: q.service.Name, Version: q.version})
	}
	e.cfg.Events.Add(kqevent.Event{Component: "calls", Kind: "denied", Owner: p.Owner, Service: p.Service, Text: p.Error})
	p.write(w)
}

// call is one call in flight.
type call struct {
	engine   *Engine
	ctx      context.Context
	req      *request
	inbound  *http.Request
	id       uint64
	callID   string
	effects  chan kqdispatch.Effect
	results  chan attemptResult
	attempts map[uint64]*sentAttempt
	replies  map[uint64]*kqtransport.Reply
	finished chan struct{}        // closed when results are no longer received
	claim    *kqidempotency.Claim // on the idempotency key; nil if the call has none
}

// sentAttempt is an attempt that was sent to a target.
type sentAttempt struct {
	target string
	cancel context.CancelFunc
}

// attemptResult is the head of the response to an attempt, or the error instead.
type attemptResult struct {
	attempt uint64
	reply   *kqtransport.Reply
	err     error
}

func (e *Engine) newCall(ctx context.Context, q *request, r *http.Request) *call {
	id, effects := e.registerCall()
	c := &call{
		engine: e, ctx: ctx, req: q, inbound: r, id: id, callID: q.callerCallID, effects: effects,
		results: make(chan attemptResult), attempts: map[uint64]*sentAttempt{}, replies: map[uint64]*kqtransport.Reply{},
		finished: make(chan struct{}),
	}
	if c.callID == "" {
		c.callID = formatCallID(e.cfg.Host, id)
	}
	e.HandleEvent(kqdispatch.CallArrived{Call: kqdispatch.Call{
		ID: id, Owner: q.owner, Service: q.service.Name, Idempotent: q.idempotent,
		Deadline: q.deadline, Retries: q.retries, Depth: q.depth,
	}})
	return c
}

// finish unregisters the call and ends its attempts.
func (c *call) finish() {
	close(c.finished)
	c.engine.HandleEvent(kqdispatch.CallClosed{ID: c.id})
	// Responses are closed before attempts are cancelled: cancelling closes the
	// connection, which can be reused after a complete response.
	for attempt, reply := range c.replies {
		c.endAttempt(attempt, reply)
	}
	for _, s := range c.attempts {
		s.cancel()
	}
	c.engine.unregisterCall(c.id)
}

// run carries out the reducer's effects until the caller has a response or the
// call's context ends.
func (c *call) run(w http.ResponseWriter) {
	closed := c.inbound.Context().Done()
	for {
		select {
		case <-closed:
			closed = nil
			if c.req.idempotent || len(c.attempts) == 0 {
				c.answerClosed(w)
				return
			}
		case eff := <-c.effects:
			if c.applyEffect(w, eff) {
				return
			}
		case res := <-c.results:
			c.handleResult(res)
		case <-c.ctx.Done():
			c.expire(w)
			return
		}
	}
}

// applyEffect carries out one effect and reports whether the caller has its response.
func (c *call) applyEffect(w http.ResponseWriter, eff kqdispatch.Effect) bool {
	switch eff := eff.(type) {
	case kqdispatch.Start:
		if c.inbound.Context().Err() != nil {
			c.answerClosed(w)
			return true
		}
		c.startAttempt(eff)
	case kqdispatch.Cancel:
		if s := c.attempts[eff.Attempt]; s != nil {
			s.cancel()
		}
	case kqdispatch.Deliver:
		c.deliver(w, eff.Attempt)
		return true
	case kqdispatch.Refuse:
		c.refuse(w, eff)
		return true
	case kqdispatch.Fail:
		c.respond(w, http.StatusBadGateway, string(eff.Reason), kqheader.RunUnknown, 0)
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
	c.respond(w, status, string(eff.Reason), kqheader.RunNo, eff.Wait)
}

// respond writes a generated response, counts it in the owner's account and records
// an event. It releases the claim if the call certainly did not run.
func (c *call) respond(w http.ResponseWriter, status int, code, run string, wait time.Duration) {
	if c.claim != nil && run == kqheader.RunNo {
		c.claim.Release()
	}
	c.count(kqaccount.Cause(code), "")
	c.engine.cfg.Events.Add(kqevent.Event{
		Component: "calls", Kind: "refused", Call: c.callID, Owner: c.req.owner, Service: c.req.service.Name, Text: code + ", run " + run,
	})
	c.req.problem(status, code, run, wait).write(w)
}

func (c *call) count(cause kqaccount.Cause, target string) {
	c.engine.accounts.Add(c.req.owner, kqaccount.Key{Cause: cause, Service: c.req.service.Name, Target: target, Version: c.req.version})
}

// answerClosed ends a call whose caller closed its side of the connection. It may have
// left, or still wait: without a response it would get an empty success. A call that must
// not be repeated ends here only if no target has run it.
func (c *call) answerClosed(w http.ResponseWriter) {
	status, run := http.StatusServiceUnavailable, kqheader.RunNo
	if c.req.idempotent && len(c.attempts) > 0 {
		status, run = http.StatusBadGateway, kqheader.RunUnknown
	}
	c.respond(w, status, string(kqaccount.CallerGone), run, 0)
}

// expire ends a call whose deadline has passed, or whose caller closed its side.
func (c *call) expire(w http.ResponseWriter) {
	if c.req.idempotent && c.inbound.Context().Err() != nil {
		c.answerClosed(w)
		return
	}
	if len(c.attempts) == 0 {
		c.respond(w, http.StatusServiceUnavailable, string(kqdispatch.ReasonDeadline), kqheader.RunNo, 0)
		return
	}
	c.respond(w, http.StatusGatewayTimeout, string(kqaccount.DeadlineExceeded), kqheader.RunUnknown, 0)
}
