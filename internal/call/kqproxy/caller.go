package kqproxy

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// callerWatch ends a request whose caller closed its side of the connection. That is how a
// caller leaves, but HTTP allows a caller to close only its sending side and wait.
type callerWatch struct {
	delivery context.Context // of the response, which may take longer than the request's deadline
	cancel   context.CancelFunc

	mu       sync.Mutex
	closed   bool // the caller closed its side of the connection
	passedOn bool // a target may run the request, which must not be repeated
}

// causeCallerClosed says why a request is given up.
const causeCallerClosed = "the caller closed its side of the connection"

// closeWait is how long a request whose caller closed its side goes on as if nothing had
// happened: half of the half second after which a target must not work for nobody.
const closeWait = 250 * time.Millisecond

// watchCaller returns the context of the sends. It ends at the deadline, or closeWait after
// the caller closed its side, unless the request must not be repeated and was passed on: a
// caller that gets no answer then can't tell whether it ran.
func (p *proxiedRequest) watchCaller() (ctx context.Context, end func()) {
	in := p.in.Context()
	p.caller.delivery, p.caller.cancel = context.WithCancel(context.WithoutCancel(in))
	ctx, cancel := context.WithDeadline(p.caller.delivery, p.deadline)
	unwatch := context.AfterFunc(in, func() {
		if !wasReset(in) {
			timer := time.NewTimer(closeWait)
			defer timer.Stop()
			select {
			case <-ctx.Done():
			case <-timer.C:
			}
		}
		p.caller.close(wasReset(in))
	})
	return ctx, func() {
		unwatch()
		cancel()
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
