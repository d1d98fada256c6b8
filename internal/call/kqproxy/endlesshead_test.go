package kqproxy

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"kumquatglade/internal/state/kqroutes"
)

// manyFields returns header lines of the given size with as many fields as fit.
func manyFields(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		b.WriteString("X" + strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return b.String()
}

// TestHeadsOfManyFieldsFillNoMemory guards against heads within the limit of their size that
// take many times that in memory, as thousands of fields, of callers and of targets.
func TestHeadsOfManyFieldsFillNoMemory(t *testing.T) {
	const (
		requests = 40
		size     = 60 << 10
		perHead  = 4 * size // of the request or the response, with a copy that is passed on
	)
	fields := manyFields(size)
	held := make(chan struct{})
	t.Cleanup(func() { close(held) })
	for name, c := range map[string]struct {
		callerFields string
		statuses     string // that the caller may get: a target that failed is avoided for a while
		do           responder
	}{
		"callers": {fields, "431", func(net.Conn, *http.Request) bool { <-held; return true }},
		"targets": {"", "502 503", func(c net.Conn, r *http.Request) bool {
			io.WriteString(c, replyHead(r, "200 OK", fields+"Content-Length: 100000\r\n\r\nbegin"))
			<-held
			return true
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, kqroutes.Unsafe, 20*time.Second, c.do)
			f.targets[0].Slots = requests
			f.apply(2, f.targets...)
			f.fakeTargets[0].setLoad("0,0," + strconv.Itoa(requests) + ",100")
			before := heapInUse()
			conns := make([]net.Conn, requests)
			for i := range conns {
				conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				conns[i] = conn
				if _, err := io.WriteString(conn, "GET /filings/1 HTTP/1.1\r\nHost: index.example\r\n"+DefaultHeaderNames.RequestID+": id-1\r\n"+
					DefaultHeaderNames.Deadline+": 20000\r\n"+c.callerFields+"\r\n"); err != nil {
					t.Fatal(err)
				}
			}
			for _, conn := range conns {
				status := make([]byte, 12)
				_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
				if _, err := io.ReadFull(conn, status); err != nil || !strings.Contains(c.statuses, string(status[9:])) {
					t.Errorf("%q %v, want status %s", status, err, c.statuses)
					break
				}
			}
			if kept, want := heapInUse()-before, int64(requests*(perHead+connBound)); kept > want {
				t.Errorf("%d requests take %d KB, want at most %d KB", requests, kept>>10, want>>10)
			}
		})
	}
}
