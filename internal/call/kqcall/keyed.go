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

// claimWait is when a claim that too few guards answered may be tried again.
const claimRetryDelay = time.Second

// serveKeyed carries a keyed call out only if its key was never claimed.
func (e *Engine) serveWithKey(ctx context.Context, w http.ResponseWriter, r *http.Request, q *request) {
	claim := e.cfg.Coordinator.Claim(ctx, kqidempotency.Request{
		Owner: q.owner, Service: q.service.Name, Key: q.key, Method: r.Method, Path: r.URL.RequestURI(), Body: q.body,
		Call: fmt.Sprintf("%s-%x-%x", e.cfg.Host, e.started, e.nextNumber()),
	})
	note := func(cause kqaccount.Cause) {
		e.accounts.Add(q.owner, kqaccount.Key{Cause: cause, Service: q.service.Name, Version: q.version})
	}
	switch claim.Decision {
	case kqidempotency.Run:
		e.serveCall(ctx, w, r, q, claim)
	case kqidempotency.Replay:
		note(kqaccount.Replayed)
		replayResponse(w, claim.Response)
	case kqidempotency.KeyReused:
		note(kqaccount.Conflict)
		q.problem(http.StatusConflict, "other", kqheader.RunNo, 0).write(w)
	case kqidempotency.Claimed:
		note(kqaccount.Conflict)
		q.problem(http.StatusConflict, "claimed", kqheader.RunUnknown, 0).write(w)
	default:
		note(kqaccount.NoQuorum)
		q.problem(http.StatusServiceUnavailable, "guards", kqheader.RunNo, claimRetryDelay).write(w)
	}
}

// number returns a new number for a keyed call.
func (e *Engine) nextNumber() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextID++
	return e.nextID
}

func replayResponse(w http.ResponseWriter, a *kqguard.Response) {
	for name, values := range a.Header {
		w.Header()[name] = values
	}
	w.Header().Set(kqheader.Replayed, "yes")
	w.WriteHeader(a.Status)
	w.Write(a.Body) // the caller is gone
}

// keep notes the answer while it passes; the returned function gives it to the
// guards once it is whole.
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

// limited keeps a little more than an answer may have, and drops the rest.
type cappedBuffer struct{ buf *bytes.Buffer }

func (l *cappedBuffer) Write(p []byte) (int, error) {
	room := kqguard.MaxResponseBody + 1 - l.buf.Len()
	l.buf.Write(p[:min(max(room, 0), len(p))])
	return len(p), nil
}
