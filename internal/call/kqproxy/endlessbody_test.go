package kqproxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"kumquatglade/internal/call/kqbody"
	"kumquatglade/internal/state/kqroutes"
)

const (
	// bodyBound is a sixth of the smallest host's memory, and connBound what one connection may
	// take on top, the test's own end of it included.
	bodyBound = 32 << 20
	connBound = 96 << 10
)

// beginUpload opens a connection, sends the head of an upload and the beginning of its body.
func (f *fixture) beginUpload(t *testing.T, head, body string) (net.Conn, error) {
	t.Helper()
	c, err := net.Dial("tcp", f.server.Listener.Addr().String())
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetWriteDeadline(time.Now().Add(2 * time.Second)) // a host that is full stops reading
	_, err = io.WriteString(c, "POST /filings/1 HTTP/1.1\r\nHost: index.example\r\n"+
		DefaultHeaderNames.RequestID+": id-1\r\n"+DefaultHeaderNames.Deadline+": 20000\r\n"+head+"\r\n\r\n")
	if err == nil {
		_, err = io.WriteString(c, body)
	}
	return c, err
}

// heapInUse returns the bytes of the heap that are in use after a collection.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestStalledUploadsFillNoMemory guards against callers that begin to upload and stop: the
// bodies of all of them together filled the memory of the host, and other callers' requests
// ended with its process.
func TestStalledUploadsFillNoMemory(t *testing.T) {
	const (
		uploads = 128
		sent    = 900 << 10 // bytes of 1 MiB
	)
	part := strings.Repeat("x", sent)
	for name, c := range map[string]struct{ head, body string }{
		"of known length":   {"Content-Length: 1048576", part},
		"in chunks":         {"Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n", sent, part)},
		"announced, unsent": {"Content-Length: 1048576", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, kqroutes.Unsafe, 20*time.Second, replyOK)
			before := heapInUse()
			var all sync.WaitGroup
			for range uploads {
				all.Go(func() { _, _ = f.beginUpload(t, c.head, c.body) }) // those beyond the bound are stopped or refused
			}
			all.Wait()
			kept := heapInUse() - before
			for range 3 { // a collection leaves what is allocated meanwhile
				time.Sleep(20 * time.Millisecond)
				kept = min(kept, heapInUse()-before)
			}
			if want := int64(bodyBound + uploads*connBound); kept > want {
				t.Errorf("%d callers that stopped take %d KB, want at most %d KB", uploads, kept>>10, want>>10)
			}
			f.uploadUntilAnswered(t, 10*time.Second)
		})
	}
}

// uploadUntilAnswered uploads as a caller does that comes back when a refusal tells it to, until
// it is answered or its time is over.
func (f *fixture) uploadUntilAnswered(t *testing.T, timeout time.Duration) {
	t.Helper()
	upload := strings.Repeat("y", 600<<10)
	started := time.Now()
	for {
		left := timeout - time.Since(started)
		res, body, err := f.call("/filings/2", upload, DefaultHeaderNames.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
		if err == nil && res.StatusCode == http.StatusOK && body == "whole" {
			return
		}
		if err != nil || res.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("another upload got %v %v", res, err)
		}
		wait, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		if err != nil || wait <= 0 || time.Since(started) > timeout {
			t.Fatalf("another upload got %v %q %v after %v", res, body, err, time.Since(started))
		}
		time.Sleep(time.Duration(wait * float64(time.Second)))
	}
}

// TestUploadGivesMemoryBack guards against a host that refuses all uploads after a while,
// since requests that ended still count: answered, too slow, refused, and left by the caller.
func TestUploadGivesMemoryBack(t *testing.T) {
	release := make(chan struct{})
	respond := func(c net.Conn, r *http.Request) bool {
		if strings.HasSuffix(r.URL.Path, "/slow") {
			<-release
		}
		return replyOK(c, r)
	}
	f := newFixture(t, kqroutes.Unsafe, time.Second, respond, respond)
	f.engine.bodies = kqbody.NewMemory(4 << 20)
	const uploads, small = 4, 8 << 10 // together just below the limit; one that needs no room
	body := strings.Repeat("x", 1e6)
	if res, _, err := f.call("/filings/1", body); err != nil || res.StatusCode != http.StatusOK {
		t.Fatal(res, err)
	}
	var slow sync.WaitGroup
	for range uploads {
		slow.Go(func() { _, _, _ = f.call("/filings/slow", body) }) // holds the memory until the target answers
	}
	for began := time.Now(); f.engine.bodies.Held() < int64(uploads*(len(body)-2*small)); time.Sleep(time.Millisecond) {
		if time.Since(began) > 2*time.Second {
			t.Fatal("the bodies in progress are not counted")
		}
	}
	res, text, err := f.call("/filings/2", body)
	if err != nil || res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" || res.Header.Get(DefaultHeaderNames.Seal) != "" {
		t.Errorf("beyond the limit: %v %q %v, want 503 and when to come back", res, text, err)
	}
	if res, _, err := f.call("/filings/3", strings.Repeat("x", small)); err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("a small body beyond the limit: %v %v, want 200", res, err)
	}
	close(release)
	slow.Wait()
	stalled, err := f.beginUpload(t, "Content-Length: 1048576", body)
	if err != nil {
		t.Fatal(err)
	}
	answer := make([]byte, 12)
	_ = stalled.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.ReadFull(stalled, answer); err != nil || string(answer) != "HTTP/1.1 408" {
		t.Errorf("stalled: %q %v, want 408", answer, err)
	}
	left, err := f.beginUpload(t, "Content-Length: 1048576", body)
	if err != nil {
		t.Fatal(err)
	}
	left.Close()
	for began := time.Now(); f.engine.bodies.Held() != 0; time.Sleep(time.Millisecond) {
		if time.Since(began) > 2*time.Second {
			t.Fatalf("%d bytes are still counted", f.engine.bodies.Held())
		}
	}
}
