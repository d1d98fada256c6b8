package kqproxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"kumquatglade/internal/route/kqselection"
	"kumquatglade/internal/state/kqroutes"

	"github.com/cockroachdb/errors"
)

const (
	maxBufferedBody    = 1 << 20              // bytes of a request body that are read before it is sent on
	noRoutesRetryAfter = 1 * time.Second      // after which a caller may try a host that has no routes yet
	maxUnreachable     = 3                    // targets that one attempt may find unreachable
	minTimeLeft        = 5 * time.Millisecond // left, below which a send is in vain: some round trips between failure domains
	defaultTimeout     = time.Minute          // for a request whose caller and route name no time
)

// passage is one request on its way.
type proxiedRequest struct {
	engine   *Engine
	w        http.ResponseWriter
	in       *http.Request
	started  time.Time
	deadline time.Time // when the caller or the route gives up
	firstTry time.Time // when the caller began, as far as its earlier tries show
	id       string
	route    *kqroutes.Route
	routing  *routingState

	service  string
	body     []byte
	bodyRest io.Reader // of a body that is longer than keptBody
	header   http.Header
	chosen   choice
	heldFor  atomic.Int64 // nanoseconds for which the end of a long body waited
	sends    int
}

// serve answers the request.
func (p *proxiedRequest) serve() {
	p.routing = p.engine.routing.Load()
	if p.routing == nil {
		p.refuse(http.StatusServiceUnavailable, "no confirmed routes yet", noRoutesRetryAfter)
		return
	}
	route, ok := p.routing.table.Find(p.in.Host, p.in.URL.Path)
	if !ok {
		p.refuse(http.StatusNotFound, "no route", 0)
		return
	}
	p.route = route
	p.deadline = p.computeDeadline()
	if status, err := p.readBody(); err != nil {
		p.refuse(status, err.Error(), 0)
		return
	}
	p.engine.mu.Lock()
	u := p.engine.cfg.Rand.Float64()
	p.engine.mu.Unlock()
	p.service = route.Pick(u)
	p.header = forwardedHeader(p.in.Header)
	p.engine.countRequest(p.service)
	ctx, cancel := context.WithDeadline(p.in.Context(), p.deadline)
	defer cancel()
	p.send(ctx)
}

// limit is when the request is given up: what the caller waits, at most what
// the route allows.
func (p *proxiedRequest) computeDeadline() time.Time {
	most := defaultTimeout
	p.firstTry = p.started
	if ms, err := strconv.ParseInt(p.in.Header.Get(p.engine.cfg.HeaderNames.Deadline), 10, 64); err == nil && ms >= 0 {
		most = min(time.Duration(ms)*time.Millisecond, kqroutes.MaxTimeout)
		p.firstTry = p.started.Add(-p.engine.timeInEarlierTries(p.route.Name, most))
	}
	return p.started.Add(min(most, p.route.Timeout))
}

// age is for how long a caller that waits so much longer has been waiting: the
// callers of a route begin with the same time, and what they lack of the longest
// one that was seen has gone by in earlier tries.
func (e *Engine) timeInEarlierTries(route string, left time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	longest := max(e.longestTimeouts[route], left)
	e.longestTimeouts[route] = longest
	return longest - left
}

// readBody reads the body, so that a slow caller holds no slot of a target; of
// a long one only the beginning.
func (p *proxiedRequest) readBody() (status int, err error) {
	if p.in.Body == nil || p.in.Body == http.NoBody {
		return 0, nil
	}
	limit := p.routing.table.Limits.Body
	if limit > 0 && p.in.ContentLength > limit {
		return http.StatusRequestEntityTooLarge, errors.Newf("body of %d bytes", p.in.ContentLength)
	}
	rc := http.NewResponseController(p.w)
	_ = rc.SetReadDeadline(p.deadline) // a caller too slow for its own deadline; not all writers have one
	buf := bytes.NewBuffer(make([]byte, 0, max(512, min(p.in.ContentLength+1, maxBufferedBody))))
	_, err = io.CopyN(buf, p.in.Body, maxBufferedBody)
	p.body = buf.Bytes()
	switch {
	case err == io.EOF: //nolint:errorlint // CopyN returns it as it is
		err = nil
	case err == nil:
		p.bodyRest = p.in.Body
		if limit > 0 {
			p.bodyRest = http.MaxBytesReader(nil, p.in.Body, limit-maxBufferedBody)
		}
	}
	if err != nil {
		p.w.Header().Set("Connection", "close")
		return http.StatusRequestTimeout, errors.Wrap(err, "body")
	}
	if p.bodyRest == nil {
		_ = rc.SetReadDeadline(time.Time{}) // see above
	}
	return 0, nil
}

// outcome is how one send ended without an answer for the caller.
type outcome struct {
	mayHaveRun bool // the target may have run it, or may still
	unsent     bool // nothing reached the target
	cause      string
	elapsed    time.Duration
}

// send sends the request to one target after the other until one answers, as
// far as its route allows.
func (p *proxiedRequest) send(ctx context.Context) {
	var tried []*kqselection.Target
	mayRun, misses := false, 0
	last := outcome{cause: "no target"}
	for {
		if p.sends > 0 && !p.beginRetry(mayRun) {
			break
		}
		if time.Until(p.deadline) < minTimeLeft || ctx.Err() != nil {
			break
		}
		var word string
		p.chosen, word = p.choose(ctx, tried)
		t := p.chosen.Target
		if t == nil {
			if p.sends == 0 && misses == 0 {
				last.cause = word
			}
			break
		}
		tried = append(tried, t)
		res, answered := p.attempt(ctx, t)
		if answered {
			return
		}
		last = res
		if res.unsent {
			if misses++; misses >= maxUnreachable {
				break
			}
			continue
		}
		p.sends++
		mayRun = mayRun || res.mayHaveRun
	}
	p.giveUp(ctx, mayRun, last)
}

// again reports whether one more send is allowed.
func (p *proxiedRequest) beginRetry(mayRun bool) bool {
	if mayRun && !p.route.Kind.Repeatable() || p.bodyRest != nil {
		return false
	}
	if p.sends >= max(p.route.Attempts, 1) || !p.engine.takeRetry(p.service) {
		return false
	}
	p.engine.metrics.retries.Inc(1)
	return true
}

// giveUp makes the system's own answer.
func (p *proxiedRequest) giveUp(ctx context.Context, mayRun bool, last outcome) {
	if p.in.Context().Err() != nil {
		p.logOutcome("left", 0, last.cause)
		panic(http.ErrAbortHandler) // the caller has gone
	}
	late := ctx.Err() != nil || time.Until(p.deadline) < minTimeLeft
	switch {
	case !mayRun:
		p.refuse(http.StatusServiceUnavailable, last.cause, p.retryAfter(p.sends > 0))
	case late:
		p.fail(http.StatusGatewayTimeout, last.cause)
	default:
		p.fail(http.StatusBadGateway, last.cause)
	}
}
