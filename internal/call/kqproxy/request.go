package kqproxy

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"kumquatglade/internal/call/kqbody"
	"kumquatglade/internal/call/kqheader"
	"kumquatglade/internal/state/kqroutes"
)

// proxiedRequest is a request that is forwarded. It passes stages in the order of serve: each
// either fills a part of it or refuses the request.
type proxiedRequest struct {
	engine *Engine
	w      http.ResponseWriter
	in     *http.Request
	caller callerWatch

	requestSpec
	requestBody
	requestProgress
	admission
}

// requestSpec says what the request is. It is set once, by classify and authorize.
type requestSpec struct {
	id       string
	started  time.Time
	routing  *routingState // in force when the request arrived; targets are chosen from the current one
	route    *kqroutes.Route
	service  string
	priority int             // 0 is the highest
	owner    *kqroutes.Owner // that has the key, nil if the request needs none
	key      kqroutes.KeyDigest
	deadline time.Time   // when the caller's or the route's timeout ends, whichever is earlier
	firstTry time.Time   // estimated time of the caller's first try
	header   http.Header // fields that the target gets
}

// requestBody is the body, of which only the beginning is held if it is long.
type requestBody struct {
	body     []byte
	buffer   *kqbody.Buffer // of body, nil if there is none
	bodyRest io.Reader      // rest of a body that is longer than maxBufferedBody
}

// requestProgress is what has become of the request so far.
type requestProgress struct {
	chosen     choice
	sends      int
	watched    watchedSend  // the send under way
	heldFor    atomic.Int64 // time for which the last byte was held back, in nanoseconds
	quietUntil time.Time    // when the first target of the service may get requests again, if all asked for quiet
}

// refusal says why a request is refused before any target could get it.
type refusal struct {
	status     int
	cause      string
	retryAfter time.Duration // 0: the response has no Retry-After field
}

// serve forwards the request and writes the response.
func (p *proxiedRequest) serve() {
	if r := p.classify(); r != nil {
		p.refuse(r.status, r.cause, r.retryAfter)
		return
	}
	if r := p.authorize(); r != nil {
		p.refuse(r.status, r.cause, r.retryAfter)
		return
	}
	if !p.engine.shutdown.Takes(p.deadline) {
		p.refuseForShutdown()
		return
	}
	defer p.returnToken()
	if r := p.admit(p.in.Context()); r != nil {
		p.refuse(r.status, r.cause, r.retryAfter)
		return
	}
	defer p.releaseBody()
	if status, err := p.readBody(); err != nil {
		p.refuseBody(status, err)
		return
	}
	p.engine.countRequest(p.service)
	ctx, end := p.watchCaller()
	defer end()
	p.send(ctx)
}

// classify finds the route, the service and the deadline of the request.
func (p *proxiedRequest) classify() *refusal {
	if kqheader.TooMany(p.in.Header) {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, cause: "too many header fields"}
	}
	if p.routing = p.awaitRoutes(); p.routing == nil {
		return &refusal{http.StatusServiceUnavailable, "no confirmed routes yet", p.retryAfterStart()}
	}
	route, ok := p.findRoute(p.routing.table)
	if !ok {
		return &refusal{status: http.StatusNotFound, cause: "no route"}
	}
	p.route, p.priority = route, route.Priority
	p.deadline = p.computeDeadline()
	p.service = route.PickService(p.engine.randomFloat())
	p.header = forwardedHeader(p.in.Header)
	return nil
}

// findRoute returns the route of the request in the table, and false if there is none.
func (p *proxiedRequest) findRoute(table *kqroutes.Table) (*kqroutes.Route, bool) {
	find := table.FindAnyPort
	if p.engine.cfg.ExactHosts {
		find = table.Find
	}
	return find(p.in.Host, kqheader.Path(p.in.URL))
}

const (
	noRoutesRetryAfter = 300 * time.Millisecond // least time for a host that has no routes yet: an election and the transfer of a view
	defaultTimeout     = time.Minute            // for a request whose caller names no deadline

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
