package kqtransport

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// scriptedTarget is a TCP server that passes each request to a function, which
// writes the raw response.
type scriptedTarget struct {
	listener net.Listener
	requests atomic.Int64
}

// serve starts a scriptedTarget that calls handle for each request. The connection is
// closed if handle returns false.
func serve(t *testing.T, handle func(n int64, c net.Conn, r *http.Request) bool) *scriptedTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedTarget{listener: l}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serveConn(c, handle)
		}
	}()
	return s
}

func (s *scriptedTarget) serveConn(c net.Conn, handle func(int64, net.Conn, *http.Request) bool) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		if !handle(s.requests.Add(1), c, req) {
			return
		}
	}
}

func newRequest(s *scriptedTarget, method string) Request {
	return Request{
		Method: method, URL: &url.URL{Path: "/filings"}, Host: "target", Header: http.Header{},
		Addr: s.listener.Addr().String(), MaxConns: 4,
	}
}

func send(t *testing.T, p *Pool, req Request) (string, error) {
	t.Helper()
	reply, err := p.Send(context.Background(), req)
	if err != nil {
		return "", err
	}
	defer reply.Close()
	body, err := io.ReadAll(reply.Body)
	return string(body), err
}

func writeOK(c net.Conn) {
	io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
}

// TestKeyedPostOnDeadConnectionIsSentOnce guards against a POST that is sent twice:
// the standard client resends a POST with an Idempotency-Key when a reused
// connection breaks.
func TestKeyedPostOnDeadConnectionIsSentOnce(t *testing.T) {
	target := func(n int64, c net.Conn, _ *http.Request) bool {
		if n == 1 {
			writeOK(c)
			return true
		}
		return false // the target reads the second request and then fails
	}
	t.Run("this package", func(t *testing.T) {
		s := serve(t, target)
		p := NewPool(Config{})
		defer p.Close()
		if _, err := send(t, p, newRequest(s, http.MethodGet)); err != nil {
			t.Fatal(err)
		}
		req := newRequest(s, http.MethodPost)
		req.AtMostOnce = true
		req.Header.Set("Idempotency-Key", "k1")
		_, err := send(t, p, req)
		var e *Error
		if !errors.As(err, &e) || e.Unsent {
			t.Fatalf("want an error that says the call may have been executed, got %v", err)
		}
		if n := s.requests.Load(); n != 2 {
			t.Fatalf("target saw %d requests, want 2", n)
		}
	})
	t.Run("standard client, which this package replaces", func(t *testing.T) {
		s := serve(t, target)
		tr := &http.Transport{}
		defer tr.CloseIdleConnections()
		get, _ := http.NewRequest(http.MethodGet, "http://"+s.listener.Addr().String(), nil)
		res, err := tr.RoundTrip(get)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, res.Body)
		res.Body.Close()
		post, _ := http.NewRequest(http.MethodPost, "http://"+s.listener.Addr().String(), nil)
		post.Header.Set("Idempotency-Key", "k1")
		if res, err = tr.RoundTrip(post); err == nil {
			res.Body.Close()
		}
		if n := s.requests.Load(); n < 3 {
			t.Fatalf("the standard client no longer resends the request (%d requests): this package may be unnecessary", n)
		}
	})
}

func TestReplyFraming(t *testing.T) {
	cases := []struct {
		name, answer string
		body         string
		broken       bool
		reused       bool
	}{
		{"known length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "whole", false, true},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", "whole", false, true},
		{"after 1xx", "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", false, true},
		{"closing", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole", "whole", false, false},
		{"truncated within a known length", "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort", "short", true, false},
		{"truncated within a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n32\r\nshort", "short", true, false},
		{"truncated between chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n", "short", true, false},
		{"unknown length ended by close", "HTTP/1.1 200 OK\r\n\r\nall?", "all?", true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := serve(t, func(_ int64, conn net.Conn, _ *http.Request) bool {
				io.WriteString(conn, c.answer)
				return c.reused
			})
			p := NewPool(Config{})
			defer p.Close()
			body, err := send(t, p, newRequest(s, http.MethodGet))
			if body != c.body || (err != nil) != c.broken {
				t.Fatalf("got %q, %v", body, err)
			}
			if open := p.OpenConns(s.listener.Addr().String()); open != 0 != c.reused {
				t.Fatalf("%d connections are open after the exchange", open)
			}
		})
	}
}

