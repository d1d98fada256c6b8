package kqproxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"kumquatglade/internal/call/kqlistener"
	"kumquatglade/internal/state/kqroutes"

	"github.com/cockroachdb/errors"
)

// rawRequest is a whole request as it is sent on a connection of the caller's own.
func rawRequest(method, body, more string) string {
	return fmt.Sprintf("%s /filings/7 HTTP/1.1\r\nHost: index.example\r\n%s: id-1\r\n%sContent-Length: %d\r\n\r\n%s",
		method, DefaultHeaderNames.RequestID, more, len(body), body)
}

// dial opens a connection to the engine's server and sends the bytes.
func (f *fixture) dial(t *testing.T, bytes string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(f.server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if _, err := io.WriteString(c, bytes); err != nil {
		t.Fatal(err)
	}
	return c.(*net.TCPConn)
}

// readWhole reads a response that must end within the time.
func readWhole(t *testing.T, c net.Conn, within time.Duration) (*http.Response, string) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(within))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	defer res.Body.Close()
	p, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatalf("%d, truncated: %v", res.StatusCode, err)
	}
	return res, string(p)
}

// TestHalfClosedCallerGetsAnswer guards against a call that must not be repeated, was
// passed on, and is cut since its caller closed its sending side: the caller can't tell
// whether it ran.
func TestHalfClosedCallerGetsAnswer(t *testing.T) {
	long := strings.Repeat("x", 4*maxBufferedReply)
	cases := []struct {
		name, head, body string
		status           int
	}{
		{"short answer", "200 OK", "whole", http.StatusOK},
		{"long answer", "200 OK", long, http.StatusOK},
		{"the target's own failure", "500 Bad", "bad", http.StatusInternalServerError},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			release := make(chan struct{})
			f := newFixture(t, kqroutes.Unsafe, 5*time.Second, func(target net.Conn, r *http.Request) bool {
				<-release
				io.WriteString(target, replyHead(r, c.head, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(c.body), c.body)))
				return true
			})
			caller := f.dial(t, rawRequest(http.MethodPost, "filing", ""))
			waitFor(t, "the request runs", func() bool { return f.arrivals() == 1 })
			caller.CloseWrite()
			time.Sleep(50 * time.Millisecond)
			close(release)
			res, body := readWhole(t, caller, 2*time.Second)
			if res.StatusCode != c.status || body != c.body || f.arrivals() != 1 {
				t.Errorf("%d with %d bytes after %d arrivals, want %d with %d", res.StatusCode, len(body), f.arrivals(), c.status, len(c.body))
			}
		})
	}
}

// TestHalfClosedCallerIsNotSentTwice guards against a second send, after its caller may
// have left, of a request that a target has not run.
func TestHalfClosedCallerIsNotSentTwice(t *testing.T) {
	release := make(chan struct{})
	refuse := func(c net.Conn, r *http.Request) bool {
		<-release
		return replyNotExecuted(c, r)
	}
	f := newFixture(t, kqroutes.Unsafe, 5*time.Second, refuse, refuse)
	caller := f.dial(t, rawRequest(http.MethodPost, "filing", ""))
	waitFor(t, "the request arrives", func() bool { return f.arrivals() == 1 })
	caller.CloseWrite()
	time.Sleep(50 * time.Millisecond)
	close(release)
	if res, _ := readWhole(t, caller, 2*time.Second); res.StatusCode != http.StatusServiceUnavailable || f.arrivals() != 1 {
		t.Errorf("%d after %d arrivals, want 503 after 1", res.StatusCode, f.arrivals())
	}
}

// TestHalfClosedCallerInQueueIsRefused guards against a queued request that ends without an
// answer when its caller closes its sending side, and against one that runs later.
func TestHalfClosedCallerInQueueIsRefused(t *testing.T) {
	for _, kind := range []kqroutes.Kind{kqroutes.Unsafe, kqroutes.Safe} {
		t.Run(string(kind), func(t *testing.T) {
			release := make(chan struct{})
			releaseOnce := sync.OnceFunc(func() { close(release) })
			defer releaseOnce()
			f := newFixtureWithObjective(t, kind, 20*time.Second, 8*time.Second, func(c net.Conn, r *http.Request) bool {
				<-release
				return replyOK(c, r)
			})
			status := make(chan int, 1)
			go f.callPatiently(t, status)
			waitFor(t, "the first request runs", func() bool { return f.arrivals() == 1 })
			f.fakeTargets[0].setLoad("4,0,4,100")
			time.Sleep(2 * probeWait) // the load of the first probe is no longer reused
			caller := f.dial(t, rawRequest(http.MethodPost, "filing", DefaultHeaderNames.Deadline+": 20000\r\n"))
			waitFor(t, "the second request is queued", func() bool { return f.queueLen("kekhai") == 1 })
			caller.CloseWrite()
			res, _ := readWhole(t, caller, 500*time.Millisecond)
			if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
				t.Errorf("%d, Retry-After %q, want 503 with a time", res.StatusCode, res.Header.Get("Retry-After"))
			}
			f.fakeTargets[0].setLoad("0,0,4,100")
			releaseOnce()
			if got := <-status; got != http.StatusOK {
				t.Errorf("status %d for the request that ran, want 200", got)
			}
			time.Sleep(100 * time.Millisecond)
			if f.arrivals() != 1 {
				t.Errorf("%d requests at the target, want 1", f.arrivals())
			}
		})
	}
}

