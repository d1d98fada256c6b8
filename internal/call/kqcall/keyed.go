package kqcall

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"kumquatglade/internal/call/kqaccount"
	"kumquatglade/internal/call/kqforward"
	"kumquatglade/internal/call/kqheader"
	"kumquatglade/internal/call/kqkeyed"
	"kumquatglade/internal/route/kqguard"
)

// claimWait is when a claim that too few guards answered may be tried again.
const claimWait = time.Second

// serveKeyed carries a keyed call out only if its key was never claimed.
func (e *Engine) serveKeyed(ctx context.Context, w http.ResponseWriter, r *http.Request, q *request) {
	claim := e.cfg.Keeper.Claim(ctx, kqkeyed.Request{
		Owner: q.owner, Service: q.service.Name, Key: q.key, Method: r.Method, Path: r.URL.RequestURI(), Body: q.body,
		Call: fmt.Sprintf("%s-%x-%x", e.cfg.Host, e.started, e.number()),
	})
	note := func(cause kqaccount.Cause) {
		e.book.Add(q.owner, kqaccount.Key{Cause: cause, Service: q.service.Name, Version: q.version})
	}
	switch claim.Verdict {
	case kqkeyed.Run:
		e.serveOnce(ctx, w, r, q, claim)
	case kqkeyed.Kept:
		note(kqaccount.Repeated)
		giveAgain(w, claim.Answer)
	case kqkeyed.Other:
		note(kqaccount.Conflict)
		q.problem(http.StatusConflict, "other", kqheader.RunNo, 0).write(w)
	case kqkeyed.Claimed:
		note(kqaccount.Conflict)
		q.problem(http.StatusConflict, "claimed", kqheader.RunUnknown, 0).write(w)
	default:
		note(kqaccount.Unguided)
		q.problem(http.StatusServiceUnavailable, "guards", kqheader.RunNo, claimWait).write(w)
	}
}

// number returns a new number for a keyed call.
func (e *Engine) number() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextID++
	return e.nextID
}

func giveAgain(w http.ResponseWriter, a *kqguard.Response) {
	for name, values := range a.Header {
		w.Header()[name] = values
	}
	w.Header().Set(kqheader.Kept, "yes")
	w.WriteHeader(a.Status)
	w.Write(a.Body) // the caller is gone
}

// keep notes the answer while it passes; the returned function gives it to the
// guards once it is whole.
func (c *call) keep(reply *kqforward.Reply, h http.Header) func() {
	if c.claim == nil {
		return func() {}
	}
	var body bytes.Buffer
	reply.Body = io.TeeReader(reply.Body, &limited{&body})
	header := h.Clone()
	return func() {
		if body.Len() <= kqguard.MaxResponseBody {
			c.claim.Keep(kqguard.Response{Status: reply.Status, Header: header, Body: body.Bytes()})
		}
	}
}

// limited keeps a little more than an answer may have, and drops the rest.
type limited struct{ b *bytes.Buffer }

func (l *limited) Write(p []byte) (int, error) {
	room := kqguard.MaxResponseBody + 1 - l.b.Len()
	l.b.Write(p[:min(max(room, 0), len(p))])
	return len(p), nil
}
