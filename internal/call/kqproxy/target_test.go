package kqproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// target answers by hand: one function for each request that is no question.
type fakeTarget struct {
	listener    net.Listener
	arrivals    atomic.Int64
	closed      chan struct{} // closed when a connection with a request ends
	lastRequest atomic.Pointer[http.Request]
	probes      atomic.Int64
	load        func(n int64) string // load that it tells at a question, nil: idle
	probeDelay  atomic.Int64         // nanoseconds until it answers a question
	lastBody    atomic.Pointer[string]
}

// answer writes what it likes; false ends the connection in order.
type responder func(c net.Conn, r *http.Request) bool

func startTarget(t *testing.T, do responder) *fakeTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	x := &fakeTarget{listener: l, closed: make(chan struct{}, 16)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go x.serve(c, do)
		}
	}()
	return x
}

func (x *fakeTarget) serve(c net.Conn, do responder) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if req.URL.Path == "/health" {
			load := "0,0,4,100"
			if n := x.probes.Add(1); x.load != nil {
				load = x.load(n)
			}
			time.Sleep(time.Duration(x.probeDelay.Load()))
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", DefaultHeaderNames.Load, load)
			continue
		}
		x.arrivals.Add(1)
		x.lastRequest.Store(req)
		if req.Header.Get("Early") == "" {
			p, _ := io.ReadAll(req.Body)
			s := string(p)
			x.lastBody.Store(&s)
		}
		if !do(c, req) {
			// What the other end does with the connection shows in a read.
			c.SetReadDeadline(time.Now().Add(2 * time.Second))
			io.Copy(io.Discard, r)
			x.closed <- struct{}{}
			return
		}
	}
}

// head is the head of a good answer to the request.
func replyHead(r *http.Request, status, more string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: s1\r\n%s", status, DefaultHeaderNames.RequestID, r.Header.Get(DefaultHeaderNames.RequestID), DefaultHeaderNames.Seal, more)
}

func replyOK(c net.Conn, r *http.Request) bool {
	io.WriteString(c, replyHead(r, "200 OK", "Content-Length: 5\r\n\r\nwhole"))
	return true
}

func resetConn(c net.Conn, _ *http.Request) bool {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
	return true
}

func replyNotExecuted(c net.Conn, _ *http.Request) bool {
	io.WriteString(c, "HTTP/1.1 503 Full\r\n"+DefaultHeaderNames.NotExecuted+": 1\r\nContent-Length: 0\r\n\r\n")
	return true
}

func replyWith(format func(*http.Request) string, keep bool) responder {
	return func(c net.Conn, r *http.Request) bool {
		io.WriteString(c, format(r))
		if !keep {
			c.(*net.TCPConn).CloseWrite()
		}
		return keep
	}
}
