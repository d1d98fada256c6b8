package kqcall

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"kumquatglade/internal/call/kqaccount"
	"kumquatglade/internal/call/kqheader"
	"kumquatglade/internal/call/kqtransport"
	"kumquatglade/internal/host/kqevent"
	"kumquatglade/internal/route/kqdispatch"

	"github.com/cockroachdb/errors"
)

// minConns is the least number of connections to a target from one host.
const minTargetConns = 2

// start sends one attempt in its own goroutine.
func (c *call) startAttempt(s kqdispatch.Start) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.attempts[s.Attempt] = &sentAttempt{target: s.Target.ID, cancel: cancel}
	if s.Number > 1 {
		c.recordRepeat(s)
	}
	req := c.attemptRequest(s)
	go func() {
		reply, err := c.engine.pool.Send(ctx, req)
		select {
		case c.results <- attemptResult{s.Attempt, reply, err}:
		case <-c.finished:
			c.endAttempt(s.Attempt, reply)
		}
	}()
}

func (c *call) recordRepeat(s kqdispatch.Start) {
	cause, kind := kqaccount.Retried, "retry"
	if s.Hedge {
		cause, kind = kqaccount.Hedged, "hedge"
	}
	c.count(cause, s.Target.ID)
	c.engine.cfg.Events.Add(kqevent.Event{
		Part: "dispatch", Kind: kind, Call: c.callID, Owner: c.req.owner, Service: c.req.service.Name, Target: s.Target.ID,
	})
}

func (c *call) attemptRequest(s kqdispatch.Start) kqtransport.Request {
	h := c.req.header
	if s.Number > 1 {
		h = h.Clone()
	}
	left := c.req.deadline.Sub(c.engine.cfg.Clock.Now())
	h.Set(kqheader.Deadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	h.Set(kqheader.Retries, strconv.Itoa(s.Retries))
	h.Set(kqheader.Depth, strconv.Itoa(c.req.depth+1))
	h.Set(kqheader.CallID, c.callID)
	return kqtransport.Request{
		Method: c.inbound.Method, URL: c.inbound.URL, Host: c.inbound.Host, Header: h, Body: c.req.body, Trailer: c.inbound.Trailer,
		Addr: s.Target.Addr, AtMostOnce: !c.req.idempotent,
		MaxConns: max(minTargetConns, s.Target.Connections/int(c.engine.entryHosts.Load())),
	}
}

// end closes an attempt's answer and frees its slot.
func (c *call) endAttempt(attempt uint64, reply *kqtransport.Reply) {
	if reply != nil {
		reply.Close()
	}
	if s := c.attempts[attempt]; s != nil {
		s.cancel()
	}
	c.engine.HandleEvent(kqdispatch.AttemptEnded{Attempt: attempt})
}

// took tells the reducer how an attempt went.
func (c *call) handleResult(res attemptResult) {
	out, load := classify(res)
	if res.reply != nil {
		c.replies[res.attempt] = res.reply
	}
	c.engine.HandleEvent(kqdispatch.AttemptReplied{Attempt: res.attempt, Outcome: out, Load: load})
	if res.reply == nil {
		c.endAttempt(res.attempt, nil)
	}
}

// classify names the outcome of an attempt.
func classify(res attemptResult) (kqdispatch.Outcome, kqdispatch.Load) {
	if res.err != nil {
		var e *kqtransport.Error
		switch {
		case errors.Is(res.err, context.Canceled):
			return kqdispatch.Cancelled, kqdispatch.Load{}
		case errors.As(res.err, &e) && e.PoolExhausted:
			return kqdispatch.PoolExhausted, kqdispatch.Load{}
		case errors.As(res.err, &e) && e.Unsent:
			return kqdispatch.Unsent, kqdispatch.Load{}
		}
		return kqdispatch.NoAnswer, kqdispatch.Load{}
	}
	load := parseLoad(res.reply.Header.Get(kqheader.Load))
	switch {
	case isRefusal(res.reply):
		return kqdispatch.Refused, load
	case res.reply.Status >= http.StatusInternalServerError:
		return kqdispatch.Failed, load
	}
	return kqdispatch.Answered, load
}

// isRefusal reports whether the target itself says that it did not run the call.
func isRefusal(r *kqtransport.Reply) bool {
	shed := r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests
	return shed && r.Header.Get(kqheader.Run) == kqheader.RunNo
}

// parseLoad reads "busy/slots"; anything else is no load.
func parseLoad(word string) kqdispatch.Load {
	var l kqdispatch.Load
	if word == "" {
		return l
	}
	if _, err := fmt.Sscanf(word, "%d/%d", &l.Busy, &l.Slots); err != nil || l.Busy < 0 || l.Slots < 1 {
		return kqdispatch.Load{}
	}
	return l
}

// deliver streams the answer to the caller. An answer that breaks off breaks
// the caller's connection too: a short answer must never look whole.
func (c *call) deliver(w http.ResponseWriter, attempt uint64) {
	reply, target := c.replies[attempt], c.attempts[attempt].target
	h := w.Header()
	for name, values := range endToEnd(reply.Header) {
		h[name] = values
	}
	h.Del(kqheader.Run)
	h.Del(kqheader.Load)
	for name := range reply.Trailer {
		h.Add("Trailer", name)
	}
	kept := c.captureResponse(reply, h)
	w.WriteHeader(reply.Status)
	if _, err := copyBody(w, reply); err != nil {
		c.abortCaller(target, err)
	}
	kept()
	for name, values := range reply.Trailer {
		h[name] = values
	}
	c.count(kqaccount.Served, "")
}

// cut breaks the caller's connection.
func (c *call) abortCaller(target string, err error) {
	cause := kqaccount.Truncated
	if c.inbound.Context().Err() != nil {
		cause = kqaccount.CallerGone
	}
	c.count(cause, target)
	c.engine.cfg.Events.Add(kqevent.Event{
		Part: "calls", Kind: string(cause), Call: c.callID, Owner: c.req.owner, Service: c.req.service.Name, Target: target, Text: err.Error(),
	})
	panic(http.ErrAbortHandler)
}

// copyBody passes an answer of known length on as it fills buffers, and one of
// unknown length at once: its target may be streaming.
func copyBody(w http.ResponseWriter, reply *kqtransport.Reply) (int64, error) {
	if reply.BodyLength >= 0 {
		return io.Copy(w, reply.Body)
	}
	return io.Copy(flushWriter{w, http.NewResponseController(w)}, reply.Body)
}

// flushing passes each write on at once.
type flushWriter struct {
	w  http.ResponseWriter
	rc *http.ResponseController
}

func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if err != nil {
		return n, err
	}
	return n, f.rc.Flush()
}
