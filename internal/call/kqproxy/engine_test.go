package kqproxy

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	kq "kumquatglade"
	"kumquatglade/internal/host/kqclock"
	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/route/kqselection"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqroutes"
	"kumquatglade/internal/state/kqtargets"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	// The metrics library keeps one goroutine for all meters of a process.
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
}

// TestWaitsForSlowProbes guards against sends without any knowledge of load: over a
// busy link no target answers a probe within probeWait, and a request that is sent
// without an answer meets a slow target too often.
func TestWaitsForSlowProbes(t *testing.T) {
	f := newFixtureWithObjective(t, kqroutes.Safe, 20*time.Second, 8*time.Second, replyOK, replyOK, replyOK)
	for i, fake := range f.fakeTargets {
		fake.probeDelay.Store(int64(5 * probeWait))
		if i > 0 {
			fake.load = func(int64) string { return "0,0,4,400" }
		}
	}
	const requests = 10
	for range requests {
		if res, _, err := f.call("/filings/1", "", DefaultHeaderNames.Deadline, "20000"); err != nil || res.StatusCode != http.StatusOK {
			t.Fatal(res, err)
		}
	}
	if n := f.fakeTargets[0].arrivals.Load(); n != requests {
		t.Errorf("%d of %d requests went to the only target that is not slow", n, requests)
	}
}

// TestHoldsLastByteOfLongBody checks that a target that became slow while a long body
// was sent gets the last byte when it is fast again, or after a time limit.
func TestHoldsLastByteOfLongBody(t *testing.T) {
	const fastFromProbe = 2 // first probe that finds the target fast again
	slow, fast := "0,0,4,500", "0,0,4,100"
	for _, becomesFast := range []bool{true, false} {
		t.Run(fmt.Sprintf("becomes fast %v", becomesFast), func(t *testing.T) {
			f := newFixtureWithObjective(t, kqroutes.Upload, 20*time.Second, time.Second, replyOK)
			fake, s := f.fakeTargets[0], f.engine.routing.Load()
			route, _ := s.table.Find("index.example", "/filings/1")
			p := &proxiedRequest{engine: f.engine, requestSpec: requestSpec{routing: s, route: route, service: "kekhai"}}
			fake.load = func(n int64) string {
				if becomesFast && n >= fastFromProbe {
					return fast
				}
				return slow
			}
			started := time.Now()
			target := s.targets["kekhai"][0]
			target.RecordLoad(kqselection.Sample{Slots: 4, Slowdown: 1, At: started.Add(-time.Second)})
			p.holdLastByte(t.Context(), target)
			if n := fake.probes.Load(); becomesFast && n != fastFromProbe || !becomesFast && n < fastFromProbe {
				t.Errorf("%d probes before the last byte was released", n)
			}
			if held := time.Since(started); !becomesFast && held < 250*time.Millisecond {
				t.Errorf("last byte held for %v, want at least 250ms", held)
			}
		})
	}
}

// fixture is an engine with its HTTP server and fake targets.
type fixture struct {
	engine      *Engine
	server      *httptest.Server
	fakeTargets []*fakeTarget
	doc         *kqroutes.Document
	targets     []kqtargets.Target // as announced, one for each of fakeTargets
	evacuations []kqcontract.Evacuation
}

// apply puts the targets into effect on the engine, with the fixture's routes.
func (f *fixture) apply(revision uint64, targets ...kqtargets.Target) {
	f.engine.Apply(revision, f.doc, targets, f.evacuations)
}

// inState returns a copy of the target in the state.
func inState(t kqtargets.Target, state kqtargets.State) kqtargets.Target {
	t.State = state
	return t
}

func newFixture(t *testing.T, kind kqroutes.Kind, timeout time.Duration, targets ...responder) *fixture {
	t.Helper()
	return newFixtureWithObjective(t, kind, timeout, 400*time.Millisecond, targets...)
}

func newFixtureWithObjective(t *testing.T, kind kqroutes.Kind, timeout, objective time.Duration, targets ...responder) *fixture {
	t.Helper()
	return newFixtureWithClock(t, kqclock.System{}, kind, timeout, objective, targets...)
}

