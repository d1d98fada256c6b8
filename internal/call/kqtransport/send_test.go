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

// script serves connections by hand: one function for each request of a connection.
type scriptedTarget struct {
	listener net.Listener
	requests atomic.Int64
}

// serve runs handle for each request that arrives; false closes the connection.
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

// TestKeyedPostOnDeadConnectionIsSentOnce holds the promise that the standard
// client breaks: it sends a POST with an Idempotency-Key again when a reused
// connection dies under it.
func TestKeyedPostOnDeadConnectionIsSentOnce(t *testing.T) {
	target := func(n int64, c net.Conn, _ *http.Request) bool {
		if n == 1 {
			writeOK(c)
			return true
		}
		return false // the second request reaches the target, which then dies
	}
	t.Run("ours", func(t *testing.T) {
		s := serve(t, target)
		p := NewPool()
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
			t.Fatalf("want an error that admits the call may have run, got %v", err)
		}
		if n := s.requests.Load(); n != 2 {
			t.Fatalf("target saw %d requests, want 2", n)
		}
	})
	t.Run("standard client, which this package stands in for", func(t *testing.T) {
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
			t.Fatalf("the standard client no longer sends again (%d requests): this package may be needless", n)
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
		{"cut inside known length", "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort", "short", true, false},
		{"cut inside a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n32\r\nshort", "short", true, false},
		{"cut between chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n", "short", true, false},
		{"unknown length ended by close", "HTTP/1.1 200 OK\r\n\r\nall?", "all?", true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := serve(t, func(_ int64, conn net.Conn, _ *http.Request) bool {
				io.WriteString(conn, c.answer)
				return c.reused
			})
			p := NewPool()
			defer p.Close()
			body, err := send(t, p, newRequest(s, http.MethodGet))
			if body != c.body || (err != nil) != c.broken {
				t.Fatalf("got %q, %v", body, err)
			}
			if open := p.OpenConns(s.listener.Addr().String()); open != 0 != c.reused {
				t.Fatalf("%d connections are kept", open)
			}
		})
	}
}

func TestConnectionPool(t *testing.T) {
	t.Run("bounded for each target", func(t *testing.T) {
		hold := make(chan struct{})
		s := serve(t, func(_ int64, c net.Conn, _ *http.Request) bool {
			<-hold
			writeOK(c)
			return true
		})
		p := NewPool()
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
			t.Fatalf("want full and unsent, got %v", err)
		}
		close(hold)
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	})
	t.Run("a connection that the target closed is not used", func(t *testing.T) {
		s := serve(t, func(_ int64, c net.Conn, _ *http.Request) bool {
			writeOK(c)
			return false
		})
		p := NewPool()
		defer p.Close()
		for range 3 {
			if _, err := send(t, p, newRequest(s, http.MethodPost)); err != nil {
				t.Fatal(err)
			}
			waitForRemoteClose(t, p, s)
		}
	})
	t.Run("a call that must not run twice takes no connection idle for long", func(t *testing.T) {
		var conns atomic.Int64
		s := serve(t, func(_ int64, c net.Conn, _ *http.Request) bool {
			conns.Add(1)
			writeOK(c)
			return true
		})
		p := NewPool()
		defer p.Close()
		if _, err := send(t, p, newRequest(s, http.MethodGet)); err != nil {
			t.Fatal(err)
		}
		p.addrs[s.listener.Addr().String()].idle[0].idleSince = time.Now().Add(-2 * MaxIdleTimeAtMostOnce)
		req := newRequest(s, http.MethodPost)
		req.AtMostOnce = true
		c, err := p.get(context.Background(), req.Addr, req.MaxConns, MaxIdleTimeAtMostOnce)
		if err != nil {
			t.Fatal(err)
		}
		if c.r.Buffered() != 0 || p.OpenConns(req.Addr) != 1 {
			t.Fatalf("%d open: the old connection is kept", p.OpenConns(req.Addr))
		}
		p.drop(c)
	})
}

// waitClosed returns once the end of the idle connection has arrived.
func waitForRemoteClose(t *testing.T, p *Pool, s *scriptedTarget) {
	t.Helper()
	p.mu.Lock()
	b := p.addrs[s.listener.Addr().String()]
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
	t.Fatal("the connection never closed")
}

func TestRefusedConnectionIsUnsent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	p := NewPool()
	defer p.Close()
	_, err = p.Send(context.Background(), Request{Method: http.MethodPost, URL: &url.URL{Path: "/"}, Addr: addr, MaxConns: 1})
	var e *Error
	if !errors.As(err, &e) || !e.Unsent {
		t.Fatalf("want unsent, got %v", err)
	}
}

// TestHold: a target has all of a long body but its last byte before Hold returns,
// and nothing is held where Hold is not asked for.
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
	p := NewPool()
	defer p.Close()
	got, err := send(t, p, Request{
		Method: http.MethodPost, URL: &url.URL{Path: "/ledgers/1"}, Host: "x", Header: http.Header{}, Body: body,
		Addr: l.Addr().String(), MaxConns: 1, AtMostOnce: true, BeforeLastByte: func(context.Context) {
			if n := <-before; n != len(body)-1 {
				t.Errorf("%d of %d bytes are there", n, len(body))
			}
			close(released)
		},
	})
	if err != nil || got != "ok" {
		t.Fatal(got, err)
	}
	if n := <-rest; n != 1 {
		t.Errorf("%d bytes were held", n)
	}
}

// TestAllButLast: every byte is passed on once, in order.
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

// TestBreakEndsHold: a target that ends while the last byte is held must not keep
// the caller waiting, and gets no last byte.
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
	p := NewPool()
	defer p.Close()
	_, err = send(t, p, Request{
		Method: http.MethodPost, URL: &url.URL{Path: "/ledgers/1"}, Host: "x", Header: http.Header{}, Body: body,
		Addr: l.Addr().String(), MaxConns: 1, AtMostOnce: true, BeforeLastByte: func(ctx context.Context) {
			select {
			case <-ctx.Done():
			case <-time.After(20 * time.Second):
				t.Error("the hold outlasts the connection")
			}
		},
	})
	var e *Error
	if !errors.As(err, &e) || e.Unsent {
		t.Fatalf("got %v", err)
	}
}
