package kqproxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
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
	req.BeforeFirstByte = func() error { return p.checkBarred(t) }
	if len(p.body) >= minHeldBody && p.bodyRest == nil {
		req.BeforeLastByte = func(ctx context.Context) { p.holdLastByte(ctx, t) }
	}
	ctx, end := p.watchSend(ctx, t, &req)
	defer end()
	reply, err := e.pool.Send(ctx, req)
	p.recordAnswered(t, reply, err)
	if err != nil {
		p.finishSend(t, func(now time.Time) {
			if isUnsent(err) {
				t.ReleaseCold()
			}
			switch {
			case errors.Is(context.Cause(ctx), errHung):
			case isPoolExhausted(err) || errors.Is(err, errBarred) || ctx.Err() != nil:
			case isUnsent(err):
				t.RecordUnreachable(now)
			default:
				t.RecordFailure(now)
			}
		})
		out := outcome{mayHaveRun: !isUnsent(err), unsent: isUnsent(err), cause: err.Error(), elapsed: e.cfg.Clock.Now().Sub(started)}
		if errors.Is(context.Cause(ctx), errHung) {
			out.cause = errHung.Error()
		}
		p.logFailedSend(t, out, 0)
		return out, false
	}
	defer reply.Close()
	return p.handleReply(ctx, t, reply, started)
}

// errBarred means that the target was barred after it was chosen, the host began to shut
// down or the caller closed its side, so that nothing was sent.
var errBarred = errors.New("target is barred")

// checkBarred returns errBarred if this host knows that the target must get nothing now,
// if the request's key was withdrawn or moved, if its regions exclude the target, if the host began to
// shut down meanwhile and might not answer the request any more, or if the caller closed its
// side.
func (p *proxiedRequest) checkBarred(t *kqselection.Target) error {
	e := p.engine
	if !e.shutdown.Takes(p.deadline) {
		return errors.Wrap(errBarred, causeShutdown)
	}
	if cause := p.keyChange(e.routing.Load().table); cause != "" {
		return errors.Wrap(errBarred, cause)
	}
	allows := p.allows()
	now := e.cfg.Clock.Now()
	e.mu.Lock()
	e.refreshEntries(now)
	reason, since := t.BarredToSend(now), t.DrainingSince
	e.mu.Unlock()
	if reason == kqselection.NotBarred && allows != nil && !allows(t) {
		reason = wrongRegion
	}
	if reason == kqselection.NotBarred {
		if !p.caller.passOn(p.route.Kind.Repeatable()) {
			return errors.Wrap(errBarred, causeCallerClosed)
		}
		if !p.useToken() {
			return errors.Wrap(errBarred, causeLimitExpiry)
		}
		e.metrics.firstByte.Update(now.Sub(p.chosen.at))
		return nil
	}
	e.metrics.barred.Inc(1)
	e.metrics.barredBy[reason].Inc(1)
	p.logBarred(t, reason, now, since)
	return errors.Wrap(errBarred, string(reason))
}

// targetRequest returns the request that is sent to the target.
func (p *proxiedRequest) targetRequest(t *kqselection.Target) kqtransport.Request {
	names := p.engine.cfg.HeaderNames
	h := p.header.Clone()
	p.withholdKey(h)
	left := max(time.Until(p.deadline).Milliseconds(), 1)
	h.Set(names.Deadline, strconv.FormatInt(left, 10))
	h.Set(names.Target, t.ID)
	out := kqtransport.Request{
		Method: p.in.Method, URL: p.in.URL, Host: p.in.Host, Header: h, Body: p.body, BodyRest: p.bodyRest, BodyLength: p.in.ContentLength,
		Addr: t.Addr, Instance: instanceKey(t), MaxConns: p.engine.maxConns(p.routing.table, p.service),
		AtMostOnce: !p.route.Kind.Repeatable(), NoReuse: p.id == "", AcceptCloseDelimited: true,
		IsForeign: func(earlier kqtransport.Exchanges, status int, header http.Header) bool {
			return p.isForeign(t, earlier, status, header)
		},
	}
	return out
}

// finishSend uncounts a send to the target and calls record with the lock held to
// note its result.
func (p *proxiedRequest) finishSend(t *kqselection.Target, record func(now time.Time)) {
	e := p.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	t.EndSend(p.watched.Send)
	record(e.cfg.Clock.Now())
}

// uncountSend takes back a send that was counted and never began.
func (e *Engine) uncountSend(t *kqselection.Target) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t.InFlight--
	t.ReleaseCold()
}

