package kqpass

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
	keptBody   = 1 << 20              // bytes of a request body that are read before it is sent on
	comeBack   = 1 * time.Second      // after which a caller may try a host that has no routes yet
	missSends  = 3                    // targets that one attempt may find unreachable
	leastTime  = 5 * time.Millisecond // left, below which a send is in vain: some round trips between failure domains
	defaultMax = time.Minute          // for a request whose caller and route name no time
)

// passage is one request on its way.
type passage struct {
	engine *Engine
	w      http.ResponseWriter
	in     *http.Request
	began  time.Time
	until  time.Time // when the caller or the route gives up
	born   time.Time // when the caller began, as far as its earlier tries show
	id     string
	route  *kqroutes.Route
	scene  *scene

	service string
	body    []byte
	rest    io.Reader // of a body that is longer than keptBody
	header  http.Header
	chosen  choice
	held    atomic.Int64 // nanoseconds for which the end of a long body waited
	sends   int
}

// serve answers the request.
func (p *passage) serve() {
	p.scene = p.engine.scene.Load()
	if p.scene == nil {
		p.refuse(http.StatusServiceUnavailable, "no confirmed routes yet", comeBack)
		return
	}
	route, ok := p.scene.table.Find(p.in.Host, p.in.URL.Path)
	if !ok {
		p.refuse(http.StatusNotFound, "no route", 0)
		return
	}
	p.route = route
	p.until = p.limit()
	if status, err := p.readBody(); err != nil {
		p.refuse(status, err.Error(), 0)
		return
	}
	p.engine.mu.Lock()
	u := p.engine.cfg.Rand.Float64()
	p.engine.mu.Unlock()
	p.service = route.Pick(u)
	p.header = passedOn(p.in.Header)
	p.engine.count(p.service)
	ctx, cancel := context.WithDeadline(p.in.Context(), p.until)
	defer cancel()
	p.send(ctx)
}

// limit is when the request is given up: what the caller waits, at most what
// the route allows.
func (p *passage) limit() time.Time {
	most := defaultMax
	p.born = p.began
	if ms, err := strconv.ParseInt(p.in.Header.Get(p.engine.cfg.Names.Deadline), 10, 64); err == nil && ms >= 0 {
		most = min(time.Duration(ms)*time.Millisecond, kqroutes.MaxTimeout)
		p.born = p.began.Add(-p.engine.age(p.route.Name, most))
	}
	return p.began.Add(min(most, p.route.Timeout))
}

// age is for how long a caller that waits so much longer has been waiting: the
// callers of a route begin with the same time, and what they lack of the longest
// one that was seen has gone by in earlier tries.
func (e *Engine) age(route string, left time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	longest := max(e.longest[route], left)
	e.longest[route] = longest
	return longest - left
}

// readBody reads the body, so that a slow caller holds no slot of a target; of
// a long one only the beginning.
func (p *passage) readBody() (status int, err error) {
	if p.in.Body == nil || p.in.Body == http.NoBody {
		return 0, nil
	}
	limit := p.scene.table.Limits.Body
	if limit > 0 && p.in.ContentLength > limit {
		return http.StatusRequestEntityTooLarge, errors.Newf("body of %d bytes", p.in.ContentLength)
	}
	rc := http.NewResponseController(p.w)
	_ = rc.SetReadDeadline(p.until) // a caller too slow for its own deadline; not all writers have one
	buf := bytes.NewBuffer(make([]byte, 0, max(512, min(p.in.ContentLength+1, keptBody))))
	_, err = io.CopyN(buf, p.in.Body, keptBody)
	p.body = buf.Bytes()
	switch {
	case err == io.EOF: //nolint:errorlint // CopyN returns it as it is
		err = nil
	case err == nil:
		p.rest = p.in.Body
		if limit > 0 {
			p.rest = http.MaxBytesReader(nil, p.in.Body, limit-keptBody)
		}
	}
	if err != nil {
		p.w.Header().Set("Connection", "close")
		return http.StatusRequestTimeout, errors.Wrap(err, "body")
	}
	if p.rest == nil {
		_ = rc.SetReadDeadline(time.Time{}) // see above
	}
	return 0, nil
}

// outcome is how one send ended without an answer for the caller.
type outcome struct {
	mayRun  bool // the target may have run it, or may still
	unsent  bool // nothing reached the target
	word    string
	elapsed time.Duration
}

// send sends the request to one target after the other until one answers, as
// far as its route allows.
func (p *passage) send(ctx context.Context) {
	var tried []*kqselection.Target
	mayRun, misses := false, 0
	last := outcome{word: "no target"}
	for {
		if p.sends > 0 && !p.again(mayRun) {
			break
		}
		if time.Until(p.until) < leastTime || ctx.Err() != nil {
			break
		}
		var word string
		p.chosen, word = p.choose(ctx, tried)
		t := p.chosen.Target
		if t == nil {
			if p.sends == 0 && misses == 0 {
				last.word = word
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
			if misses++; misses >= missSends {
				break
			}
			continue
		}
		p.sends++
		mayRun = mayRun || res.mayRun
	}
	p.giveUp(ctx, mayRun, last)
}

// again reports whether one more send is allowed.
func (p *passage) again(mayRun bool) bool {
	if mayRun && !p.route.Kind.Repeatable() || p.rest != nil {
		return false
	}
	if p.sends >= max(p.route.Attempts, 1) || !p.engine.second(p.service) {
		return false
	}
	p.engine.counts.second.Inc(1)
	return true
}

// giveUp makes the system's own answer.
func (p *passage) giveUp(ctx context.Context, mayRun bool, last outcome) {
	if p.in.Context().Err() != nil {
		p.note("left", 0, last.word)
		panic(http.ErrAbortHandler) // the caller has gone
	}
	late := ctx.Err() != nil || time.Until(p.until) < leastTime
	switch {
	case !mayRun:
		p.refuse(http.StatusServiceUnavailable, last.word, p.retryAfter(p.sends > 0))
	case late:
		p.fail(http.StatusGatewayTimeout, last.word)
	default:
		p.fail(http.StatusBadGateway, last.word)
	}
}
