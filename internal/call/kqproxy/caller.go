package kqproxy

import (
	"context"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// callerWatch ends a request whose caller closed its side of the connection. That is how a
// caller leaves, but HTTP allows a caller to close only its sending side and wait.
type callerWatch struct {
	cancel context.CancelFunc

	mu       sync.Mutex
	closed   bool // the caller closed its side of the connection
	passedOn bool // a target may run the request, which must not be repeated
}

// causeCallerClosed says why a request is given up.
const causeCallerClosed = "the caller closed its side of the connection"

// watchCaller returns the context of the sends. It ends at the deadline, or when the caller
// closes its side, unless the request must not be repeated and was passed on: a caller that
// gets no answer then can't tell whether it ran.
func (p *proxiedRequest) watchCaller() (ctx context.Context, end func()) {
	in := p.in.Context()
	ctx, p.caller.cancel = context.WithDeadline(context.WithoutCancel(in), p.deadline)
	unwatch := context.AfterFunc(in, func() { p.caller.close(wasReset(in)) })
	return ctx, func() {
		unwatch()
		p.caller.cancel()
	}
}

// wasReset reports whether the caller certainly left. The server ends the context without
// a cause when nothing more can be read; a listener that knows better names one.
func wasReset(in context.Context) bool {
	return in.Err() != nil && !errors.Is(context.Cause(in), context.Canceled)
}

// close records that the caller closed its side.
func (w *callerWatch) close(reset bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	if reset || !w.passedOn {
		w.cancel()
	}
}

// passOn records that a target gets the request now, and reports whether it may. A request
// that may be repeated is given up even then.
func (w *callerWatch) passOn(repeatable bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return false
	}
	w.passedOn = !repeatable
	return true
}

// takeBack records that no target has run the request or will.
func (w *callerWatch) takeBack() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.passedOn = false
	if w.closed {
		w.cancel()
	}
}

// gaveUp reports whether the request ends because the caller closed its side.
func (w *callerWatch) gaveUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed && !w.passedOn
}

// deliveryContext returns the context of the delivery of a response. It may last longer
// than the request's deadline.
func (p *proxiedRequest) deliveryContext() context.Context {
	if p.route.Kind.Repeatable() {
		return p.in.Context()
	}
	return context.WithoutCancel(p.in.Context()) // a write fails if the caller left
}

// answerClosed responds to a caller that closed its side and may still wait. It aborts the
// connection of one that certainly left.
func (p *proxiedRequest) answerClosed(mayHaveRun bool, cause string) {
	status := http.StatusServiceUnavailable
	if mayHaveRun {
		status = http.StatusBadGateway
	}
	if wasReset(p.in.Context()) {
		status = 0
	}
	p.logOutcome("left", status, cause)
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	if !mayHaveRun {
		p.setRetryAfter(p.retryAfter(p.sends > 0))
	}
	p.writeError(status, causeCallerClosed)
}
