package kqcall

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"kumquatglade/internal/call/kqaccount"
	"kumquatglade/internal/call/kqheader"
	"kumquatglade/internal/call/kqtransport"
	"kumquatglade/internal/host/kqevent"
	"kumquatglade/internal/route/kqdispatch"

	"github.com/cockroachdb/errors"
)

// minTargetConns is how many connections to a target each entry host may open even
// if its share of the target's connection limit is smaller.
const minTargetConns = 2

// startAttempt sends one attempt in its own goroutine.
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

// recordRepeat counts an attempt after the first, a retry or a hedge, and records an
// event for it.
func (c *call) recordRepeat(s kqdispatch.Start) {
	cause, kind := kqaccount.Retried, "retry"
	if s.Hedge {
		cause, kind = kqaccount.Hedged, "hedge"
	}
	c.count(cause, s.Target.ID)
	c.engine.cfg.Events.Add(kqevent.Event{
		Component: "dispatch", Kind: kind, Call: c.callID, Owner: c.req.owner, Service: c.req.service.Name, Target: s.Target.ID,
	})
}

// attemptRequest returns the request of one attempt, with the time left, the
// remaining retries and the depth in its header.
func (c *call) attemptRequest(s kqdispatch.Start) kqtransport.Request {
	h := c.req.header
	if s.Number > 1 {
		h = h.Clone()
	}
	remaining := c.req.deadline.Sub(c.engine.cfg.Clock.Now())
	h.Set(kqheader.Deadline, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	h.Set(kqheader.Retries, strconv.Itoa(s.Retries))
	h.Set(kqheader.Depth, strconv.Itoa(c.req.depth+1))
	h.Set(kqheader.CallID, c.callID)
	return kqtransport.Request{
		Method: c.inbound.Method, URL: c.inbound.URL, Host: c.inbound.Host, Header: h, Body: c.req.body, Trailer: c.inbound.Trailer,
		Addr: s.Target.Addr, AtMostOnce: !c.req.idempotent,
		MaxConns: max(minTargetConns, s.Target.Connections/int(c.engine.entryHosts.Load())),
	}
}

// endAttempt closes an attempt's response and frees its slot at the target.
func (c *call) endAttempt(attempt uint64, reply *kqtransport.Reply) {
	if reply != nil {
		reply.Close()
	}
	if s := c.attempts[attempt]; s != nil {
		s.cancel()
	}
	c.engine.HandleEvent(kqdispatch.AttemptEnded{Attempt: attempt})
}

// handleResult reports the outcome of an attempt to the reducer.
func (c *call) handleResult(res attemptResult) {
	outcome, load := classify(res)
	if res.reply != nil {
		c.replies[res.attempt] = res.reply
	}
	c.engine.HandleEvent(kqdispatch.AttemptReplied{Attempt: res.attempt, Outcome: outcome, Load: load})
	if res.reply == nil {
		c.endAttempt(res.attempt, nil)
	}
}

// classify returns the outcome of an attempt and the load that the target reported
// with its response.
func classify(res attemptResult) (kqdispatch.Outcome, kqdispatch.Load) {
	if res.err != nil {
		var sendErr *kqtransport.Error
		switch {
		case errors.Is(res.err, context.Canceled):
			return kqdispatch.Cancelled, kqdispatch.Load{}
		case errors.As(res.err, &sendErr) && sendErr.PoolExhausted:
			return kqdispatch.PoolExhausted, kqdispatch.Load{}
		case errors.As(res.err, &sendErr) && sendErr.Unsent:
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

// isRefusal reports whether the target states that it did not run the call.
func isRefusal(r *kqtransport.Reply) bool {
	shed := r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests
	return shed && r.Header.Get(kqheader.Run) == kqheader.RunNo
}

// parseLoad parses a load of the form "busy/slots". It returns the zero Load if the
// value is malformed.
func parseLoad(value string) kqdispatch.Load {
	var l kqdispatch.Load
	if value == "" {
		return l
	}
	if _, err := fmt.Sscanf(value, "%d/%d", &l.Busy, &l.Slots); err != nil || l.Busy < 0 || l.Slots < 1 {
		return kqdispatch.Load{}
	}
	return l
}

// deliver streams the target's response to the caller. If the response ends early,
// it aborts the caller's connection, so that a truncated response never looks
// complete.
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
	storeResponse := c.captureResponse(reply, h)
	w.WriteHeader(reply.Status)
	if _, err := copyBody(w, reply); err != nil {
		c.abortCaller(target, err)
	}
	storeResponse()
	for name, values := range reply.Trailer {
		h[name] = values
	}
	c.count(kqaccount.Served, "")
}

// abortCaller records why the response could not be completed and aborts the
// caller's connection.
func (c *call) abortCaller(target string, err error) {
	cause := kqaccount.Truncated
	if c.inbound.Context().Err() != nil {
		cause = kqaccount.CallerGone
	}
	c.count(cause, target)
	c.engine.cfg.Events.Add(kqevent.Event{
		Component: "calls", Kind: string(cause), Call: c.callID, Owner: c.req.owner, Service: c.req.service.Name, Target: target, Text: err.Error(),
	})
	panic(http.ErrAbortHandler)
}

// maxCallerStall is how long a caller may receive nothing of a response before its connection
// is closed: slow callers make progress, and others would hold memory for ever.
const maxCallerStall = 15 * time.Second

const (
	minBlockingBody = 4 << 10  // body size in bytes from which writing it may wait for the caller
	copyBufferSize  = 16 << 10 // bytes that are written at once
)

// copyBody copies the response body to the caller. A body of unknown length is
// flushed after each write, because the target may be streaming; one of known
// length is buffered.
func copyBody(w http.ResponseWriter, reply *kqtransport.Reply) (int64, error) {
	if reply.BodyLength >= 0 && reply.BodyLength < minBlockingBody {
		return io.Copy(w, reply.Body)
	}
	rc := http.NewResponseController(w)
	out := stallWriter{w, rc}
	defer out.end()
	buf := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buf)
	if reply.BodyLength >= 0 {
		return io.CopyBuffer(out, reply.Body, buf[:])
	}
	return io.CopyBuffer(flushWriter{out, rc}, reply.Body, buf[:])
}

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// stallWriter bounds the time of each write to the caller.
type stallWriter struct {
	w  io.Writer
	rc *http.ResponseController
}

func (s stallWriter) Write(p []byte) (int, error) {
	s.rc.SetWriteDeadline(time.Now().Add(maxCallerStall)) // best effort: not every ResponseWriter supports deadlines
	return s.w.Write(p)
}

// end sends what is buffered and removes the bound, which would hold for the next call on the
// connection.
func (s stallWriter) end() {
	s.rc.Flush()                       // an error shows at the next write
	s.rc.SetWriteDeadline(time.Time{}) // best effort, as above
}

// flushWriter flushes the response after each write.
type flushWriter struct {
	w  io.Writer
	rc *http.ResponseController
}

func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if err != nil {
		return n, err
	}
	return n, f.rc.Flush()
}
