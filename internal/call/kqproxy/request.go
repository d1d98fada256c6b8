package kqproxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"kumquatglade/internal/call/kqbody"
	"kumquatglade/internal/call/kqheader"
	"kumquatglade/internal/route/kqselection"
	"kumquatglade/internal/state/kqroutes"

	"github.com/cockroachdb/errors"
)

const (
	maxBufferedBody    = 1 << 20                // bytes of a request body that are read before the request is sent
	noRoutesRetryAfter = 300 * time.Millisecond // least time for a host that has no routes yet: an election and the transfer of a view
	maxUnreachable     = 3                      // number of unreachable targets after which a request is given up
	minTimeLeft        = 5 * time.Millisecond   // below this a send is pointless: a few round trips between failure domains
	defaultTimeout     = time.Minute            // for a request whose caller names no deadline
)

// proxiedRequest is the state of one request that is forwarded.
type proxiedRequest struct {
	engine   *Engine
	w        http.ResponseWriter
	in       *http.Request
	started  time.Time
	deadline time.Time // when the caller's or the route's timeout ends, whichever is earlier
	firstTry time.Time // estimated time of the caller's first try
	id       string
	route    *kqroutes.Route
	routing  *routingState // in force when the request arrived; targets are chosen from the current one

	service  string
	body     []byte
	buffer   *kqbody.Buffer // of body, nil if there is none
	bodyRest io.Reader      // rest of a body that is longer than maxBufferedBody
	header   http.Header
	chosen   choice
	caller   callerWatch
	heldFor  atomic.Int64 // time for which the last byte was held back, in nanoseconds
	sends    int

	quietUntil time.Time // when the first target of the service may get requests again, if all asked for quiet
}

// serve forwards the request and writes the response.
func (p *proxiedRequest) serve() {
	if kqheader.TooMany(p.in.Header) {
		p.refuse(http.StatusRequestHeaderFieldsTooLarge, "too many header fields", 0)
		return
	}
	if p.routing = p.awaitRoutes(); p.routing == nil {
		p.refuse(http.StatusServiceUnavailable, "no confirmed routes yet", p.retryAfterStart())
		return
	}
	route, ok := p.routing.table.Find(p.in.Host, p.in.URL.Path)
	if !ok {
		p.refuse(http.StatusNotFound, "no route", 0)
		return
	}
	p.route = route
	p.deadline = p.computeDeadline()
	if !p.engine.shutdown.Takes(p.deadline) {
		p.refuseForShutdown()
		return
	}
	defer p.releaseBody()
	if status, err := p.readBody(); err != nil {
		p.refuseBody(status, err)
		return
	}
	p.engine.mu.Lock()
	u := p.engine.cfg.Rand.Float64()
	p.engine.mu.Unlock()
	p.service = route.PickService(u)
	p.header = forwardedHeader(p.in.Header)
	p.engine.countRequest(p.service)
	ctx, end := p.watchCaller()
	defer end()
	p.send(ctx)
}

const (
	// startupPeriod is how long after its start a host expects its routes at any moment.
	startupPeriod = 5 * time.Second

	// maxRoutesWait is how long a request waits for the first routes of a host that has
	// just started, and routesWaitDivisor which part of the caller's time it may take. A
	// refused caller would come back later than the routes, with one try less.
	maxRoutesWait     = time.Second
	routesWaitDivisor = 8
)

// awaitRoutes returns the routing state in force. On a host that has just started it waits
// for the first one; it returns nil if that does not come in time.
func (p *proxiedRequest) awaitRoutes() *routingState {
	e := p.engine
	if s := e.routing.Load(); s != nil || p.started.Sub(e.started) > startupPeriod {
		return s
	}
	limit := maxRoutesWait
	if left, ok := p.callerTimeout(); ok {
		limit = min(limit, left/routesWaitDivisor)
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-e.firstRoutes:
	case <-timer.C:
	case <-p.in.Context().Done():
	}
	return e.routing.Load()
}

// retryAfterStart returns when a caller should come back to a host that has no routes yet.
func (p *proxiedRequest) retryAfterStart() time.Duration {
	e := p.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	return noRoutesRetryAfter + time.Duration(e.cfg.Rand.Float64()*float64(noRoutesRetryAfter))
}

// callerTimeout returns how long the caller still waits, if it says so.
func (p *proxiedRequest) callerTimeout() (time.Duration, bool) {
	ms, err := strconv.ParseInt(p.in.Header.Get(p.engine.cfg.HeaderNames.Deadline), 10, 64)
	if err != nil || ms < 0 {
		return 0, false
	}
	return time.Duration(min(ms, kqroutes.MaxTimeout.Milliseconds())) * time.Millisecond, true
}

// computeDeadline returns when the request is given up: when the caller stops
// waiting, or earlier if the route's timeout ends before. It also sets firstTry.
func (p *proxiedRequest) computeDeadline() time.Time {
	timeout := defaultTimeout
	p.firstTry = p.started
	if left, ok := p.callerTimeout(); ok {
		timeout = left
		p.firstTry = p.started.Add(-p.engine.timeInEarlierTries(p.route.Name, timeout))
	}
	return p.started.Add(min(timeout, p.route.Timeout))
}

// timeInEarlierTries estimates how long a caller has been trying that now waits for
// timeout. It assumes that all callers of a route start with the same timeout, and
// that the difference to the longest one seen passed in earlier tries.
func (e *Engine) timeInEarlierTries(route string, timeout time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	longest := max(e.longestTimeouts[route], timeout)
	e.longestTimeouts[route] = longest
	return longest - timeout
}

