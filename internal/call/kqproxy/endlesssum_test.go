package kqproxy

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"kumquatglade/internal/state/kqroutes"
)

// TestEndlessResponsesTogetherFillNoMemory guards against many responses without end at once, whose
// callers receive nothing: beyond the shared chunks each may take only its beginning and one chunk.
func TestEndlessResponsesTogetherFillNoMemory(t *testing.T) {
	const (
		requests  = 40
		beginning = 2 * maxBufferedReply // a buffer that grew may be twice its content
		bound     = maxSharedReadAheads*readAheadChunk + requests*(beginning+readAheadChunk+connBound)
	)
	block := bytes.Repeat([]byte("x"), 64<<10)
	var writing atomic.Int64
	ended := make(chan struct{}, requests)
	respond := func(c net.Conn, r *http.Request) bool {
		writing.Add(1)
		_, err := io.WriteString(c, replyHead(r, "200 OK", "\r\n"))
		for err == nil {
			_, err = c.Write(block)
		}
		ended <- struct{}{}
		return true
	}
	f := newFixture(t, kqroutes.Unsafe, 20*time.Second, slices.Repeat([]responder{respond}, requests)...)
	before := heapInUse()
	var conns []net.Conn
	for range requests {
		conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conns = append(conns, conn)
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		if _, err := io.WriteString(conn, "GET /filings/1 HTTP/1.1\r\nHost: index.example\r\n"+DefaultHeaderNames.RequestID+": id-1\r\n"+
			DefaultHeaderNames.Deadline+": 20000\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	begun := 0 // the others were refused, for a burst on a busy machine
	for _, conn := range conns {
		status := make([]byte, 12)
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := io.ReadFull(conn, status); err != nil {
			t.Fatal(err)
		}
		if string(status) == "HTTP/1.1 200" {
			begun++
		}
	}
	if begun == 0 {
		t.Fatal("no response has begun")
	}
	time.Sleep(200 * time.Millisecond) // what can be kept is kept by then
	kept := heapInUse() - before
	for range 3 { // a collection leaves what is allocated meanwhile
		time.Sleep(20 * time.Millisecond)
		kept = min(kept, heapInUse()-before)
	}
	if kept > bound {
		t.Errorf("%d responses take %d KB, want at most %d KB", begun, kept>>10, bound>>10)
	}
	t.Logf("%d responses take %d KB of %d KB", begun, kept>>10, bound>>10)
	for _, conn := range conns {
		conn.Close()
	}
	for range writing.Load() {
		select {
		case <-ended:
		case <-time.After(10 * time.Second):
			t.Fatal("a connection to the target is still open")
		}
	}
}
