package kqproxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"kumquatglade/internal/state/kqroutes"
)

// TestResponseCutAnywhere ends the connection of a target after each byte of its response,
// in order or by a reset. It guards against a caller that takes what there is of it for a
// whole response, in particular where the head is cut.
func TestResponseCutAnywhere(t *testing.T) {
	const body = "whole and sealed"
	framings := []struct {
		name, rest string
		endsInHead bool // a close in order within the body cannot be told from its end
	}{
		{"length", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body), false},
		{"chunks", fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body), false},
		{"until close", "\r\n" + body, true},
	}
	for _, framing := range framings {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", framing.name, reset), func(t *testing.T) {
				t.Parallel()
				var cut atomic.Int64
				f := newFixture(t, kqroutes.Unsafe, time.Second, func(c net.Conn, r *http.Request) bool {
					io.WriteString(c, replyHead(r, "200 OK", framing.rest)[:cut.Load()])
					if reset {
						time.Sleep(2 * time.Millisecond) // the bytes arrive before the reset discards them
						return resetConn(c, r)
					}
					c.Close()
					return true
				})
				full := replyHead(&http.Request{Header: http.Header{DefaultHeaderNames.RequestID: {"id-1"}}}, "200 OK", framing.rest)
				headEnd := strings.Index(full, "\r\n\r\n") + len("\r\n\r\n")
				for n := range len(full) + 1 {
					cut.Store(int64(n))
					res, got, err := f.callUntilSent(t)
					if err != nil || res.StatusCode/100 != 2 {
						continue
					}
					isWhole := got == body || framing.endsInHead && !reset && n >= headEnd && got == full[headEnd:n]
					if !isWhole {
						t.Errorf("after %d of %d bytes, the head has %d: %d with %q", n, len(full), headEnd, res.StatusCode, got)
					}
				}
			})
		}
	}
}

// callUntilSent makes a request, and makes it again if it was refused before it reached a
// target, as happens on a machine that is too busy to probe in time.
func (f *fixture) callUntilSent(t *testing.T) (res *http.Response, body string, err error) {
	t.Helper()
	before := f.arrivals()
	waitFor(t, "a request reaches the target", func() bool {
		f.forgiveTargets()
		res, body, err = f.call("/filings/7", "filing")
		return f.arrivals() > before
	})
	return res, body, err
}

// forgiveTargets forgets the failures of all targets.
func (f *fixture) forgiveTargets() {
	list := f.targets
	f.apply(f.engine.routing.Load().revision+1, list[:0]...)
	f.apply(f.engine.routing.Load().revision+1, list...)
}

// TestResetDuringUpload guards against a part of a response that a caller takes for all of it:
// the target responds to a long upload, without a length, and resets the connection while
// the upload is still being written.
func TestResetDuringUpload(t *testing.T) {
	f := newFixture(t, kqroutes.Upload, 5*time.Second, func(c net.Conn, r *http.Request) bool {
		io.WriteString(c, replyHead(r, "200 OK", "\r\nnot all"))
		return resetConn(c, r)
	})
	upload := strings.Repeat("x", 4<<20)
	for range 20 {
		f.forgiveTargets()
		if res, got, err := f.call("/filings/7", upload, "Early", "1"); err == nil && res.StatusCode/100 == 2 {
			t.Errorf("%d with %q", res.StatusCode, got)
		}
	}
	if f.arrivals() == 0 {
		t.Error("no request reached the target")
	}
}
