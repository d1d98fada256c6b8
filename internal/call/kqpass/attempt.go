package kqpass

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"kumquatglade/internal/call/kqforward"
	"kumquatglade/internal/route/kqselection"

	"github.com/cockroachdb/errors"
)

// keptAnswer is the largest answer in bytes that is read whole before the
// caller gets it, so that one that breaks off can come from another target.
const keptAnswer = 64 << 10

// longBody is the size in bytes from which a body is long on its way: 13 ms on the
// slowest link of an entry host, a tenth of the time for which a target's slowness
// stays.
const longBody = 8 << 10

func unsent(err error) bool {
	var e *kqforward.Error
	return errors.As(err, &e) && e.Unsent
}

func full(err error) bool {
	var e *kqforward.Error
	return errors.As(err, &e) && e.Full
}

// attempt sends the request to the target once; true says that the caller has
// its answer.
func (p *passage) attempt(ctx context.Context, t *kqselection.Target) (outcome, bool) {
	e := p.engine
	began := e.cfg.Clock.Now()
	req := p.request(t)
	if len(p.body) >= longBody && p.rest == nil {
		req.Hold = func(ctx context.Context) { p.hold(ctx, t) }
	}
	reply, err := e.pool.Send(ctx, req)
	if err != nil {
		e.settle(t, func(now time.Time) {
			switch {
			case full(err) || ctx.Err() != nil:
			case unsent(err):
				t.RecordUnreachable(now)
			default:
				t.RecordFailure(now)
			}
		})
		out := outcome{mayRun: !unsent(err), unsent: unsent(err), word: err.Error(), elapsed: e.cfg.Clock.Now().Sub(began)}
		p.noteSend(t, out, 0)
		return out, false
	}
	defer reply.Close()
	return p.take(ctx, t, reply, began)
}

// request is the request as the target gets it.
func (p *passage) request(t *kqselection.Target) kqforward.Request {
	names := p.engine.cfg.Names
	h := p.header.Clone()
	left := max(time.Until(p.until).Milliseconds(), 1)
	h.Set(names.Deadline, strconv.FormatInt(left, 10))
	h.Set(names.Target, t.ID)
	out := kqforward.Request{
		Method: p.in.Method, URL: p.in.URL, Host: p.in.Host, Header: h, Body: p.body, Rest: p.rest, Length: p.in.ContentLength,
		Addr: t.Addr, Conns: p.engine.connections(p.scene, p.service), Once: !p.route.Kind.Repeatable(), CloseEnds: true,
	}
	return out
}

// settle ends a send to the target and notes how it went.
func (e *Engine) settle(t *kqselection.Target, note func(now time.Time)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t.InFlight--
	note(e.cfg.Clock.Now())
}

// take judges the head of an answer and passes a good one on.
func (p *passage) take(ctx context.Context, t *kqselection.Target, reply *kqforward.Reply, began time.Time) (outcome, bool) {
	e, names := p.engine, p.engine.cfg.Names
	e.mu.Lock()
	ch := e.chooser(p.service)
	e.mu.Unlock()
	sample, told := parseLoad(reply.Header.Get(names.Load), e.cfg.Clock.Now())
	bad := func(note func(time.Time), out outcome) (outcome, bool) {
		e.settle(t, func(now time.Time) {
			note(now)
			if told {
				t.RecordLoad(sample)
				ch.AssignHeadroom(t, now)
			}
		})
		out.elapsed = e.cfg.Clock.Now().Sub(began)
		p.noteSend(t, out, reply.Status)
		return out, false
	}
	own := p.id == "" || reply.Header.Get(names.ID) == p.id
	switch {
	case reply.Status == http.StatusMisdirectedRequest:
		return bad(t.RecordMismatch, outcome{word: "another target answers at the address"})
	case reply.Header.Get(names.NotRun) != "":
		// The target took the request off the connection: its word stands even
		// where it does not echo the id.
		return bad(t.RecordFailure, outcome{word: "the target did not run it"})
	case !own:
		return bad(t.RecordFailure, outcome{mayRun: true, word: "the answer belongs to another request"})
	case reply.Status/100 == 2 && (reply.Header.Get(names.Seal) == "" || reply.Header.Get("Content-Encoding") != ""):
		return bad(t.RecordFailure, outcome{mayRun: true, word: "the answer is not the target's own"})
	case reply.Status/100 == 5 && p.route.Kind.Repeatable() && p.mayRepeat():
		return bad(t.RecordFailure, outcome{mayRun: true, word: "the target failed"})
	}
	body, whole, err := readAnswer(reply)
	if err != nil {
		note := t.RecordFailure
		if ctx.Err() != nil {
			note = func(time.Time) {}
		}
		return bad(note, outcome{mayRun: true, word: "the answer broke off: " + err.Error()})
	}
	if !whole {
		p.deliver(reply, body, whole)
		e.settle(t, func(now time.Time) { t.RecordSuccess(now) })
		return outcome{}, true
	}
	e.settle(t, func(now time.Time) {
		if reply.Status/100 == 5 {
			t.RecordFailure(now)
		} else {
			t.RecordSuccess(now)
			ch.RecordServiceTime(p.chosen.Choice, e.unit(p.route.Name), now.Sub(began))
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
func (p *passage) mayRepeat() bool {
	return p.sends+1 < p.route.Attempts && time.Until(p.until) > p.engine.cfg.Clock.Now().Sub(p.began)
}

// readAnswer reads a small answer whole; of a large one only the beginning.
func readAnswer(reply *kqforward.Reply) (body []byte, whole bool, err error) {
	size := reply.Length
	if size > keptAnswer {
		return nil, false, nil
	}
	var buf bytes.Buffer
	if size > 0 {
		buf.Grow(int(size) + bytes.MinRead)
	}
	n, err := io.Copy(&buf, io.LimitReader(reply.Body, keptAnswer))
	if err != nil {
		return nil, false, err
	}
	if n < keptAnswer {
		return buf.Bytes(), true, nil
	}
	return buf.Bytes(), false, nil
}

// deliver gives the answer to the caller; one that breaks off on the way breaks
// the caller's connection.
func (p *passage) deliver(reply *kqforward.Reply, body []byte, whole bool) {
	e := p.engine
	h := p.w.Header()
	closing := h.Get("Connection")
	for k, v := range reply.Header {
		h[k] = v
	}
	dropHop(h)
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
	case reply.Length >= 0:
		h.Set("Content-Length", strconv.FormatInt(reply.Length, 10))
	}
	p.w.WriteHeader(reply.Status)
	_, err := p.w.Write(body)
	if err == nil && !whole && !bodyless {
		_, err = io.Copy(p.w, reply.Body)
	}
	if err != nil && !bodyless {
		e.counts.failed.Inc(1)
		p.note("broken", reply.Status, err.Error())
		if !whole {
			e.settle(p.chosen.Target, func(time.Time) {})
		}
		panic(http.ErrAbortHandler)
	}
	e.counts.answered.Inc(1)
	p.sends++
	p.note("answered", reply.Status, "")
}
