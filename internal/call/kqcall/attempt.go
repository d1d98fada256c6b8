package kqcall

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"kumquatglade/internal/call/kqaccount"
	"kumquatglade/internal/call/kqforward"
	"kumquatglade/internal/call/kqheader"
	"kumquatglade/internal/host/kqevent"
	"kumquatglade/internal/route/kqdispatch"

	"github.com/cockroachdb/errors"
)

// minConns is the least number of connections to a target from one host.
const minConns = 2

// start sends one attempt in its own goroutine.
func (c *call) start(s kqdispatch.Start) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.sent[s.Attempt] = &send{target: s.Target.ID, cancel: cancel}
	if s.Number > 1 {
		c.repeated(s)
	}
	req := c.request(s)
	go func() {
		reply, err := c.engine.pool.Send(ctx, req)
		select {
		case c.results <- result{s.Attempt, reply, err}:
		case <-c.gone:
			c.end(s.Attempt, reply)
		}
	}()
}

func (c *call) repeated(s kqdispatch.Start) {
	cause, kind := kqaccount.Retried, "retry"
	if s.Hedge {
		cause, kind = kqaccount.Hedged, "hedge"
	}
	c.note(cause, s.Target.ID)
	c.engine.cfg.Events.Add(kqevent.Event{
		Part: "dispatch", Kind: kind, Call: c.name, Owner: c.req.owner, Service: c.req.service.Name, Target: s.Target.ID,
	})
}

func (c *call) request(s kqdispatch.Start) kqforward.Request {
	h := c.req.header
	if s.Number > 1 {
		h = h.Clone()
	}
	left := c.req.deadline.Sub(c.engine.cfg.Clock.Now())
	h.Set(kqheader.Deadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	h.Set(kqheader.Retries, strconv.Itoa(s.Retries))
	h.Set(kqheader.Depth, strconv.Itoa(c.req.depth+1))
	h.Set(kqheader.Call, c.name)
	return kqforward.Request{
		Method: c.in.Method, URL: c.in.URL, Host: c.in.Host, Header: h, Body: c.req.body, Trailer: c.in.Trailer,
		Addr: s.Target.Addr, Once: !c.req.idempotent,
		Conns: max(minConns, s.Target.Connections/int(c.engine.entries.Load())),
	}
}

// end closes an attempt's answer and frees its slot.
func (c *call) end(attempt uint64, reply *kqforward.Reply) {
	if reply != nil {
		reply.Close()
	}
	if s := c.sent[attempt]; s != nil {
		s.cancel()
	}
	c.engine.Feed(kqdispatch.AttemptEnded{Attempt: attempt})
}

// took tells the reducer how an attempt went.
func (c *call) took(res result) {
	out, load := classify(res)
	if res.reply != nil {
		c.replies[res.attempt] = res.reply
	}
	c.engine.Feed(kqdispatch.AttemptReplied{Attempt: res.attempt, Outcome: out, Load: load})
	if res.reply == nil {
		c.end(res.attempt, nil)
	}
}

// classify names the outcome of an attempt.
func classify(res result) (kqdispatch.Outcome, kqdispatch.Load) {
	if res.err != nil {
		var e *kqforward.Error
		switch {
		case errors.Is(res.err, context.Canceled):
			return kqdispatch.Cancelled, kqdispatch.Load{}
		case errors.As(res.err, &e) && e.Full:
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
func isRefusal(r *kqforward.Reply) bool {
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
	reply, target := c.replies[attempt], c.sent[attempt].target
	h := w.Header()
	for name, values := range endToEnd(reply.Header) {
		h[name] = values
	}
	h.Del(kqheader.Run)
	h.Del(kqheader.Load)
	for name := range reply.Trailer {
		h.Add("Trailer", name)
	}
	kept := c.keep(reply, h)
	w.WriteHeader(reply.Status)
	if _, err := copyBody(w, reply); err != nil {
		c.cut(target, err)
	}
	kept()
	for name, values := range reply.Trailer {
		h[name] = values
	}
	c.note(kqaccount.Served, "")
}

// cut breaks the caller's connection.
func (c *call) cut(target string, err error) {
	cause := kqaccount.Cut
	if c.in.Context().Err() != nil {
		cause = kqaccount.Left
	}
	c.note(cause, target)
	c.engine.cfg.Events.Add(kqevent.Event{
		Part: "calls", Kind: string(cause), Call: c.name, Owner: c.req.owner, Service: c.req.service.Name, Target: target, Text: err.Error(),
	})
	panic(http.ErrAbortHandler)
}

// copyBody passes an answer of known length on as it fills buffers, and one of
// unknown length at once: its target may be streaming.
func copyBody(w http.ResponseWriter, reply *kqforward.Reply) (int64, error) {
	if reply.Length >= 0 {
		return io.Copy(w, reply.Body)
	}
	return io.Copy(flushing{w, http.NewResponseController(w)}, reply.Body)
}

// flushing passes each write on at once.
type flushing struct {
	w  http.ResponseWriter
	rc *http.ResponseController
}

func (f flushing) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if err != nil {
		return n, err
	}
	return n, f.rc.Flush()
}
