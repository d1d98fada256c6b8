package kqproxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"kumquatglade/internal/call/kqtransport"
	"kumquatglade/internal/route/kqselection"

	"github.com/cockroachdb/errors"
)

// keptAnswer is the largest answer in bytes that is read whole before the
// caller gets it, so that one that breaks off can come from another target.
const maxBufferedReply = 64 << 10

// longBody is the size in bytes from which a body is long on its way: 13 ms on the
// slowest link of an entry host, a tenth of the time for which a target's slowness
// stays.
const minHeldBody = 8 << 10

func isUnsent(err error) bool {
	var e *kqtransport.Error
	return errors.As(err, &e) && e.Unsent
}

func isPoolExhausted(err error) bool {
	var e *kqtransport.Error
	return errors.As(err, &e) && e.PoolExhausted
}

// attempt sends the request to the target once; true says that the caller has
// its answer.
func (p *proxiedRequest) attempt(ctx context.Context, t *kqselection.Target) (outcome, bool) {
	e := p.engine
	began := e.cfg.Clock.Now()
	req := p.targetRequest(t)
	if len(p.body) >= minHeldBody && p.bodyRest == nil {
		req.BeforeLastByte = func(ctx context.Context) { p.holdLastByte(ctx, t) }
	}
	reply, err := e.pool.Send(ctx, req)
	if err != nil {
		e.finishSend(t, func(now time.Time) {
			switch {
			case isPoolExhausted(err) || ctx.Err() != nil:
			case isUnsent(err):
				t.RecordUnreachable(now)
			default:
				t.RecordFailure(now)
			}
		})
		out := outcome{mayHaveRun: !isUnsent(err), unsent: isUnsent(err), cause: err.Error(), elapsed: e.cfg.Clock.Now().Sub(began)}
		p.logFailedSend(t, out, 0)
		return out, false
	}
	defer reply.Close()
	return p.handleReply(ctx, t, reply, began)
}

// request is the request as the target gets it.
func (p *proxiedRequest) targetRequest(t *kqselection.Target) kqtransport.Request {
	names := p.engine.cfg.HeaderNames
	h := p.header.Clone()
	left := max(time.Until(p.deadline).Milliseconds(), 1)
	h.Set(names.Deadline, strconv.FormatInt(left, 10))
	h.Set(names.Target, t.ID)
	out := kqtransport.Request{
		Method: p.in.Method, URL: p.in.URL, Host: p.in.Host, Header: h, Body: p.body, BodyRest: p.bodyRest, BodyLength: p.in.ContentLength,
		Addr: t.Addr, MaxConns: p.engine.maxConns(p.routing, p.service), AtMostOnce: !p.route.Kind.Repeatable(), AcceptCloseDelimited: true,
	}
	return out
}

// settle ends a send to the target and notes how it went.
func (e *Engine) finishSend(t *kqselection.Target, note func(now time.Time)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t.InFlight--
	note(e.cfg.Clock.Now())
}