func newFixtureWithClock(t *testing.T, clock kq.Clock, kind kqroutes.Kind, timeout, objective time.Duration, targets ...responder) *fixture {
	t.Helper()
	f := &fixture{engine: New(Config{
		HeaderNames: DefaultHeaderNames, Clock: clock, Rand: rand.New(rand.NewPCG(1, 1)), Log: kqlog.Discard(),
		Metrics: metrics.NewRegistry(), Hosts: func() int { return 1 },
		Limits: Limits{RetryRatio: 1, RetryWindow: 10 * time.Second},
	})}
	for i, respond := range targets {
		fake := startTarget(t, respond)
		f.fakeTargets = append(f.fakeTargets, fake)
		f.targets = append(f.targets, kqtargets.Target{
			ID: "t" + strconv.Itoa(i), Service: "kekhai", Addr: fake.listener.Addr().String(), Slots: 4, State: kqtargets.Ready,
		})
	}
	f.doc = &kqroutes.Document{
		Version: 1, Services: []kqroutes.Service{{Name: "kekhai", Health: "/health", Connections: 100}},
		Hosts: []kqroutes.Host{{Name: "index.example", Routes: []kqroutes.Route{{
			Name: "r1", Prefix: "/filings/", Service: "kekhai", Kind: kind, Attempts: 2, Timeout: timeout, Objective: objective,
		}}}},
	}
	f.apply(1, f.targets...)
	f.server = httptest.NewServer(f.engine)
	t.Cleanup(func() {
		f.server.Close()
		f.engine.Close()
		http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	})
	return f
}

func (f *fixture) arrivals() int {
	n := 0
	for _, fake := range f.fakeTargets {
		n += int(fake.arrivals.Load())
	}
	return n
}

// call sends one request and returns the response and its body; err is set if the
// response is truncated. more is pairs of header names and values.
func (f *fixture) call(path, body string, more ...string) (*http.Response, string, error) {
	req, err := f.newRequest(path, body)
	if err != nil {
		return nil, "", err
	}
	for i := 0; i+1 < len(more); i += 2 {
		req.Header.Set(more[i], more[i+1])
	}
	return f.do(req)
}

func (f *fixture) newRequest(path, body string) (*http.Request, error) {
	req, err := http.NewRequest(http.MethodPost, f.server.URL+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Host = "index.example"
	req.Header.Set(DefaultHeaderNames.RequestID, "id-1")
	req.Header.Set(DefaultHeaderNames.Deadline, "2000")
	return req, nil
}

func (f *fixture) do(req *http.Request) (*http.Response, string, error) {
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return nil, "", err
	}
	defer res.Body.Close()
	p, err := io.ReadAll(res.Body)
	return res, string(p), err
}

