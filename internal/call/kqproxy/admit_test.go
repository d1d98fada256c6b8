package kqproxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"kumquatglade/internal/route/kqtokens"
	"kumquatglade/internal/state/kqroutes"
)

// fakeLimiter has a number of tokens, which are valid for a while.
type fakeLimiter struct {
	mu       sync.Mutex
	tokens   int
	life     time.Duration
	outcome  kqtokens.Outcome // without a token
	taken    int
	returned int
}

func (l *fakeLimiter) Take(context.Context, *kqroutes.Owner, bool) kqtokens.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tokens == 0 {
		return kqtokens.Decision{Outcome: l.outcome, RetryAfter: 1234 * time.Millisecond}
	}
	l.tokens--
	l.taken++
	return kqtokens.Decision{Outcome: kqtokens.Granted, Token: kqtokens.Token{By: "v", Sent: time.Now()}}
}

func (l *fakeLimiter) Return(*kqroutes.Owner, kqtokens.Token) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.returned++
	l.tokens++
}

func (l *fakeLimiter) Valid(t kqtokens.Token) bool { return time.Since(t.Sent) < l.life }

// limitTo makes all requests of the fixture those of an owner with a limit.
func (f *fixture) limitTo(t *testing.T, tokens int) *fakeLimiter {
	l := &fakeLimiter{tokens: tokens, life: time.Minute, outcome: kqtokens.Refused}
	f.serveOwner(t, l, &kqroutes.Owner{Name: "o", Rate: 1})
	return l
}

func (f *fixture) serveOwner(t *testing.T, l Limiter, o *kqroutes.Owner) {
	e := f.engine
	e.cfg.Limiter = l
	f.server.Close()
	f.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p := &proxiedRequest{engine: e, w: w, in: r}
		p.started, p.id, p.owner = e.cfg.Clock.Now(), r.Header.Get(e.cfg.HeaderNames.RequestID), o
		p.serve()
	}))
	t.Cleanup(f.server.Close)
}

// TestLimitRefuses guards against requests beyond a limit that run, that cost a target anything
// or that wait.
func TestLimitRefuses(t *testing.T) {
	for outcome, status := range map[kqtokens.Outcome]int{kqtokens.Refused: http.StatusTooManyRequests, kqtokens.Unanswered: http.StatusServiceUnavailable} {
		f := newFixture(t, kqroutes.Safe, time.Second, replyOK)
		l := f.limitTo(t, 1)
		l.outcome = outcome
		if res, _, err := f.call("/filings/1", ""); err != nil || res.StatusCode != http.StatusOK {
			t.Fatalf("%v %v", res, err)
		}
		probes := f.fakeTargets[0].probes.Load()
		res, _, err := f.call("/filings/1", "filing")
		if err != nil || res.StatusCode != status || res.Header.Get("Retry-After") != "1.234" {
			t.Fatalf("%v %v", res, err)
		}
		if f.arrivals() != 1 || f.fakeTargets[0].probes.Load() != probes || f.queueLen("kekhai") != 0 || f.target(0).InFlight != 0 {
			t.Errorf("a refused request had %d arrivals, %d probes", f.arrivals()-1, f.fakeTargets[0].probes.Load()-probes)
		}
	}
}

// TestLimitCountsSends guards against sends that are not counted, and against tokens that are
// lost for requests that no target ran.
func TestLimitCountsSends(t *testing.T) {
	wrongTarget := replyWith(func(*http.Request) string { return "HTTP/1.1 421 Wrong\r\nContent-Length: 0\r\n\r\n" }, true)
	for _, c := range []struct {
		name            string
		kind            kqroutes.Kind
		do              responder
		tokens          int
		status          int
		arrivals, taken int
		left            int // tokens afterwards
	}{
		{"answered", kqroutes.Safe, replyOK, 3, 200, 1, 1, 2},
		{"repeated", kqroutes.Safe, resetConn, 3, 200, 2, 2, 1},
		{"no token for the repetition", kqroutes.Safe, resetConn, 1, 502, 1, 1, 0},
		{"not executed, then answered", kqroutes.Unsafe, replyNotExecuted, 3, 200, 2, 1, 2},
		{"wrong target, then answered", kqroutes.Unsafe, wrongTarget, 1, 200, 2, 1, 0},
		{"lost", kqroutes.Unsafe, resetConn, 3, 502, 1, 1, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := failFirst(c.do)
			f := newFixture(t, c.kind, time.Second, a, b)
			l := f.limitTo(t, c.tokens)
			res, _, err := f.call("/filings/7", "filing")
			if err != nil || res.StatusCode != c.status || f.arrivals() != c.arrivals {
				t.Fatalf("%v %v after %d arrivals", res, err, f.arrivals())
			}
			if l.taken != c.taken || l.tokens != c.left {
				t.Errorf("%d tokens taken, %d left, want %d and %d", l.taken, l.tokens, c.taken, c.left)
			}
		})
	}
	f := newFixture(t, kqroutes.Unsafe, time.Second, replyNotExecuted)
	l := f.limitTo(t, 1)
	if res, _, err := f.call("/filings/7", "filing"); err != nil || res.StatusCode != http.StatusServiceUnavailable || l.returned != 1 {
		t.Errorf("not executed by any target: %v %v, %d tokens returned", res, err, l.returned)
	}
}

// TestLimitWhileQueued guards against requests that wait for a target and are then sent with
// tokens of an earlier window.
func TestLimitWhileQueued(t *testing.T) {
	for tokens, status := range map[int]int{1: http.StatusTooManyRequests, 2: http.StatusOK} {
		f := newFixtureWithObjective(t, kqroutes.Unsafe, 2*time.Second, time.Second, replyOK)
		l := f.limitTo(t, tokens)
		l.life = 50 * time.Millisecond
		f.fakeTargets[0].setLoad("4,0,4,100")
		got := make(chan int, 1)
		go func() {
			res, _, err := f.call("/filings/1", "filing")
			if err != nil {
				t.Error(err)
				got <- 0
				return
			}
			got <- res.StatusCode
		}()
		waitFor(t, "the request is queued", func() bool { return f.queueLen("kekhai") == 1 })
		time.Sleep(2 * l.life) // real time: the tokens of the fake expire
		f.fakeTargets[0].setLoad("0,0,4,100")
		if s := <-got; s != status || f.arrivals() != tokens-1 || f.target(0).InFlight != 0 {
			t.Errorf("%d tokens: status %d, %d arrivals, %d in flight", tokens, s, f.arrivals(), f.target(0).InFlight)
		}
	}
}

// TestNoLimitAsksNobody guards against messages and work for owners without a limit.
func TestNoLimitAsksNobody(t *testing.T) {
	f := newFixture(t, kqroutes.Safe, time.Second, replyOK)
	l := &fakeLimiter{}
	for _, o := range []*kqroutes.Owner{nil, {Name: "o", Burst: 5}} {
		f.serveOwner(t, l, o)
		if res, _, err := f.call("/filings/1", ""); err != nil || res.StatusCode != http.StatusOK || l.taken != 0 {
			t.Errorf("%v %v, %d tokens taken", res, err, l.taken)
		}
		p := &proxiedRequest{engine: f.engine}
		p.owner = o
		if n := testing.AllocsPerRun(10, func() { p.admit(t.Context()); p.useToken(); p.returnToken() }); n != 0 {
			t.Errorf("%v allocations", n)
		}
	}
}