// handleReply checks the header of a response and passes a valid response to the
// caller.
func (p *proxiedRequest) handleReply(ctx context.Context, t *kqselection.Target, reply *kqtransport.Reply, started time.Time) (outcome, bool) {
	e, names := p.engine, p.engine.cfg.HeaderNames
	e.mu.Lock()
	ch := e.chooser(p.service)
	e.mu.Unlock()
	sample, hasLoad := parseLoad(reply.Header.Get(names.Load), e.cfg.Clock.Now())
	e.recordTerms(t, reply.Status, reply.Header)
	reject := func(record func(time.Time), out outcome) (outcome, bool) {
		p.finishSend(t, func(now time.Time) {
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
	switch {
	case !p.isOwn(reply):
		return reject(t.RecordFailure, outcome{mayHaveRun: true, cause: "the answer belongs to another request"})
	case reply.Status == http.StatusMisdirectedRequest:
		return reject(t.RecordMismatch, outcome{cause: "another target answers at the address"})
	case reply.Header.Get(names.NotExecuted) != "":
		return reject(t.RecordFailure, outcome{cause: "the target did not run it"})
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
		p.deliver(reply, body, e.readAheads.start(reply.Body, func(err error) {
			reply.Close() // the caller may still receive for a while
			p.finishSend(t, func(now time.Time) {
				switch {
				case err == nil:
					t.RecordSuccess(now)
				case ctx.Err() == nil && !errors.Is(err, io.ErrClosedPipe):
					t.RecordFailure(now)
				}
			})
		}))
		return outcome{}, true
	}
	p.finishSend(t, func(now time.Time) {
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
	p.deliver(reply, body, nil)
	return outcome{}, true
}

// couldRetry reports whether the route and the deadline allow another send, without
// taking a retry from the budget.
func (p *proxiedRequest) couldRetry() bool {
	return p.sends+1 < p.route.Attempts && time.Until(p.deadline) > p.engine.cfg.Clock.Now().Sub(p.started)
}

// readReply reads a small response completely, and of a large one the beginning.
func readReply(reply *kqtransport.Reply) (body []byte, complete bool, err error) {
	var buf bytes.Buffer
	if size := min(reply.BodyLength, maxBufferedReply); size > 0 {
		buf.Grow(int(size) + bytes.MinRead)
	}
	n, err := io.Copy(&buf, io.LimitReader(reply.Body, maxBufferedReply))
	if err != nil {
		return nil, false, err
	}
	return buf.Bytes(), n < maxBufferedReply, nil
}

// deliver writes the response to the caller: body, and then what rest reads, if it is
// not nil. If the response is truncated on the way, it aborts the caller's connection, so
// that the caller can tell.
func (p *proxiedRequest) deliver(reply *kqtransport.Reply, body []byte, rest *readAhead) {
	e := p.engine
	p.closeIfStopping(rest != nil)
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
	case rest == nil:
		h.Set("Content-Length", strconv.Itoa(len(body)))
	case reply.BodyLength >= 0:
		h.Set("Content-Length", strconv.FormatInt(reply.BodyLength, 10))
	}
	p.w.WriteHeader(reply.Status)
	cause := "caller: "
	err := p.writeBounded(body)
	if rest != nil {
		failing := io.Writer(p.w)
		if err != nil {
			failing = failedWriter{err}
		}
		var fromTarget bool
		if fromTarget, err = rest.writeTo(e.pacer.Writer(p.deliveryContext(), failing), p.boundStall); fromTarget {
			cause = "target: "
		}
	}
	if len(body) >= minBlockingBody {
		p.endStallBound()
	}
	if err != nil && !bodyless {
		e.metrics.failed.Inc(1)
		p.logOutcome("broken", reply.Status, cause+err.Error())
		panic(http.ErrAbortHandler)
	}
	e.metrics.answered.Inc(1)
	p.sends++
	p.logOutcome("answered", reply.Status, "")
}

// failedWriter fails every write with an earlier error.
type failedWriter struct{ err error }

func (w failedWriter) Write([]byte) (int, error) { return 0, w.err }

// maxCallerStall is how long a caller may receive nothing of a large response before its
// connection is closed: slow callers make progress, and others would hold memory for ever.
const maxCallerStall = 15 * time.Second

// minBlockingBody is the body size in bytes from which writing it may wait for the caller: the
// server buffers less, and the socket much more.
const minBlockingBody = 4 << 10

// writeBounded writes the body, or the beginning of a long one, to the caller.
func (p *proxiedRequest) writeBounded(body []byte) error {
	if len(body) < minBlockingBody {
		_, err := p.w.Write(body)
		return err
	}
	for chunk := range slices.Chunk(body, readAheadChunk) {
		p.boundStall()
		if _, err := p.w.Write(chunk); err != nil {
			return err
		}
	}
	return nil
}

// boundStall bounds the time of the next write to the caller.
func (p *proxiedRequest) boundStall() {
	_ = http.NewResponseController(p.w).SetWriteDeadline(time.Now().Add(maxCallerStall)) // not all writers support it
}

// endStallBound sends what is buffered within the current bound and removes the bound,
// which would otherwise hold for the next request on the connection.
func (p *proxiedRequest) endStallBound() {
	rc := http.NewResponseController(p.w)
	_ = rc.Flush()                       // an error shows at the next write
	_ = rc.SetWriteDeadline(time.Time{}) // not all writers support it
}
