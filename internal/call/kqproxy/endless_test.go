package kqproxy

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"kumquatglade/internal/state/kqroutes"
)

// writeEndlessly returns a responder that writes the formatted start of a response, and
// then the repeated part until the connection is closed.
func writeEndlessly(start func(*http.Request) string, repeated string) responder {
	return func(c net.Conn, r *http.Request) bool {
		_, err := io.WriteString(c, start(r))
		for err == nil {
			_, err = io.WriteString(c, repeated)
		}
		return false
	}
}

// TestEndlessResponse guards against a target whose response never ends: the caller must
// get no response that looks complete, and the connection to the target must be closed
// when the route's timeout ends.
func TestEndlessResponse(t *testing.T) {
	const timeout, patience = 300 * time.Millisecond, 20 * time.Second
	kilobyte := strings.Repeat("x", 1<<10)
	chunk := "400\r\n" + kilobyte + "\r\n"
	head := func(status, more string) func(*http.Request) string {
		return func(r *http.Request) string { return replyHead(r, status, more+"\r\n") }
	}
	otherRequest := func(*http.Request) string {
		return "HTTP/1.1 200 OK\r\n" + DefaultHeaderNames.RequestID + ": id-0\r\n" + DefaultHeaderNames.Seal + ": s1\r\n\r\n"
	}
	slowField := func(c net.Conn, r *http.Request) bool {
		_, err := io.WriteString(c, replyHead(r, "200 OK", ""))
		for err == nil {
			_, err = io.WriteString(c, "X-Field: 1\r\n")
			time.Sleep(20 * time.Millisecond)
		}
		return false
	}
	cases := []struct {
		name    string
		do      responder
		timeout time.Duration // of the route
		status  int           // 0: the response breaks off
	}{
		// A head ends at its limit, long before the timeout, and at the timeout before its limit.
		{"no head", writeEndlessly(func(*http.Request) string { return "" }, kilobyte), patience, 502},
		{"head", writeEndlessly(func(r *http.Request) string { return replyHead(r, "200 OK", "") }, "X-Field: 1\r\n"), patience, 502},
		{"head, slowly", slowField, timeout, 504},
		{"chunks", writeEndlessly(head("200 OK", "Transfer-Encoding: chunked\r\n"), chunk), timeout, 0},
		{"body without a length", writeEndlessly(head("200 OK", ""), kilobyte), timeout, 0},
		{"failure without a length", writeEndlessly(head("500 Bad", ""), kilobyte), timeout, 0},
		{"response to another request", writeEndlessly(otherRequest, kilobyte), patience, 502},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, kqroutes.Unsafe, c.timeout, c.do)
			res, _, err := f.call("/filings/7", "filing")
			switch {
			case c.status == 0 && err == nil:
				t.Errorf("status %d, and the response looks complete", res.StatusCode)
			case c.status != 0 && (err != nil || res.StatusCode != c.status || res.Header.Get(DefaultHeaderNames.Seal) != ""):
				t.Errorf("%v %v, want status %d without a seal", res, err, c.status)
			}
			select {
			case <-f.fakeTargets[0].closed:
			case <-time.After(timeout + 2*time.Second): // the same for all: no head takes until its timeout
				t.Error("the connection to the target is still open")
			}
			if f.arrivals() != 1 {
				t.Errorf("%d arrivals, want 1", f.arrivals())
			}
		})
	}
}
