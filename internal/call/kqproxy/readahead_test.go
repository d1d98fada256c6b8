package kqproxy

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"kumquatglade/internal/state/kqroutes"
)

// countingReader counts the bytes that were read from it.
type countingReader struct {
	io.Reader
	n atomic.Int64
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.n.Add(int64(n))
	return n, err
}

// gate blocks writes until it is opened.
type gate struct {
	bytes.Buffer
	open chan struct{}
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	return g.Buffer.Write(p)
}

// TestSlowCallerFreesTarget guards against a target that stays busy because a caller
// receives a large response slowly.
func TestSlowCallerFreesTarget(t *testing.T) {
	pool := newReadAheadPool()
	response := bytes.Repeat([]byte("scan"), 100<<10)
	ended := make(chan error, 1)
	r := pool.start(bytes.NewReader(response), func(err error) { ended <- err })
	slow := &gate{open: make(chan struct{})}
	written := make(chan error, 1)
	go func() {
		_, err := r.writeTo(slow, func() {})
		written <- err
	}()
	select {
	case err := <-ended:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the response is not read while the caller receives nothing")
	}
	close(slow.open)
	if err := <-written; err != nil || !bytes.Equal(slow.Bytes(), response) {
		t.Errorf("%d bytes, %v, want all %d", slow.Len(), err, len(response))
	}
	if n := len(pool.tokens); n != 0 {
		t.Errorf("%d chunks still held", n)
	}
}

// TestSlowCallersMemoryIsBounded guards against slow callers of endless responses that
// use up the memory of a host.
func TestSlowCallersMemoryIsBounded(t *testing.T) {
	pool := newReadAheadPool()
	const callers = 40
	endless := make([]*countingReader, callers)
	var running []chan error
	slow := &gate{open: make(chan struct{})}
	for i := range endless {
		endless[i] = &countingReader{Reader: zeros{}}
		r := pool.start(endless[i], func(error) {})
		done := make(chan error, 1)
		running = append(running, done)
		go func() {
			_, err := r.writeTo(failing{slow}, func() {})
			done <- err
		}()
	}
	total := func() (sum int64) {
		for _, r := range endless {
			sum += r.n.Load()
		}
		return sum
	}
	const bound = (maxSharedReadAheads + callers) * readAheadChunk
	waitFor(t, "the bound is used", func() bool { return total() == bound })
	time.Sleep(20 * time.Millisecond)
	if got := total(); got != bound {
		t.Errorf("%d bytes read for callers that receive nothing, want at most %d", got, bound)
	}
	close(slow.open)
	for _, done := range running {
		if err := <-done; err == nil {
			t.Error("a caller that left is told nothing")
		}
	}
	if n := len(pool.tokens); n != 0 {
		t.Errorf("%d chunks still held", n)
	}
}

// zeros is an endless response.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// failing fails after the gate was opened, as the connection of a caller that left.
type failing struct{ *gate }

func (f failing) Write([]byte) (int, error) {
	<-f.open
	return 0, errors.New("connection reset")
}

// TestDownloadOutcomes checks that a large response arrives whole, from another target as
// long as nothing of it went out, or visibly broken.
func TestDownloadOutcomes(t *testing.T) {
	const size = 300 << 10
	whole := strings.Repeat("x", size)
	breakAfter := func(n int) responder {
		return replyWith(func(r *http.Request) string {
			return replyHead(r, "200 OK", "Content-Length: 307200\r\n\r\n"+whole[:n])
		}, false)
	}
	wholeReply := replyWith(func(r *http.Request) string { return replyHead(r, "200 OK", "Content-Length: 307200\r\n\r\n"+whole) }, true)
	cases := []struct {
		name     string
		first    responder
		arrivals int
		broken   bool
	}{
		{"whole", wholeReply, 1, false},
		{"broken before anything went out", breakAfter(maxBufferedReply / 2), 2, false},
		{"broken midway", breakAfter(maxBufferedReply + 100<<10), 1, true},
		{"reset before the first byte", resetConn, 2, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var n atomic.Int64
			respond := func(conn net.Conn, r *http.Request) bool {
				if n.Add(1) == 1 {
					return c.first(conn, r)
				}
				return wholeReply(conn, r)
			}
			f := newFixture(t, kqroutes.Download, 3*time.Second, respond, respond)
			res, body, err := f.call("/filings/scan-1", "")
			if broken := err != nil; broken != c.broken || f.arrivals() != c.arrivals {
				t.Fatalf("%v, %d bytes, %v after %d arrivals", res, len(body), err, f.arrivals())
			}
			if !c.broken && (res.StatusCode != http.StatusOK || body != whole) {
				t.Errorf("status %d, %d bytes", res.StatusCode, len(body))
			}
		})
	}
}
