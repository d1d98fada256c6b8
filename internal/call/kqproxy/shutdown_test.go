package kqproxy

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"kumquatglade/internal/state/kqroutes"
)

// TestShutdownTakesWhatEndsInTime guards against requests that are passed on although they
// may outlast the shutdown of the host, and are cut when it ends.
func TestShutdownTakesWhatEndsInTime(t *testing.T) {
	cases := []struct {
		name     string
		end      time.Duration // of the shutdown, from now on
		deadline string        // of the caller, in ms
		status   int
	}{
		{"the route's timeout ends in time", 10 * time.Second, "20000", 200},
		{"the caller's time ends in time", 3 * time.Second, "500", 200},
		{"may outlast the shutdown", 3 * time.Second, "20000", 503},
		{"the shutdown is over", 0, "500", 503},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, kqroutes.Unsafe, 5*time.Second, replyOK)
			f.engine.Stop(time.Now().Add(c.end))
			res, _, err := f.call("/filings/7", "filing", DefaultHeaderNames.Deadline, c.deadline)
			if err != nil {
				t.Fatal(err)
			}
			if refused := res.StatusCode == 503; res.StatusCode != c.status || refused != (f.arrivals() == 0) {
				t.Errorf("status %d after %d arrivals, want %d", res.StatusCode, f.arrivals(), c.status)
			}
			if !res.Close || (res.Header.Get("Retry-After") != "") != (c.status == 503) {
				t.Errorf("closes: %t, Retry-After %q", res.Close, res.Header.Get("Retry-After"))
			}
		})
	}
}

// TestShutdownRefusesBeforeBodyArrives guards against a caller that is told only after it
// has sent its body, when the host may be gone.
func TestShutdownRefusesBeforeBodyArrives(t *testing.T) {
	for _, framing := range []string{"Content-Length: 4000", "Transfer-Encoding: chunked"} {
		f := newFixture(t, kqroutes.Upload, 5*time.Second, replyOK)
		f.engine.Stop(time.Now().Add(time.Second))
		c, err := net.Dial("tcp", strings.TrimPrefix(f.server.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprintf(c, "POST /filings/7?q=/a HTTP/1.1\r\nHost: index.example\r\n%s: id-1\r\n%s\r\n\r\n", DefaultHeaderNames.RequestID, framing)
		c.SetReadDeadline(time.Now().Add(time.Second))
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("%s: %v", framing, err)
		}
		if res.StatusCode != 503 || !res.Close {
			t.Errorf("%s: status %d, closes: %t", framing, res.StatusCode, res.Close)
		}
	}
}

// TestShutdownRefusesWhatIsNotSentYet guards against requests that were read before the
// shutdown and are sent to a target late in it: from the queue, or once their body is there.
func TestShutdownRefusesWhatIsNotSentYet(t *testing.T) {
	t.Run("queued", func(t *testing.T) {
		release := make(chan struct{})
		f := newFixtureWithObjective(t, kqroutes.Unsafe, 20*time.Second, 8*time.Second, func(c net.Conn, r *http.Request) bool {
			<-release
			return replyOK(c, r)
		})
		status := make(chan int, 2)
		go f.callPatiently(t, status)
		waitFor(t, "the first request runs", func() bool { return f.arrivals() == 1 })
		f.fakeTargets[0].setLoad("4,0,4,100")
		time.Sleep(2 * probeWait) // the load of the first probe is no longer reused
		go f.callPatiently(t, status)
		waitFor(t, "the second request is queued", func() bool { return f.queueLen("kekhai") == 1 })
		f.engine.Stop(time.Now().Add(5 * time.Second))
		f.fakeTargets[0].setLoad("0,0,4,100")
		if got := <-status; got != http.StatusServiceUnavailable {
			t.Errorf("status %d for the queued request, want 503", got)
		}
		close(release)
		if got := <-status; got != http.StatusOK {
			t.Errorf("status %d for the request that ran, want 200", got)
		}
		if f.arrivals() != 1 {
			t.Errorf("%d requests at the target, want 1", f.arrivals())
		}
	})
	t.Run("body under way", func(t *testing.T) {
		f := newFixture(t, kqroutes.Upload, 5*time.Second, replyOK)
		c, err := net.Dial("tcp", strings.TrimPrefix(f.server.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprintf(c, "POST /filings/7 HTTP/1.1\r\nHost: index.example\r\n%s: id-1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n", DefaultHeaderNames.RequestID)
		waitFor(t, "the request arrives", func() bool { return f.engine.InFlight() == 1 })
		f.engine.Stop(time.Now().Add(time.Second))
		fmt.Fprint(c, "1\r\nb\r\n0\r\n\r\n")
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		if res.StatusCode != 503 || !res.Close || f.arrivals() != 0 {
			t.Errorf("status %d, closes: %t, %d arrivals", res.StatusCode, res.Close, f.arrivals())
		}
	})
	t.Run("chosen, connection under way", func(t *testing.T) {
		f := newFixture(t, kqroutes.Unsafe, 5*time.Second, replyOK)
		p := f.chosenRequest(t)
		f.engine.Stop(time.Now().Add(time.Second))
		out, answered := p.attempt(t.Context(), p.chosen.Target)
		if answered || !out.unsent || f.arrivals() != 0 || p.chosen.Target.InFlight != 0 {
			t.Errorf("answered %t, %+v, %d arrivals, %d in flight", answered, out, f.arrivals(), p.chosen.Target.InFlight)
		}
	})
}
