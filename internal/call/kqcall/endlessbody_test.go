package kqcall

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"kumquatglade/internal/call/kqheader"
	"kumquatglade/internal/call/kqtransport"
	"kumquatglade/internal/state/kqcontract"
)

// heapInUse returns the bytes of the heap that are in use after a collection.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestStalledBodiesFillNoMemory guards against callers that begin to send bodies and stop: the
// limit of active calls counts only calls whose body has arrived, so all bodies together
// filled the memory of the host.
func TestStalledBodiesFillNoMemory(t *testing.T) {
	const (
		callers = 40
		sent    = 2 << 20 // bytes of each body
		bound   = 32 << 20
		perConn = 96 << 10
	)
	f := newFixture(t, echoRequestBody, func(c *kqcontract.Contract) { c.Services[0].Body = 4 << 20 })
	before := heapInUse()
	part := strings.Repeat("x", sent)
	var all sync.WaitGroup
	for range callers {
		conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		all.Go(func() {
			_ = conn.SetWriteDeadline(time.Now().Add(time.Second)) // a host that is full stops reading
			if _, err := io.WriteString(conn, "POST /filings HTTP/1.1\r\nHost: h\r\nContent-Length: 4194304\r\n"+
				kqheader.Owner+": o\r\n"+kqheader.Service+": kekhai\r\n\r\n"); err == nil {
				_, _ = io.WriteString(conn, part)
			}
		})
	}
	all.Wait()
	kept := heapInUse() - before
	for range 3 { // a collection leaves what is allocated meanwhile
		time.Sleep(20 * time.Millisecond)
		kept = min(kept, heapInUse()-before)
	}
	if want := int64(bound + callers*perConn); kept > want {
		t.Errorf("%d callers that stopped take %d KB, want at most %d KB", callers, kept>>10, want>>10)
	}
	for began := time.Now(); ; {
		res, body, err := f.do(t, http.MethodPost, strings.Repeat("y", 1<<20))
		if err == nil && res.StatusCode == http.StatusOK {
			return
		}
		if err != nil || res.StatusCode != http.StatusServiceUnavailable || res.Header.Get(kqheader.Run) != kqheader.RunNo || time.Since(began) > 10*time.Second {
			t.Fatalf("another call got %v %.100q %v after %v", res, body, err, time.Since(began))
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// stallingWriter is a ResponseWriter whose caller receives nothing: a write waits for its
// deadline.
type stallingWriter struct {
	*httptest.ResponseRecorder
	deadline time.Time
	unbound  bool // a write would have waited for good
}

func (w *stallingWriter) SetWriteDeadline(t time.Time) error {
	w.deadline = t
	return nil
}

func (w *stallingWriter) Write([]byte) (int, error) {
	w.unbound = w.unbound || w.deadline.IsZero() || time.Until(w.deadline) > time.Minute
	return 0, os.ErrDeadlineExceeded
}

// TestCallerThatReceivesNothingIsCutOff guards against a caller that stops reading a response and
// keeps its call, the target's slot and the buffers for good.
func TestCallerThatReceivesNothingIsCutOff(t *testing.T) {
	for _, length := range []int64{-1, 100_000} {
		w := &stallingWriter{ResponseRecorder: httptest.NewRecorder()}
		_, err := copyBody(w, &kqtransport.Reply{BodyLength: length, Body: strings.NewReader(strings.Repeat("x", 100_000))})
		if err == nil || w.unbound || !w.deadline.IsZero() {
			t.Errorf("length %d: %v, waits for good %v, deadline %v", length, err, w.unbound, w.deadline)
		}
	}
}
