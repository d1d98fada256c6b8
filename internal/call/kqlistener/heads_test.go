package kqlistener

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// TestEndlessHeadsFillNoMemory guards against heads that never end: many of them together
// filled the memory of a host, and ended the requests of all other callers with it.
func TestEndlessHeadsFillNoMemory(t *testing.T) {
	const callers = 120
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := New(raw)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "whole") })
	srv := &http.Server{Handler: l.Handler(handler), ConnContext: l.ConnContext, ConnState: l.ConnState, MaxHeaderBytes: 64 << 10}
	done := make(chan struct{})
	go func() { defer close(done); srv.Serve(l) }()
	t.Cleanup(func() {
		srv.Close()
		<-done
		time.Sleep(lingerTime + 50*time.Millisecond) // connections that linger
	})
	dial := func() net.Conn {
		c, err := net.Dial("tcp", raw.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	var head strings.Builder
	head.WriteString("GET /endless HTTP/1.1\r\nHost: x\r\n")
	for i := range 8000 { // short of the server's limit
		fmt.Fprintf(&head, "%04d:\r\n", i)
	}
	before := heapInUse()
	for range callers {
		io.WriteString(dial(), head.String())
	}
	time.Sleep(300 * time.Millisecond) // the server reads what it takes
	const most = 184 << 20 / 5         // of the smallest host's memory: the heads, and the rest of the connections
	if took := heapInUse() - before; took > most {
		t.Errorf("%d heads without end take %d KB, want at most %d KB", callers, took>>10, most>>10)
	}
	c := dial()
	io.WriteString(c, request("/other"))
	if res, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("a request beside them: %v %v", res, err)
	}
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestClosedConnectionHoldsNoHead guards against a head that counts for good, because its
// connection was closed while bytes of it were read.
func TestClosedConnectionHoldsNoHead(t *testing.T) {
	ours, caller := net.Pipe()
	defer caller.Close()
	l := New(nil)
	l.framed.Store(true)
	c := newConn(ours, l)
	c.framing.handed = freeHead + 1
	c.countHead()
	c.Close()
	c.countHead()
	if l.heads.held != 0 || len(l.heads.conns) != 0 {
		t.Errorf("%d bytes of %d heads are held", l.heads.held, len(l.heads.conns))
	}
}