// take judges the head of an answer and passes a good one on.
func (p *proxiedRequest) handleReply(ctx context.Context, t *kqselection.Target, reply *kqtransport.Reply, began time.Time) (outcome, bool) {
	e, names := p.engine, p.engine.cfg.HeaderNames
	e.mu.Lock()
	ch := e.chooser(p.service)
	e.mu.Unlock()
	sample, told := parseLoad(reply.Header.Get(names.Load), e.cfg.Clock.Now())
	bad := func(note func(time.Time), out outcome) (outcome, bool) {
		e.finishSend(t, func(now time.Time) {
			note(now)
			if told {
				t.RecordLoad(sample)
				ch.AssignHeadroom(t, now)
			}
		})
		out.elapsed = e.cfg.Clock.Now().Sub(began)
		p.logFailedSend(t, out, reply.Status)
		return out, false
	}
	own := p.id == "" || reply.Header.Get(names.RequestID) == p.id
	switch {
	case reply.Status == http.StatusMisdirectedRequest:
		return bad(t.RecordMismatch, outcome{cause: "another target answers at the address"})
	case reply.Header.Get(names.NotExecuted) != "":
		// The target took the request off the connection: its word stands even
		// where it does not echo the id.
		return bad(t.RecordFailure, outcome{cause: "the target did not run it"})
	case !own:
		return bad(t.RecordFailure, outcome{mayHaveRun: true, cause: "the answer belongs to another request"})
	case reply.Status/100 == 2 && (reply.Header.Get(names.Seal) == "" || reply.Header.Get("Content-Encoding") != ""):
		return bad(t.RecordFailure, outcome{mayHaveRun: true, cause: "the answer is not the target's own"})
	case reply.Status/100 == 5 && p.route.Kind.Repeatable() && p.couldRetry():
		return bad(t.RecordFailure, outcome{mayHaveRun: true, cause: "the target failed"})
	}
	body, whole, err := readReply(reply)
	if err != nil {
		note := t.RecordFailure
		if ctx.Err() != nil {
			note = func(time.Time) {}
		}
		return bad(note, outcome{mayHaveRun: true, cause: "the answer broke off: " + err.Error()})
	}
	if !whole {
		p.deliver(reply, body, whole)
		e.finishSend(t, func(now time.Time) { t.RecordSuccess(now) })
		return outcome{}, true
	}
	e.finishSend(t, func(now time.Time) {
		if reply.Status/100 == 5 {
			t.RecordFailure(now)
		} else {
			t.RecordSuccess(now)
			ch.RecordServiceTime(p.chosen.Choice, e.serviceTime(p.route.Name), now.Sub(began))
		}
		if told {
			t.RecordLoad(sample)
			ch.AssignHeadroom(t, now)
		}
	})
	p.deliver(reply, body, whole)
	return outcome{}, true
}

// mayRepeat reports whether the route allows one more send, without taking it
// from the budget.
func (p *proxiedRequest) couldRetry() bool {
	return p.sends+1 < p.route.Attempts && time.Until(p.deadline) > p.engine.cfg.Clock.Now().Sub(p.started)
}

// readAnswer reads a small answer whole; of a large one only the beginning.
func readReply(reply *kqtransport.Reply) (body []byte, whole bool, err error) {
	size := reply.BodyLength
	if size > maxBufferedReply {
		return nil, false, nil
	}
	var buf bytes.Buffer
	if size > 0 {
		buf.Grow(int(size) + bytes.MinRead)
	}
	n, err := io.Copy(&buf, io.LimitReader(reply.Body, maxBufferedReply))
	if err != nil {
		return nil, false, err
	}
	if n < maxBufferedReply {
		return buf.Bytes(), true, nil
	}
	return buf.Bytes(), false, nil
}

// deliver gives the answer to the caller; one that breaks off on the way breaks
// the caller's connection.
func (p *proxiedRequest) deliver(reply *kqtransport.Reply, body []byte, whole bool) {
	e := p.engine
	h := p.w.Header()
	closing := h.Get("Connection")
	for k, v := range reply.Header {
		h[k] = v
	}
	removeHopByHop(h)
	if closing != "" {
		h.Set("Connection", closing)
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // the server would guess one
	}
	bodyless := p.in.Method == http.MethodHead || reply.Status == http.StatusNoContent || reply.Status == http.StatusNotModified
	switch {
	case bodyless:
	case whole:
		h.Set("Content-Length", strconv.Itoa(len(body)))
	case reply.BodyLength >= 0:
		h.Set("Content-Length", strconv.FormatInt(reply.BodyLength, 10))
	}
	p.w.WriteHeader(reply.Status)
	_, err := p.w.Write(body)
	if err == nil && !whole && !bodyless {
		_, err = io.Copy(p.w, reply.Body)
	}
	if err != nil && !bodyless {
		e.metrics.failed.Inc(1)
		p.logOutcome("broken", reply.Status, err.Error())
		if !whole {
			e.finishSend(p.chosen.Target, func(time.Time) {})
		}
		panic(http.ErrAbortHandler)
	}
	e.metrics.answered.Inc(1)
	p.sends++
	p.logOutcome("answered", reply.Status, "")
}
