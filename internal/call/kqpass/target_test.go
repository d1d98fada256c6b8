package kqpass

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
type target struct {
	l         net.Listener
	arrivals  atomic.Int64
	closed    chan struct{} // closed when a connection with a request ends
	last      atomic.Pointer[http.Request]
	questions atomic.Int64
	asked     func(n int64) string // load that it tells at a question, nil: idle
	slow      atomic.Int64         // nanoseconds until it answers a question
	body      atomic.Pointer[string]
}

// answer writes what it likes; false ends the connection in order.
type answer func(c net.Conn, r *http.Request) bool

func startTarget(t *testing.T, do answer) *target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	x := &target{l: l, closed: make(chan struct{}, 16)}
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

func (x *target) serve(c net.Conn, do answer) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if req.URL.Path == "/health" {
			load := "0,0,4,100"
			if n := x.questions.Add(1); x.asked != nil {
				load = x.asked(n)
			}
			time.Sleep(time.Duration(x.slow.Load()))
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", OwnNames.Load, load)
			continue
		}
		x.arrivals.Add(1)
		x.last.Store(req)
		if req.Header.Get("Early") == "" {
			p, _ := io.ReadAll(req.Body)
			s := string(p)
			x.body.Store(&s)
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
func head(r *http.Request, status, more string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: s1\r\n%s", status, OwnNames.ID, r.Header.Get(OwnNames.ID), OwnNames.Seal, more)
}

func good(c net.Conn, r *http.Request) bool {
	io.WriteString(c, head(r, "200 OK", "Content-Length: 5\r\n\r\nwhole"))
	return true
}

func reset(c net.Conn, _ *http.Request) bool {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
	return true
}

func shed(c net.Conn, _ *http.Request) bool {
	io.WriteString(c, "HTTP/1.1 503 Full\r\n"+OwnNames.NotRun+": 1\r\nContent-Length: 0\r\n\r\n")
	return true
}

func writes(format func(*http.Request) string, keep bool) answer {
	return func(c net.Conn, r *http.Request) bool {
		io.WriteString(c, format(r))
		if !keep {
			c.(*net.TCPConn).CloseWrite()
		}
		return keep
	}
}
