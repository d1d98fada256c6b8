package kqcall

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"kumquatglade/internal/call/kqheader"
	"kumquatglade/internal/state/kqcontract"
)

// halfClose sends a call, closes the sending side once the target runs it, and returns the
// response; it fails the test if there is no whole one.
func (f *fixture) halfClose(t *testing.T, method string, running <-chan struct{}, release func()) (*http.Response, string) {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(f.server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "%s /filings HTTP/1.1\r\nHost: h\r\n%s: o\r\n%s: kekhai\r\nContent-Length: 6\r\n\r\nfiling", method, kqheader.Owner, kqheader.Service)
	<-running
	c.(*net.TCPConn).CloseWrite()
	time.Sleep(50 * time.Millisecond)
	release()
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
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

// TestHalfClosedCallerGetsNoFalseSuccess guards against an empty 200 for a call that was
// given up because its caller closed its sending side, and against a call that ran and
// whose caller can't tell.
func TestHalfClosedCallerGetsNoFalseSuccess(t *testing.T) {
	cases := []struct {
		method, body string
		status       int
	}{
		{http.MethodPost, "done", http.StatusOK},
		{http.MethodGet, "", http.StatusBadGateway}, // may be repeated, so its target is released
	}
	for _, c := range cases {
		t.Run(c.method, func(t *testing.T) {
			running, done := make(chan struct{}, 1), make(chan struct{})
			f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				running <- struct{}{}
				select {
				case <-done:
				case <-r.Context().Done():
				}
				io.WriteString(w, "done")
			}, nil)
			res, body := f.halfClose(t, c.method, running, func() { close(done) })
			if res.StatusCode != c.status || c.body != "" && body != c.body {
				t.Errorf("%d %q, want %d %q", res.StatusCode, body, c.status, c.body)
			}
		})
	}
}

// TestHalfClosedQueuedCallIsRefused guards against an empty 200 for a call that no target
// has run, and against one that runs after its caller may have left.
func TestHalfClosedQueuedCallIsRefused(t *testing.T) {
	running, done := make(chan struct{}, 8), make(chan struct{})
	release := sync.OnceFunc(func() { close(done) })
	defer release()
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		running <- struct{}{}
		<-done
		io.WriteString(w, "done")
	}, func(c *kqcontract.Contract) { c.Services[0].Active = 1 })
	result := make(chan int, 1)
	go func() {
		res, _, err := f.do(t, http.MethodPost, "filing")
		if err != nil {
			t.Error(err)
			result <- 0
			return
		}
		result <- res.StatusCode
	}()
	<-running
	queued := make(chan struct{}, 1)
	queued <- struct{}{}
	res, body := f.halfClose(t, http.MethodPost, queued, func() {})
	if res.StatusCode != http.StatusServiceUnavailable || !strings.Contains(body, `"run":"no"`) {
		t.Errorf("%d %q, want 503 that says it did not run", res.StatusCode, body)
	}
	release()
	if status := <-result; status != http.StatusOK {
		t.Errorf("status %d for the call that ran, want 200", status)
	}
	if n := f.targetCalls.Load(); n != 1 {
		t.Errorf("%d calls at the target, want 1", n)
	}
}
