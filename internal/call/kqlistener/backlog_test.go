package kqlistener

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// lateListener accepts nothing until its gate opens.
type lateListener struct {
	*net.TCPListener
	gate chan struct{}
}

func (l lateListener) Accept() (net.Conn, error) {
	<-l.gate
	return l.TCPListener.Accept()
}

// TestStopAcceptingTakesTheBacklog guards against connections that the kernel has accepted, with
// a request on them, and that are reset because the listening socket closes before the server
// took them.
func TestStopAcceptingTakesTheBacklog(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	late := lateListener{raw.(*net.TCPListener), make(chan struct{})}
	l := New(late)
	s := &server{addr: raw.Addr().String(), listener: l, release: make(chan struct{}), left: make(chan string, 16)}
	srv := &http.Server{Handler: l.Handler(s), ConnContext: l.ConnContext, ConnState: l.ConnState}
	done := make(chan struct{})
	go func() {
		defer close(done)
		srv.Serve(l)
	}()
	var conns []*net.TCPConn
	for range 20 {
		c := s.dial(t)
		io.WriteString(c, request("/r"))
		conns = append(conns, c)
	}
	if err := l.StopAccepting(); err != nil {
		t.Fatal(err)
	}
	close(late.gate)
	if c, err := net.Dial("tcp", s.addr); err == nil {
		c.Close()
		t.Error("a connection is accepted")
	}
	lost := 0
	for _, c := range conns {
		if res, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || res.StatusCode != http.StatusOK {
			lost++
			t.Logf("%v %v", res, err)
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d connections of the backlog got no response", lost, len(conns))
	}
	if err := l.Drain(t.Context()); err != nil {
		t.Error(err)
	}
	srv.Close()
	<-done
	time.Sleep(lingerTime + 50*time.Millisecond) // connections that linger
}