// TestRepeatableRequestIsGivenUp checks that the target of a request that may be repeated is
// released soon after the caller closed its sending side, and guards against a half-closed
// caller that gets no answer then.
func TestRepeatableRequestIsGivenUp(t *testing.T) {
	for _, kind := range []kqroutes.Kind{kqroutes.Safe, kqroutes.Download} {
		f := newFixture(t, kind, 5*time.Second, func(net.Conn, *http.Request) bool { return false })
		caller := f.dial(t, rawRequest(http.MethodGet, "", ""))
		waitFor(t, "the request runs", func() bool { return f.arrivals() == 1 })
		caller.CloseWrite()
		closedAt := time.Now()
		select {
		case <-f.fakeTargets[0].closed:
		case <-time.After(400 * time.Millisecond):
			t.Fatal("the connection to the target is still open 400 ms after the caller left")
		}
		res, _ := readWhole(t, caller, time.Second)
		if res.StatusCode != http.StatusBadGateway || f.arrivals() != 1 {
			t.Errorf("%s: %d after %v and %d arrivals, want 502 after 1", kind, res.StatusCode, time.Since(closedAt), f.arrivals())
		}
	}
}

// TestClosedCallerEndsByDeadline guards against a request whose caller left and which keeps
// a target, or a stop of the host, longer than the request's own time.
func TestClosedCallerEndsByDeadline(t *testing.T) {
	f := newFixture(t, kqroutes.Unsafe, 5*time.Second, func(net.Conn, *http.Request) bool { return false })
	caller := f.dial(t, rawRequest(http.MethodPost, "filing", DefaultHeaderNames.Deadline+": 600\r\n"))
	waitFor(t, "the request runs", func() bool { return f.arrivals() == 1 })
	caller.Close()
	f.engine.Stop(time.Now().Add(5 * time.Second))
	select {
	case <-f.fakeTargets[0].closed:
	case <-time.After(900 * time.Millisecond):
		t.Fatal("the connection to the target is still open 300 ms after the request's deadline")
	}
	waitFor(t, "the request ends", func() bool { return f.engine.InFlight() == 0 })
}

// TestResetCallerIsGivenUp guards against a target that works on for a caller that is known
// to have left, since its connection was reset and not only closed for sending.
func TestResetCallerIsGivenUp(t *testing.T) {
	f := newFixture(t, kqroutes.Unsafe, 5*time.Second, func(net.Conn, *http.Request) bool { return false })
	ctx, cancel := context.WithCancelCause(t.Context())
	r := httptest.NewRequest(http.MethodPost, "/filings/7", strings.NewReader("filing")).WithContext(ctx)
	r.Host = "index.example"
	done := make(chan any, 1)
	go func() {
		defer func() { done <- recover() }()
		f.engine.ServeHTTP(httptest.NewRecorder(), r)
	}()
	waitFor(t, "the request runs", func() bool { return f.arrivals() == 1 })
	cancel(errors.New("connection reset"))
	select {
	case p := <-done:
		if p != http.ErrAbortHandler { //nolint:errorlint // net/http compares it too
			t.Errorf("ended with %v, want an abort", p)
		}
	case <-time.After(400 * time.Millisecond):
		t.Fatal("the request still runs 400 ms after the reset")
	}
}

// TestHalfClosedCallerDuringStop guards against a stop that cuts a call whose caller closed
// its sending side, and against one that waits longer for a caller that left than for the
// call itself.
func TestHalfClosedCallerDuringStop(t *testing.T) {
	const deadline = time.Second
	cases := []struct {
		name    string
		answers bool
		end     func(*net.TCPConn) error
	}{
		{"waits for its answer", true, (*net.TCPConn).CloseWrite},
		{"left", false, (*net.TCPConn).Close},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			release := make(chan struct{})
			f := newFixture(t, kqroutes.Unsafe, 5*time.Second, func(target net.Conn, r *http.Request) bool {
				if !c.answers {
					return false
				}
				<-release
				return replyOK(target, r)
			})
			raw, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			l := kqlistener.New(raw)
			server := &http.Server{Handler: f.engine, ConnContext: l.ConnContext, ConnState: l.ConnState}
			go server.Serve(l) //nolint:errcheck // ends with the listener
			defer server.Close()
			conn, err := net.Dial("tcp", raw.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			fmt.Fprint(conn, rawRequest(http.MethodPost, "filing", fmt.Sprintf("%s: %d\r\n", DefaultHeaderNames.Deadline, deadline.Milliseconds())))
			started := time.Now()
			waitFor(t, "the request runs", func() bool { return f.arrivals() == 1 })
			if err := c.end(conn.(*net.TCPConn)); err != nil {
				t.Fatal(err)
			}
			f.engine.Stop(time.Now().Add(5 * time.Second))
			if err := l.StopAccepting(); err != nil {
				t.Fatal(err)
			}
			drained := make(chan error, 1)
			go func() { drained <- l.Drain(t.Context()) }()
			time.Sleep(100 * time.Millisecond)
			close(release)
			if c.answers {
				if res, body := readWhole(t, conn, 2*time.Second); res.StatusCode != http.StatusOK || body != "whole" {
					t.Errorf("%d %q, want 200 with the whole answer", res.StatusCode, body)
				}
			}
			if err := <-drained; err != nil {
				t.Fatal(err)
			}
			if took := time.Since(started); took > deadline+500*time.Millisecond {
				t.Errorf("the stop took %v, want at most the request's %v and some delay", took, deadline)
			}
		})
	}
}