func TestConnectionPool(t *testing.T) {
	t.Run("bounded for each target", func(t *testing.T) {
		release := make(chan struct{})
		s := serve(t, func(_ int64, c net.Conn, _ *http.Request) bool {
			<-release
			writeOK(c)
			return true
		})
		p := NewPool(Config{})
		defer p.Close()
		req := newRequest(s, http.MethodGet)
		req.MaxConns = 1
		done := make(chan error)
		go func() {
			_, err := send(t, p, req)
			done <- err
		}()
		for s.requests.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		_, err := send(t, p, req)
		var e *Error
		if !errors.As(err, &e) || !e.PoolExhausted || !e.Unsent {
			t.Fatalf("want pool exhausted and unsent, got %v", err)
		}
		close(release)
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	})
	t.Run("a connection closed by the target is not reused", func(t *testing.T) {
		s := serve(t, func(_ int64, c net.Conn, _ *http.Request) bool {
			writeOK(c)
			return false
		})
		p := NewPool(Config{})
		defer p.Close()
		for range 3 {
			if _, err := send(t, p, newRequest(s, http.MethodPost)); err != nil {
				t.Fatal(err)
			}
			waitForRemoteClose(t, p, s)
		}
	})
	t.Run("a call that must not be executed twice reuses no connection idle for long", func(t *testing.T) {
		var conns atomic.Int64
		s := serve(t, func(_ int64, c net.Conn, _ *http.Request) bool {
			conns.Add(1)
			writeOK(c)
			return true
		})
		p := NewPool(Config{})
		defer p.Close()
		if _, err := send(t, p, newRequest(s, http.MethodGet)); err != nil {
			t.Fatal(err)
		}
		p.targets[target{addr: s.listener.Addr().String()}].idle[0].idleSince = time.Now().Add(-2 * MaxIdleTimeAtMostOnce)
		req := newRequest(s, http.MethodPost)
		req.AtMostOnce = true
		c, err := p.get(context.Background(), target{addr: req.Addr}, req.MaxConns, MaxIdleTimeAtMostOnce)
		if err != nil {
			t.Fatal(err)
		}
		if c.r.Buffered() != 0 || p.OpenConns(req.Addr) != 1 {
			t.Fatalf("%d connections open: the old one was not closed", p.OpenConns(req.Addr))
		}
		p.drop(c)
	})
}

// waitForRemoteClose returns when this end sees that the target has closed the idle
// connection.
func waitForRemoteClose(t *testing.T, p *Pool, s *scriptedTarget) {
	t.Helper()
	p.mu.Lock()
	b := p.targets[target{addr: s.listener.Addr().String()}]
	p.mu.Unlock()
	if b == nil {
		return
	}
	for range 1000 {
		if !b.idle[0].usable() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the target's close did not arrive within 1000 checks 1 ms apart")
}

func TestRefusedConnectionIsUnsent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	p := NewPool(Config{})
	defer p.Close()
	_, err = p.Send(context.Background(), Request{Method: http.MethodPost, URL: &url.URL{Path: "/"}, Addr: addr, MaxConns: 1})
	var e *Error
	if !errors.As(err, &e) || !e.Unsent {
		t.Fatalf("want unsent, got %v", err)
	}
}

// TestBeforeLastByte checks that the target has received all bytes of a long body but
// the last one before BeforeLastByte returns, and the last one after it.
func TestBeforeLastByte(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	body := bytes.Repeat([]byte("7"), 2*maxInlineBody)
	before, rest := make(chan int, 1), make(chan int, 1)
	released := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		n, _ := io.CopyN(io.Discard, req.Body, int64(len(body)-1))
		before <- int(n)
		<-released
		n, _ = io.Copy(io.Discard, req.Body)
		rest <- int(n)
		writeOK(c)
	}()
	p := NewPool(Config{})
	defer p.Close()
	got, err := send(t, p, Request{
		Method: http.MethodPost, URL: &url.URL{Path: "/ledgers/1"}, Host: "x", Header: http.Header{}, Body: body,
		Addr: l.Addr().String(), MaxConns: 1, AtMostOnce: true, BeforeLastByte: func(context.Context) {
			if n := <-before; n != len(body)-1 {
				t.Errorf("%d of %d bytes had arrived before BeforeLastByte returned", n, len(body))
			}
			close(released)
		},
	})
	if err != nil || got != "ok" {
		t.Fatal(got, err)
	}
	if n := <-rest; n != 1 {
		t.Errorf("%d bytes arrived after BeforeLastByte returned, want 1", n)
	}
}

// TestLastByteWriter checks that every byte is passed on once and in order.
func TestLastByteWriter(t *testing.T) {
	var out bytes.Buffer
	a := &lastByteWriter{w: &out}
	for i, s := range []string{"ab", "", "c", "def"} {
		if n, err := a.Write([]byte(s)); n != len(s) || err != nil {
			t.Fatal(i, n, err)
		}
	}
	if out.String() != "abcde" {
		t.Errorf("passed on %q", &out)
	}
	if err := a.flush(); err != nil || out.String() != "abcdef" {
		t.Errorf("%q, %v", &out, err)
	}
}

// TestResetEndsHold guards against a caller that waits for a target that is gone: the
// target resets the connection while the last byte is held back, which must cancel
// the context of BeforeLastByte.
func TestResetEndsHold(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	body := bytes.Repeat([]byte("7"), 2*maxInlineBody)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			io.CopyN(io.Discard, req.Body, int64(len(body)-1))
		}
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}()
	p := NewPool(Config{})
	defer p.Close()
	_, err = send(t, p, Request{
		Method: http.MethodPost, URL: &url.URL{Path: "/ledgers/1"}, Host: "x", Header: http.Header{}, Body: body,
		Addr: l.Addr().String(), MaxConns: 1, AtMostOnce: true, BeforeLastByte: func(ctx context.Context) {
			select {
			case <-ctx.Done():
			case <-time.After(20 * time.Second):
				t.Error("the context of BeforeLastByte was not cancelled within 20 s after the reset")
			}
		},
	})
	var e *Error
	if !errors.As(err, &e) || e.Unsent {
		t.Fatalf("want an error that says the request was sent, got %v", err)
	}
}
