package kqcall

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"kumquatglade/internal/call/kqaccount"
	"kumquatglade/internal/call/kqheader"
	"kumquatglade/internal/call/kqidempotency"
	"kumquatglade/internal/call/kqtransport"
	"kumquatglade/internal/route/kqguard"
)

// claimRetryDelay is the Retry-After time if too few guards responded to a claim.
const claimRetryDelay = time.Second

// serveWithKey sends a call with an idempotency key only if no other call has
// claimed the key; otherwise it returns the stored response or a problem.
func (e *Engine) serveWithKey(ctx context.Context, w http.ResponseWriter, r *http.Request, q *request) {
	claim := e.cfg.Coordinator.Claim(ctx, kqidempotency.Request{
		Owner: q.owner, Service: q.service.Name, Key: q.key, Method: r.Method, Path: r.URL.RequestURI(), Body: q.body,
		Call: fmt.Sprintf("%s-%x-%x", e.cfg.Host, e.started, e.nextNumber()),
	})
	count := func(cause kqaccount.Cause) {
		e.accounts.Add(q.owner, kqaccount.Key{Cause: cause, Service: q.service.Name, Version: q.version})
	}
	switch claim.Decision {
	case kqidempotency.Run:
		e.serveCall(ctx, w, r, q, claim)
	case kqidempotency.Replay:
		count(kqaccount.Replayed)
		replayResponse(w, claim.Response)
	case kqidempotency.KeyReused:
		count(kqaccount.Conflict)
		q.problem(http.StatusConflict, "other", kqheader.RunNo, 0).write(w)
	case kqidempotency.Claimed:
		count(kqaccount.Conflict)
		q.problem(http.StatusConflict, "claimed", kqheader.RunUnknown, 0).write(w)
	default:
		count(kqaccount.NoQuorum)
		q.problem(http.StatusServiceUnavailable, "guards", kqheader.RunNo, claimRetryDelay).write(w)
	}
}

// nextNumber returns a number that is unique among the calls of this engine.
func (e *Engine) nextNumber() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextID++
	return e.nextID
}

// replayResponse writes a stored response to the caller.
func replayResponse(w http.ResponseWriter, a *kqguard.Response) {
	for name, values := range a.Header {
		w.Header()[name] = values
	}
	w.Header().Set(kqheader.Replayed, "yes")
	w.WriteHeader(a.Status)
	w.Write(a.Body) // an error means that the caller has disconnected
}

// captureResponse copies the response body while it is streamed to the caller. The
// returned function sends the complete response to the guards, unless its body is
// too large to be stored.
func (c *call) captureResponse(reply *kqtransport.Reply, h http.Header) func() {
	if c.claim == nil {
		return func() {}
	}
	var body bytes.Buffer
	reply.Body = io.TeeReader(reply.Body, &cappedBuffer{&body})
	header := h.Clone()
	return func() {
		if body.Len() <= kqguard.MaxResponseBody {
			c.claim.StoreResponse(kqguard.Response{Status: reply.Status, Header: header, Body: body.Bytes()})
		}
	}
}

// cappedBuffer keeps one byte more than the largest body that is stored, which
// shows that a body is too large, and discards the rest.
type cappedBuffer struct{ buf *bytes.Buffer }

func (b *cappedBuffer) Write(p []byte) (int, error) {
	room := kqguard.MaxResponseBody + 1 - b.buf.Len()
	b.buf.Write(p[:min(max(room, 0), len(p))])
	return len(p), nil
}