// TestSingleTargetOutcomes checks what a caller gets for each behaviour of a target,
// and that a request that may have been executed is not sent again.
func TestSingleTargetOutcomes(t *testing.T) {
	cases := []struct {
		name   string
		kind   kqroutes.Kind
		do     responder
		status int
		body   string // expected if the response is the target's
	}{
		{"complete response", kqroutes.Unsafe, replyOK, 200, "whole"},
		{"the target's own failure", kqroutes.Unsafe, replyWith(func(r *http.Request) string { return replyHead(r, "500 Bad", "Content-Length: 3\r\n\r\nbad") }, true), 500, "bad"},
		{"reset after the request", kqroutes.Unsafe, resetConn, 502, ""},
		{"not executed, and no other target", kqroutes.Unsafe, replyNotExecuted, 503, ""},
		{"the response to another request", kqroutes.Unsafe, replyWith(func(*http.Request) string {
			return "HTTP/1.1 200 OK\r\n" + DefaultHeaderNames.RequestID + ": id-0\r\n" + DefaultHeaderNames.Seal + ": s1\r\nContent-Length: 5\r\n\r\nwhole"
		}, true), 502, ""},
		{"success without a seal", kqroutes.Unsafe, replyWith(func(*http.Request) string {
			return "HTTP/1.1 200 OK\r\n" + DefaultHeaderNames.RequestID + ": id-1\r\nContent-Length: 2\r\n\r\nok"
		}, true), 502, ""},
		{"encoded response", kqroutes.Unsafe, replyWith(func(r *http.Request) string {
			return replyHead(r, "200 OK", "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok")
		}, true), 502, ""},
		{"bytes that are no HTTP response", kqroutes.Unsafe, replyWith(func(*http.Request) string { return "\x00\x01garbage\r\n\r\n" }, false), 502, ""},
		{"status that is none, and a response behind it", kqroutes.Unsafe, replyWith(func(r *http.Request) string {
			return replyHead(r, "000 Broken", "Content-Length: 0\r\n\r\n") + replyHead(r, "200 OK", "Content-Length: 5\r\n\r\nwhole")
		}, true), 502, ""},
		{"field name with a blank", kqroutes.Unsafe, replyWith(func(r *http.Request) string {
			return replyHead(r, "200 OK", "X Own: 1\r\nContent-Length: 5\r\n\r\nwhole")
		}, true), 502, ""},
		{"the only length in a malformed field", kqroutes.Unsafe, replyWith(func(r *http.Request) string {
			return replyHead(r, "200 OK", "Content-Length : 5\r\n\r\nwhole and more")
		}, false), 502, ""},
		{"not executed, by a malformed field", kqroutes.Unsafe, replyWith(func(r *http.Request) string {
			return replyHead(r, "503 Full", DefaultHeaderNames.NotExecuted+" : 1\r\nContent-Length: 0\r\n\r\n")
		}, true), 502, ""},
		{"truncated", kqroutes.Unsafe, replyWith(func(r *http.Request) string { return replyHead(r, "200 OK", "Content-Length: 50\r\n\r\nshort") }, false), 502, ""},
		{"no length, closed in order", kqroutes.Unsafe, replyWith(func(r *http.Request) string { return replyHead(r, "200 OK", "\r\nall of it") }, false), 200, "all of it"},
		{"no length, reset", kqroutes.Unsafe, func(c net.Conn, r *http.Request) bool {
			io.WriteString(c, replyHead(r, "200 OK", "\r\nnot all"))
			time.Sleep(20 * time.Millisecond)
			return resetConn(c, r)
		}, 502, ""},
		{"another target at the address", kqroutes.Unsafe, replyWith(func(*http.Request) string { return "HTTP/1.1 421 Wrong\r\nContent-Length: 0\r\n\r\n" }, true), 503, ""},
		{"no response in time", kqroutes.Unsafe, func(net.Conn, *http.Request) bool { return false }, 504, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, c.kind, 300*time.Millisecond, c.do)
			res, body, err := f.call("/filings/7", "filing")
			if err != nil {
				t.Fatal(err)
			}
			if res.StatusCode != c.status || c.body != "" && body != c.body || f.arrivals() != 1 {
				t.Fatalf("%d %q after %d arrivals", res.StatusCode, body, f.arrivals())
			}
			if fromProxy := c.body == ""; fromProxy != (res.Header.Get(DefaultHeaderNames.Seal) == "") {
				t.Fatalf("seal %q, response from the proxy: %v", res.Header.Get(DefaultHeaderNames.Seal), fromProxy)
			}
			if hasRetryAfter := res.Header.Get("Retry-After") != ""; hasRetryAfter != (c.status == 503) {
				t.Fatalf("Retry-After %q with %d", res.Header.Get("Retry-After"), c.status)
			}
		})
	}
}

// failFirst returns two responders for two targets: respondFirst answers the first request
// at either of them, and replyOK to all others.
func failFirst(respondFirst responder) (responder, responder) {
	var n atomic.Int64
	respond := func(c net.Conn, r *http.Request) bool {
		if n.Add(1) == 1 {
			return respondFirst(c, r)
		}
		return replyOK(c, r)
	}
	return respond, respond
}

// TestRetryOnAnotherTarget checks which failures make a request go to another target.
func TestRetryOnAnotherTarget(t *testing.T) {
	cases := []struct {
		name     string
		kind     kqroutes.Kind
		do       responder
		status   int
		arrivals int
	}{
		{"safe, reset", kqroutes.Safe, resetConn, 200, 2},
		{"safe, truncated", kqroutes.Safe, replyWith(func(r *http.Request) string { return replyHead(r, "200 OK", "Content-Length: 50\r\n\r\nshort") }, false), 200, 2},
		{"safe, status that is none", kqroutes.Safe, replyWith(func(r *http.Request) string { return replyHead(r, "999 Broken", "Content-Length: 3\r\n\r\nbad") }, true), 200, 2},
		{"unsafe, reset", kqroutes.Unsafe, resetConn, 502, 1},
		{"upload, reset", kqroutes.Upload, resetConn, 502, 1},
		{"unsafe, not executed", kqroutes.Unsafe, replyNotExecuted, 200, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a, b := failFirst(c.do)
			f := newFixture(t, c.kind, time.Second, a, b)
			res, _, err := f.call("/filings/7", "filing")
			if err != nil {
				t.Fatal(err)
			}
			if res.StatusCode != c.status || f.arrivals() != c.arrivals {
				t.Fatalf("%d after %d arrivals", res.StatusCode, f.arrivals())
			}
		})
	}
}

