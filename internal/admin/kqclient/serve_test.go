package kqclient

import (
	"bufio"
	"net"
	"net/http"
	"testing"
)

// serveOnce starts a server that has one connection served by respond, once the head of a
// request was read from it, and returns its address.
func serveOnce(t *testing.T, respond func(net.Conn, *http.Request)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			respond(conn, req)
		}
	}()
	return l.Addr().String()
}