// readBody reads the body before a target is chosen, so that a slow caller does not
// occupy a slot of a target. Of a long body it reads only the beginning. On an error
// it returns the HTTP status of the response; kqbody.ErrNoRoom says that the host holds as
// many bodies as it can.
func (p *proxiedRequest) readBody() (status int, err error) {
	if p.in.Body == nil || p.in.Body == http.NoBody {
		return 0, nil
	}
	limit := p.routing.table.Limits.Body
	if limit > 0 && p.in.ContentLength > limit {
		return http.StatusRequestEntityTooLarge, errors.Newf("body of %d bytes", p.in.ContentLength)
	}
	rc := http.NewResponseController(p.w)
	_ = rc.SetReadDeadline(p.deadline)                                                                                            // ends a caller that sends too slowly for its own deadline; not all writers support it
	p.buffer = p.engine.bodies.NewBuffer(p.in.ContentLength, maxBufferedBody, func() { _ = rc.SetReadDeadline(time.Unix(1, 0)) }) // not all writers support it
	complete, err := p.buffer.Fill(p.in.Body, p.deadline, p.in.Context().Done())
	p.body = p.buffer.Bytes()
	if errors.Is(err, kqbody.ErrNoRoom) {
		return http.StatusServiceUnavailable, err
	}
	if err == nil && !complete {
		p.bodyRest = p.in.Body
		_ = rc.SetReadDeadline(p.deadline) // the buffer may have cut it; not all writers support it
		if limit > 0 {
			p.bodyRest = http.MaxBytesReader(nil, p.in.Body, limit-maxBufferedBody)
		}
	}
	if err != nil {
		p.w.Header().Set("Connection", "close")
		return http.StatusRequestTimeout, errors.Wrap(err, "body")
	}
	if p.bodyRest == nil {
		_ = rc.SetReadDeadline(time.Time{}) // not all writers support it
	}
	return 0, nil
}

// releaseBody lets other requests use the memory of the body.
func (p *proxiedRequest) releaseBody() {
	if p.buffer != nil {
		p.buffer.Release()
	}
}

// refuseBody responds to a request whose body was not read. If there was no room for it,
// the rest is discarded after the response, since closing the connection while the caller
// still sends could destroy the response.
func (p *proxiedRequest) refuseBody(status int, err error) {
	if !errors.Is(err, kqbody.ErrNoRoom) {
		p.refuse(status, err.Error(), 0)
		return
	}
	p.releaseBody()
	p.body = nil
	rc := http.NewResponseController(p.w)
	_ = rc.EnableFullDuplex() // the caller gets the response while it still sends; not all writers support it
	p.w.Header().Set("Connection", "close")
	p.refuse(status, err.Error(), p.retryAfter(false))
	_ = rc.Flush()                                          // an error shows at the next write
	_, _ = io.CopyN(io.Discard, p.in.Body, maxBufferedBody) // the connection ends either way
}

// outcome is the result of a send that gave no response for the caller.
type outcome struct {
	mayHaveRun bool // the target may have executed the request or may still do so
	unsent     bool // no byte reached the target
	cause      string
	elapsed    time.Duration
}

// causeShutdown says why a request is refused that this host might not answer before it is
// gone.
const causeShutdown = "the host is shutting down"

// send sends the request to one target after another until one gives a response, as
// far as the route, the retry budget and the deadline allow.
func (p *proxiedRequest) send(ctx context.Context) {
	var tried []*kqselection.Target
	mayHaveRun, unreachable := false, 0
	last := outcome{cause: "no target"}
	for {
		if p.sends > 0 && !p.beginRetry(mayHaveRun) {
			break
		}
		if time.Until(p.deadline) < minTimeLeft || ctx.Err() != nil {
			break
		}
		if !p.engine.shutdown.Takes(p.deadline) {
			last.cause = causeShutdown
			break
		}
		var cause string
		p.chosen, cause = p.choose(ctx, tried)
		t := p.chosen.Target
		if t == nil {
			if p.sends == 0 && unreachable == 0 || cause == causeQuiet {
				last.cause = cause
			}
			break
		}
		tried = append(tried, t)
		res, answered := p.attempt(ctx, t)
		if answered {
			return
		}
		last = res
		if !res.mayHaveRun {
			p.caller.takeBack()
		}
		if res.unsent {
			if unreachable++; unreachable >= maxUnreachable {
				break
			}
			continue
		}
		p.sends++
		mayHaveRun = mayHaveRun || res.mayHaveRun
	}
	p.giveUp(ctx, mayHaveRun, last)
}

// beginRetry reports whether another send is allowed, and takes it from the retry
// budget.
func (p *proxiedRequest) beginRetry(mayHaveRun bool) bool {
	if mayHaveRun && !p.route.Kind.Repeatable() || p.bodyRest != nil {
		return false
	}
	if p.sends >= max(p.route.Attempts, 1) || !p.engine.takeRetry(p.service) {
		return false
	}
	p.engine.metrics.retries.Inc(1)
	return true
}

// giveUp writes an error response when no target gave a response.
func (p *proxiedRequest) giveUp(ctx context.Context, mayHaveRun bool, last outcome) {
	if p.caller.gaveUp() || wasReset(p.in.Context()) {
		p.answerClosed(mayHaveRun, last.cause)
		return
	}
	timedOut := ctx.Err() != nil || time.Until(p.deadline) < minTimeLeft
	switch {
	case !mayHaveRun:
		p.refuse(http.StatusServiceUnavailable, last.cause, p.retryAfter(p.sends > 0 || last.cause == causeShutdown))
	case timedOut:
		p.fail(http.StatusGatewayTimeout, last.cause)
	default:
		p.fail(http.StatusBadGateway, last.cause)
	}
}
