package kqtransport

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"kumquatglade/internal/call/kqheader"

	"github.com/cockroachdb/errors"
)

// TestEndlessHead guards against a target whose bytes never form the head of a response:
// the host must close the connection before they fill its memory.
func TestEndlessHead(t *testing.T) {
	cases := map[string]struct{ start, repeated string }{
		"status line":       {"", strings.Repeat("x", 1<<10)},
		"header field":      {"HTTP/1.1 200 OK\r\nX-Long: ", strings.Repeat("x", 1<<10)},
		"header fields":     {"HTTP/1.1 200 OK\r\n", "X-Field: 1\r\n"},
		"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	}
	for name, bytes := range cases {
		t.Run(name, func(t *testing.T) {
			const most = 8 << 20 // bytes that the target writes at most; the socket buffers take a part
			var written atomic.Int64
			s := serve(t, func(_ int64, c net.Conn, _ *http.Request) bool {
				n, err := io.WriteString(c, bytes.start)
				for err == nil && written.Add(int64(n)) < most {
					n, err = io.WriteString(c, bytes.repeated)
				}
				<-t.Context().Done()
				return false
			})
			p := NewPool(Config{})
			defer p.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err := p.Send(ctx, newRequest(s, http.MethodPost))
			var e *Error
			if !errors.As(err, &e) || !errors.Is(err, errHeadTooLong) || e.Unsent {
				t.Errorf("%v, want an error that the head is too long", err)
			}
			if n := p.OpenConns(s.listener.Addr().String()); n != 0 {
				t.Errorf("%d connections are open", n)
			}
		})
	}
}

// TestLongHead checks that a head just below the limit is read, on a new and on a reused
// connection, and that the limit does not apply to the body.
func TestLongHead(t *testing.T) {
	field, body := strings.Repeat("x", maxHead-bufferSize), strings.Repeat("y", 2*maxHead)
	s := serve(t, func(_ int64, c net.Conn, _ *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Long: "+field+"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
		return true
	})
	p := NewPool(Config{})
	defer p.Close()
	for range 3 {
		got, err := send(t, p, newRequest(s, http.MethodPost))
		if err != nil || got != body {
			t.Errorf("body of %d bytes and error %v, want %d bytes", len(got), err, len(body))
		}
	}
}

// TestTooManyFields guards against a head within the limit of its size that takes many times
// that in memory, and against a limit that a usual head reaches.
func TestTooManyFields(t *testing.T) {
	for fields, ok := range map[int]bool{kqheader.MaxFields - 1: true, kqheader.MaxFields: false, 8000: false} { // one more is the length
		t.Run(strconv.Itoa(fields), func(t *testing.T) {
			s := serve(t, func(_ int64, c net.Conn, _ *http.Request) bool {
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"+strings.Repeat("X-F: 1\r\n", fields)+"\r\nok")
				return true
			})
			p := NewPool(Config{})
			defer p.Close()
			got, err := send(t, p, newRequest(s, http.MethodPost))
			if ok && (err != nil || got != "ok") || !ok && !errors.Is(err, errHeadTooLong) {
				t.Errorf("%q %v, want allowed %v", got, err, ok)
			}
		})
	}
}

// TestEndlessBody guards against parts of a response behind its head that never end and are no
// content, which nobody bounds by what they hold: reading must end with an error.
func TestEndlessBody(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	cases := map[string]struct{ start, repeated string }{
		"chunk extension":           {chunked + "5;", strings.Repeat("x", 1<<10)},
		"size of a chunk":           {chunked, strings.Repeat("0", 1<<10)},
		"extensions of tiny chunks": {chunked, "1;" + strings.Repeat("x", 1<<10) + "\r\nx\r\n"},
		"trailers":                  {chunked + "0\r\n", "X-Trailer: 1\r\n"},
		"trailer":                   {chunked + "0\r\nX-Trailer: ", strings.Repeat("x", 1<<10)},
	}
	for name, bytes := range cases {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(_ int64, c net.Conn, _ *http.Request) bool {
				_, err := io.WriteString(c, bytes.start)
				for err == nil {
					_, err = io.WriteString(c, bytes.repeated)
				}
				return false
			})
			p := NewPool(Config{})
			defer p.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			reply, err := p.Send(ctx, newRequest(s, http.MethodPost))
			if err != nil {
				t.Fatal(err)
			}
			n, err := io.Copy(io.Discard, reply.Body)
			reply.Close()
			if err == nil || ctx.Err() != nil || n > 1<<10 {
				t.Errorf("%d bytes of content, %v, want an error before the time is over", n, err)
			}
			if n := p.OpenConns(s.listener.Addr().String()); n != 0 {
				t.Errorf("%d connections are open", n)
			}
		})
	}
}

// TestBytesBehindResponseAreNotKept guards against a target that sends without end behind a whole
// response: on an idle connection its bytes filled the socket buffer, which counts as memory of
// the host. A connection without such bytes must stay.
func TestBytesBehindResponseAreNotKept(t *testing.T) {
	for _, endless := range []bool{true, false} {
		t.Run(strconv.FormatBool(endless), func(t *testing.T) {
			answered := make(chan struct{})
			s := serve(t, func(_ int64, c net.Conn, _ *http.Request) bool {
				_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				<-answered // the connection is idle by then
				for endless && err == nil {
					_, err = io.WriteString(c, strings.Repeat("x", 1<<10))
				}
				return !endless
			})
			p := NewPool(Config{})
			defer p.Close()
			if got, err := send(t, p, newRequest(s, http.MethodPost)); err != nil || got != "ok" {
				t.Fatal(got, err)
			}
			close(answered)
			addr, want := s.listener.Addr().String(), 1
			if endless {
				want = 0
			}
			for began := time.Now(); time.Since(began) < 2*time.Second; time.Sleep(10 * time.Millisecond) {
				p.CloseExpired()
				if endless && p.OpenConns(addr) == 0 || !endless && time.Since(began) > 200*time.Millisecond {
					break
				}
			}
			if n := p.OpenConns(addr); n != want {
				t.Errorf("%d connections are open, want %d", n, want)
			}
		})
	}
}
