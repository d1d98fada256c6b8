package kqproxy

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"kumquatglade/internal/state/kqroutes"
)

// TestRequestOutlivesEntryOfTarget guards against a request that is started elsewhere, or
// given up, because its target left the directory while it ran.
func TestRequestOutlivesEntryOfTarget(t *testing.T) {
	for _, kind := range []kqroutes.Kind{kqroutes.Safe, kqroutes.Unsafe} {
		release := make(chan struct{})
		f := newFixture(t, kind, 5*time.Second, func(c net.Conn, r *http.Request) bool {
			<-release
			io.WriteString(c, replyHead(r, "200 OK", "Content-Length: 5\r\n\r\nwhole"))
			return true
		}, replyOK)
		f.apply(2, f.targets[0])
		status := make(chan int, 1)
		go func() {
			res, _, err := f.call("/filings/1", "filing", DefaultHeaderNames.Deadline, "5000")
			if err != nil {
				t.Error(err)
				status <- 0
				return
			}
			status <- res.StatusCode
		}()
		waitFor(t, "the request runs", func() bool { return f.arrivals() == 1 })
		f.apply(3, f.targets[1]) // the target that runs it is no longer listed
		time.Sleep(50 * time.Millisecond)
		close(release)
		if got := <-status; got != http.StatusOK || f.arrivals() != 1 {
			t.Errorf("%s: status %d after %d arrivals, want 200 after one", kind, got, f.arrivals())
		}
	}
}
