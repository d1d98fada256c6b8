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

// maxBufferedReply is the size in bytes below which a response is read completely
// before the caller gets it. If such a response is truncated, the request can be
// sent to another target.
const maxBufferedReply = 64 << 10

// minHeldBody is the body size in bytes from which holdLastByte delays the last byte
// while the target is slow. On the slowest link of an entry host such a body takes
// 13 ms, a tenth of the time for which a target stays slow, so the load that was
// reported before the send may be out of date when the body has arrived.
const minHeldBody = 8 << 10

// isUnsent reports whether no byte of the request reached the target.
func isUnsent(err error) bool {
	var e *kqtransport.Error
	return errors.As(err, &e) && e.Unsent
}

// isPoolExhausted reports whether all connections to the target were in use.
func isPoolExhausted(err error) bool {
	var e *kqtransport.Error
	return errors.As(err, &e) && e.PoolExhausted
}

// attempt sends the request to the target once. It reports whether the caller got a
// response; if not, the outcome says why.
func (p *proxiedRequest) attempt(ctx context.Context, t *kqselection.Target) (outcome, bool) {
	e := p.engine
	started := e.cfg.Clock.Now()
	req := p.targetRequest(t)
	req.BeforeFirstByte = func() error { return p.checkDraining(t) }
	if len(p.body) >= minHeldBody && p.bodyRest == nil {
		req.BeforeLastByte = func(ctx context.Context) { p.holdLastByte(ctx, t) }
	}
	reply, err := e.pool.Send(ctx, req)
	if err != nil {
		e.finishSend(t, func(now time.Time) {
			switch {
			case isPoolExhausted(err) || errors.Is(err, errDraining) || ctx.Err() != nil:
			case isUnsent(err):
				t.RecordUnreachable(now)
			default:
				t.RecordFailure(now)
			}
		})
		out := outcome{mayHaveRun: !isUnsent(err), unsent: isUnsent(err), cause: err.Error(), elapsed: e.cfg.Clock.Now().Sub(started)}
		p.logFailedSend(t, out, 0)
		return out, false
	}
	defer reply.Close()
	return p.handleReply(ctx, t, reply, started)
}

// errDraining means that the target began to drain after it was chosen, so that nothing
// was sent to it.
var errDraining = errors.New("target drains")

// checkDraining returns errDraining if this host knows that the target drains.
func (p *proxiedRequest) checkDraining(t *kqselection.Target) error {
	e := p.engine
	now := e.cfg.Clock.Now()
	e.mu.Lock()
	since := t.DrainingSince
	e.mu.Unlock()
	if since.IsZero() {
		e.metrics.firstByte.Update(now.Sub(p.chosen.at))
		return nil
	}
	e.metrics.draining.Inc(1)
	p.logDraining(t, now, since)
	return errDraining
}

// targetRequest returns the request that is sent to the target.
func (p *proxiedRequest) targetRequest(t *kqselection.Target) kqtransport.Request {
	names := p.engine.cfg.HeaderNames
	h := p.header.Clone()
	left := max(time.Until(p.deadline).Milliseconds(), 1)
	h.Set(names.Deadline, strconv.FormatInt(left, 10))
	h.Set(names.Target, t.ID)
	out := kqtransport.Request{
		Method: p.in.Method, URL: p.in.URL, Host: p.in.Host, Header: h, Body: p.body, BodyRest: p.bodyRest, BodyLength: p.in.ContentLength,
		Addr: t.Addr, MaxConns: p.engine.maxConns(p.routing.table, p.service), AtMostOnce: !p.route.Kind.Repeatable(), AcceptCloseDelimited: true,
	}
	return out
}

// finishSend uncounts a send to the target and calls record with the lock held to
// note its result.
func (e *Engine) finishSend(t *kqselection.Target, record func(now time.Time)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t.InFlight--
	record(e.cfg.Clock.Now())
}

