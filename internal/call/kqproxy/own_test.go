package kqproxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"kumquatglade/internal/state/kqroutes"
)

// TestCopiesOfEarlierResponses guards against a target that sends an earlier response once
// more on a kept connection: the next caller must get its own response, and a refusal of
// another request is no promise about this one.
func TestCopiesOfEarlierResponses(t *testing.T) {
	refusal := func(status string) string {
		return "HTTP/1.1 " + status + "\r\n" + DefaultHeaderNames.RequestID + ": first\r\n" + DefaultHeaderNames.NotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n"
	}
	cases := []struct {
		name   string
		copied string
		status int
	}{
		{"success", "HTTP/1.1 200 OK\r\n" + DefaultHeaderNames.RequestID + ": first\r\n" + DefaultHeaderNames.Seal + ": s1\r\nContent-Length: 5\r\n\r\nother", 200},
		{"refusal 503", refusal("503 Full"), 200},
		{"refusal 429", refusal("429 Many"), 200},
		{"misdirected 421", refusal("421 Wrong"), 200},
		{"answer to a probe", "HTTP/1.1 200 OK\r\n" + DefaultHeaderNames.Instance + ": t0\r\n" + DefaultHeaderNames.Load + ": 0,0,4\r\nContent-Length: 0\r\n\r\n", 200},
		{"two copies", refusal("503 Full") + refusal("503 Full"), 200},
		{"copies without end", refusal("503 Full") + refusal("503 Full") + refusal("503 Full"), 502},
		// On a kept connection nothing tells whose refusal this is.
		{"refusal without an ID", "HTTP/1.1 503 Full\r\n" + DefaultHeaderNames.NotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n", 502},
		{"misdirected without an ID", "HTTP/1.1 421 Wrong\r\nContent-Length: 0\r\n\r\n", 502},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			respond := func(conn net.Conn, r *http.Request) bool {
				if r.Header.Get(DefaultHeaderNames.RequestID) == "second" {
					io.WriteString(conn, c.copied)
				}
				return replyOK(conn, r)
			}
			f := newFixture(t, kqroutes.Unsafe, time.Second, respond, respond)
			f.apply(2, f.targets[0])
			if res, _, err := f.call("/filings/1", "filing", DefaultHeaderNames.RequestID, "first"); err != nil || res.StatusCode != 200 {
				t.Fatal(res, err)
			}
			f.apply(3, f.targets...)
			// The second target must not get the request: it would run there once more.
			f.fakeTargets[1].setLoad("4,0,4,100")
			res, body, err := f.call("/filings/2", "filing", DefaultHeaderNames.RequestID, "second")
			if err != nil || res.StatusCode != c.status || c.status == 200 && body != "whole" {
				t.Fatalf("%v %q %v", res, body, err)
			}
			if f.arrivals() != 2 {
				t.Errorf("%d arrivals, want 2", f.arrivals())
			}
		})
	}
}

// TestCopyOfRefusedProbe guards against the refusal of a probe, which bears no ID and comes
// once more late, that is taken for the response to a request: its caller would hear "not
// run" of a request that runs, or it would run at a second target.
func TestCopyOfRefusedProbe(t *testing.T) {
	for _, refused := range []bool{true, false} {
		t.Run(fmt.Sprintf("refused %t", refused), func(t *testing.T) {
			respond := func(conn net.Conn, r *http.Request) bool {
				replyNotExecuted(conn, r)
				if !refused {
					return true
				}
				return replyOK(conn, r)
			}
			f := newFixture(t, kqroutes.Unsafe, time.Second, respond, respond)
			f.apply(2, f.targets[0])
			f.fakeTargets[0].refuses.Store(refused)
			f.engine.probe(t.Context(), f.engine.routing.Load().targets["kekhai"][0], "/health", 10, time.Second)
			f.fakeTargets[0].refuses.Store(false)
			f.apply(3, f.targets...)
			f.fakeTargets[1].setLoad("4,0,4,100") // it must not get the request
			res, body, err := f.call("/filings/1", "filing")
			if err != nil {
				t.Fatal(err)
			}
			if refused && (res.StatusCode != 200 || body != "whole" || f.arrivals() != 1) {
				t.Errorf("%d %q after %d arrivals, want the response behind the copy", res.StatusCode, body, f.arrivals())
			}
			// No probe was refused on the connection, so the refusal is that of the request.
			if !refused && res.StatusCode != 503 {
				t.Errorf("%d %q, want 503", res.StatusCode, body)
			}
		})
	}
}

// TestCopyBeforeProbeAnswer guards against the load of an earlier response that is taken
// for the answer to a probe.
func TestCopyBeforeProbeAnswer(t *testing.T) {
	copied := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: first\r\n%s: 0,0,4,100\r\nContent-Length: 0\r\n\r\n", DefaultHeaderNames.RequestID, DefaultHeaderNames.Load)
	f := newFixture(t, kqroutes.Unsafe, time.Second, func(conn net.Conn, r *http.Request) bool {
		replyOK(conn, r)
		time.AfterFunc(20*time.Millisecond, func() { io.WriteString(conn, copied) })
		return true
	})
	if res, _, err := f.call("/filings/1", "filing"); err != nil || res.StatusCode != 200 {
		t.Fatal(res, err)
	}
	f.fakeTargets[0].probeDelay.Store(int64(60 * time.Millisecond))
	f.fakeTargets[0].setLoad("3,2,4,100")
	target := f.engine.routing.Load().targets["kekhai"][0]
	f.engine.probe(t.Context(), target, "/health", 10, time.Second)
	if s := target.LastLoad; s.Running != 3 || s.Waiting != 2 {
		t.Errorf("load %+v, want that of the answer to the probe", s)
	}
}

// TestAnotherTargetAnswersProbe guards against the load of a target that took over the
// address of another one.
func TestAnotherTargetAnswersProbe(t *testing.T) {
	f := newFixture(t, kqroutes.Unsafe, time.Second, replyOK)
	f.fakeTargets[0].setLoad("0,0,4,100\r\n" + DefaultHeaderNames.Instance + ": somebody")
	target := f.engine.routing.Load().targets["kekhai"][0]
	if f.engine.probe(t.Context(), target, "/health", 10, time.Second) || !target.LastLoad.At.IsZero() || target.Available(time.Now()) {
		t.Errorf("load %+v, available %v, want a target that is avoided", target.LastLoad, target.Available(time.Now()))
	}
}