func TestForwardedRequest(t *testing.T) {
	f := newFixture(t, kqroutes.Unsafe, 700*time.Millisecond, replyOK)
	body := strings.Repeat("x", maxBufferedBody+maxBufferedBody/2) // longer than what is buffered
	if _, _, err := f.call("/filings/a%2Fb//c?q=1&q=2", body, "X-Own", "1", "Connection", "X-Hop", "X-Hop", "1"); err != nil {
		t.Fatal(err)
	}
	r := f.fakeTargets[0].lastRequest.Load()
	if got := *f.fakeTargets[0].lastBody.Load(); got != body {
		t.Errorf("body of %d bytes", len(got))
	}
	if r.URL.RequestURI() != "/filings/a%2Fb//c?q=1&q=2" || r.Host != "index.example" {
		t.Errorf("%s %s", r.Host, r.URL.RequestURI())
	}
	left, err := strconv.Atoi(r.Header.Get(DefaultHeaderNames.Deadline))
	if err != nil || left > 700 || left < 300 {
		t.Errorf("deadline %q: want 300 to 700, the rest of the route's timeout", r.Header.Get(DefaultHeaderNames.Deadline))
	}
	if r.Header.Get(DefaultHeaderNames.Target) != "t0" || r.Header.Get(DefaultHeaderNames.RequestID) != "id-1" || r.Header.Get("X-Own") != "1" || r.Header.Get("X-Hop") != "" {
		t.Errorf("header %v", r.Header)
	}
}

func TestReplyBeforeBodyIsRead(t *testing.T) {
	f := newFixture(t, kqroutes.Upload, time.Second, func(c net.Conn, r *http.Request) bool {
		io.WriteString(c, replyHead(r, "200 OK", "Content-Length: 5\r\n\r\nwhole"))
		return false
	})
	res, body, err := f.call("/filings/7", strings.Repeat("x", 512<<10), "Early", "1")
	if err != nil || res.StatusCode != 200 || body != "whole" {
		t.Fatalf("%v %q %v", res, body, err)
	}
}

func TestNoRouteAndNoRoutingState(t *testing.T) {
	f := newFixture(t, kqroutes.Safe, time.Second, replyOK)
	if res, _, err := f.call("/other/", ""); err != nil || res.StatusCode != 404 {
		t.Fatalf("no route: %v %v", res, err)
	}
	empty := New(Config{HeaderNames: DefaultHeaderNames, Clock: kqclock.System{}, Rand: rand.New(rand.NewPCG(1, 1)), Log: kqlog.Discard(), Metrics: metrics.NewRegistry(), Hosts: func() int { return 1 }})
	defer empty.Close()
	rec := httptest.NewRecorder()
	empty.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/filings/", nil))
	if rec.Code != 503 || rec.Header().Get("Retry-After") == "" {
		t.Fatalf("no routing state: %d", rec.Code)
	}
}

// TestCallerDisconnects checks that the connection to the target closes soon after the
// caller's, so that the target does not work for nobody.
func TestCallerDisconnects(t *testing.T) {
	f := newFixture(t, kqroutes.Safe, 5*time.Second, func(net.Conn, *http.Request) bool { return false })
	c, err := net.Dial("tcp", strings.TrimPrefix(f.server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "POST /filings/7 HTTP/1.1\r\nHost: index.example\r\n%s: id-1\r\nContent-Length: 2\r\n\r\nok", DefaultHeaderNames.RequestID)
	for f.arrivals() == 0 {
		time.Sleep(time.Millisecond)
	}
	c.Close()
	select {
	case <-f.fakeTargets[0].closed:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the connection to the target is still open 500 ms after the caller disconnected")
	}
}
