package kqlistener

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// failingListener fails its second Accept, as the kernel does when it has no buffers for a
// further connection.
type failingListener struct {
	*net.TCPListener
	accepts atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.accepts.Add(1) == 2 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", syscall.ENOBUFS)}
	}
	return l.TCPListener.Accept()
}

// TestFailedAcceptEndsNoServer guards against a host that ends with requests in progress because
// the kernel could not accept one connection. The error is not one that net/http retries.
func TestFailedAcceptEndsNoServer(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := New(&failingListener{TCPListener: raw.(*net.TCPListener)})
	s := &server{addr: raw.Addr().String(), listener: l, release: make(chan struct{}), left: make(chan string, 16)}
	srv := &http.Server{Handler: l.Handler(s), ConnContext: l.ConnContext, ConnState: l.ConnState}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(l) }()
	t.Cleanup(func() {
		srv.Close()
		time.Sleep(lingerTime + 50*time.Millisecond) // connections that linger
	})
	for range 2 {
		c := s.dial(t)
		io.WriteString(c, request("/r"))
		if res, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || res.StatusCode != http.StatusOK {
			t.Errorf("%v %v, want 200", res, err)
			select {
			case err := <-done:
				t.Fatalf("the server ended: %v", err)
			default:
			}
		}
	}
}
