package kqlistener

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// TestEndBehindHead guards against callers of HTTP/1.0 that take a part of a response without a
// length for all of it, because its connection is closed in order when the handler breaks it
// off, the server closes its connections or the process ends.
func TestEndBehindHead(t *testing.T) {
	const part = "a part"
	cases := []struct {
		name     string
		end      func(*Listener, *http.Server) // nil: the handler panics
		complete bool
	}{
		{"the handler breaks it off", nil, false},
		{"the server closes", func(_ *Listener, srv *http.Server) { srv.Close() }, false},
		{"the process ends", func(l *Listener, _ *http.Server) { closeSockets(l) }, false},
		{"the response is complete", func(*Listener, *http.Server) {}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			raw, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			l, received := New(raw), make(chan struct{})
			srv := &http.Server{ConnContext: l.ConnContext, ConnState: l.ConnState}
			srv.Handler = l.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				io.WriteString(w, part)
				http.NewResponseController(w).Flush()
				<-received
				if c.end == nil {
					panic(http.ErrAbortHandler)
				}
				c.end(l, srv)
			}))
			go srv.Serve(l)
			t.Cleanup(func() {
				srv.Close()
				time.Sleep(lingerTime + 50*time.Millisecond) // connections that linger
			})
			conn, err := net.Dial("tcp", raw.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(10 * time.Second))
			fmt.Fprint(conn, "GET / HTTP/1.0\r\n\r\n")
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadFull(res.Body, make([]byte, len(part))); err != nil {
				t.Fatal(err)
			}
			close(received)
			rest, err := io.ReadAll(res.Body)
			if reset := errors.Is(err, syscall.ECONNRESET); reset == c.complete || len(rest) > 0 {
				t.Errorf("the response ended in %q, %v", rest, err)
			}
		})
	}
}

// closeSockets closes the sockets of all connections, as the kernel does at the end of a process.
func closeSockets(l *Listener) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Conn.Close()
	}
}
