package kqproxy

import (
	"bufio"
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

// TestBrokenResponseIsVisible breaks off responses behind their head, in each framing and
// version of HTTP, below and above the size that is read completely first. It guards against
// callers that take the end for the response's own, as that of one without a length.
func TestBrokenResponseIsVisible(t *testing.T) {
	var framing atomic.Pointer[string]
	var resets atomic.Bool
	f := newFixture(t, kqroutes.Unsafe, 5*time.Second, func(c net.Conn, r *http.Request) bool {
		io.WriteString(c, replyHead(r, "200 OK", *framing.Load()))
		if resets.Load() {
			return resetConn(c, r)
		}
		c.Close()
		return true
	})
	first, _ := f.dialListener(t)
	first.Close()
	addr := first.RemoteAddr().String()
	begun := 0
	for _, size := range []int{4 << 10, 5 * maxBufferedReply} {
		part := strings.Repeat("x", size/2)
		for name, raw := range map[string]string{
			"length":      fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, part),
			"chunks":      fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(part), part),
			"until close": "\r\n" + part,
		} {
			for _, reset := range []bool{false, true} {
				if name == "until close" && !reset {
					continue // cannot be told from a complete response
				}
				for _, version := range []string{"1.0", "1.0\r\nConnection: keep-alive", "1.1", "1.1\r\nConnection: close"} {
					framing.Store(&raw)
					resets.Store(reset)
					f.forgiveTargets()
					status, got, err := callRaw(t, addr, version)
					if err == nil && status/100 == 2 {
						t.Errorf("%s, %d bytes, reset %t, HTTP/%q: %d with %d bytes looks complete", name, size, reset, version, status, got)
					}
					if status/100 == 2 {
						begun++
					}
				}
			}
		}
	}
	if begun == 0 {
		t.Error("no response was broken off behind its head")
	}
}

// callRaw makes a request in a version of HTTP and returns the status, the bytes of the body
// and how the response ended.
func callRaw(t *testing.T, addr, version string) (status, n int, err error) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(c, "POST /filings/7 HTTP/%s\r\nHost: index.example\r\n%s: id-1\r\nContent-Length: 6\r\n\r\nfiling", version, DefaultHeaderNames.RequestID)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0, err
	}
	p, err := io.ReadAll(res.Body)
	return res.StatusCode, len(p), err
}