// handleReply checks the header of a response and passes a valid response to the
// caller.
func (p *proxiedRequest) handleReply(ctx context.Context, t *kqselection.Target, reply *kqtransport.Reply, started time.Time) (outcome, bool) {
	e, names := p.engine, p.engine.cfg.HeaderNames
	e.mu.Lock()
	ch := e.chooser(p.service)
	e.mu.Unlock()
	sample, hasLoad := parseLoad(reply.Header.Get(names.Load), e.cfg.Clock.Now())
	reject := func(record func(time.Time), out outcome) (outcome, bool) {
		e.finishSend(t, func(now time.Time) {
			record(now)
			if hasLoad {
				t.RecordLoad(sample)
				ch.AssignHeadroom(t, now)
			}
		})
		out.elapsed = e.cfg.Clock.Now().Sub(started)
		p.logFailedSend(t, out, reply.Status)
		return out, false
	}
	idMatches := p.id == "" || reply.Header.Get(names.RequestID) == p.id
	switch {
	case reply.Status == http.StatusMisdirectedRequest:
		return reject(t.RecordMismatch, outcome{cause: "another target answers at the address"})
	case reply.Header.Get(names.NotExecuted) != "":
		// The target read the request from this connection, so its statement is
		// valid even if it does not repeat the request ID.
		return reject(t.RecordFailure, outcome{cause: "the target did not run it"})
	case !idMatches:
		return reject(t.RecordFailure, outcome{mayHaveRun: true, cause: "the answer belongs to another request"})
	// A success without the seal was not made by the target, and one with a content
	// encoding was changed on the way.
	case reply.Status/100 == 2 && (reply.Header.Get(names.Seal) == "" || reply.Header.Get("Content-Encoding") != ""):
		return reject(t.RecordFailure, outcome{mayHaveRun: true, cause: "the answer is not the target's own"})
	case reply.Status/100 == 5 && p.route.Kind.Repeatable() && p.couldRetry():
		return reject(t.RecordFailure, outcome{mayHaveRun: true, cause: "the target failed"})
	}
	body, complete, err := readReply(reply)
	if err != nil {
		record := t.RecordFailure
		if ctx.Err() != nil {
			record = func(time.Time) {}
		}
		return reject(record, outcome{mayHaveRun: true, cause: "the answer broke off: " + err.Error()})
	}
	if !complete {
		p.deliver(reply, body, complete)
		e.finishSend(t, func(now time.Time) { t.RecordSuccess(now) })
		return outcome{}, true
	}
	e.finishSend(t, func(now time.Time) {
		if reply.Status/100 == 5 {
			t.RecordFailure(now)
		} else {
			t.RecordSuccess(now)
			ch.RecordServiceTime(p.chosen.Choice, e.serviceTime(p.route.Name), now.Sub(started))
		}
		if hasLoad {
			t.RecordLoad(sample)
			ch.AssignHeadroom(t, now)
		}
	})
	p.deliver(reply, body, complete)
	return outcome{}, true
}

// couldRetry reports whether the route and the deadline allow another send, without
// taking a retry from the budget.
func (p *proxiedRequest) couldRetry() bool {
	return p.sends+1 < p.route.Attempts && time.Until(p.deadline) > p.engine.cfg.Clock.Now().Sub(p.started)
}

// readReply reads a small response completely, and of a large one at most the
// beginning.
func readReply(reply *kqtransport.Reply) (body []byte, complete bool, err error) {
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

// deliver writes the response to the caller. If the response is truncated on the
// way, it aborts the caller's connection, so that the caller can tell.
func (p *proxiedRequest) deliver(reply *kqtransport.Reply, body []byte, complete bool) {
	e := p.engine
	h := p.w.Header()
	connection := h.Get("Connection")
	for k, v := range reply.Header {
		h[k] = v
	}
	removeHopByHop(h)
	if connection != "" {
		h.Set("Connection", connection)
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // otherwise net/http guesses one
	}
	bodyless := p.in.Method == http.MethodHead || reply.Status == http.StatusNoContent || reply.Status == http.StatusNotModified
	switch {
	case bodyless:
	case complete:
		h.Set("Content-Length", strconv.Itoa(len(body)))
	case reply.BodyLength >= 0:
		h.Set("Content-Length", strconv.FormatInt(reply.BodyLength, 10))
	}
	p.w.WriteHeader(reply.Status)
	_, err := p.w.Write(body)
	if err == nil && !complete && !bodyless {
		_, err = io.Copy(p.w, reply.Body)
	}
	if err != nil && !bodyless {
		e.metrics.failed.Inc(1)
		p.logOutcome("broken", reply.Status, err.Error())
		if !complete {
			e.finishSend(p.chosen.Target, func(time.Time) {})
		}
		panic(http.ErrAbortHandler)
	}
	e.metrics.answered.Inc(1)
	p.sends++
	p.logOutcome("answered", reply.Status, "")
}
