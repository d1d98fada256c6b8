package kqproxy

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"kumquatglade/internal/state/kqroutes"
	"kumquatglade/internal/state/kqtargets"
)

// waitFor waits until the condition holds; it fails the test after five seconds.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within 5 s", what)
		}
	}
}

// queueLen returns the number of requests that are queued for the service.
func (f *fixture) queueLen(service string) int {
	f.engine.mu.Lock()
	defer f.engine.mu.Unlock()
	return f.engine.chooser(service).Queue.Len()
}

// TestQueuedRequestAvoidsDrainingTarget guards against requests that reach a target long
// after it began to drain, because a response that reports headroom assigns it to them.
func TestQueuedRequestAvoidsDrainingTarget(t *testing.T) {
	release := make(chan struct{})
	busy := func(c net.Conn, r *http.Request) bool {
		<-release
		io.WriteString(c, replyHead(r, "200 OK", DefaultHeaderNames.Load+": 0,0,4,100\r\nContent-Length: 5\r\n\r\nwhole"))
		return true
	}
	f := newFixtureWithObjective(t, kqroutes.Unsafe, 20*time.Second, 8*time.Second, busy, replyOK)
	leaving, other := f.targets[0], f.targets[1]
	f.apply(2, leaving)
	status := make(chan int, 2)
	call := func() {
		res, _, err := f.call("/filings/1", "filing", DefaultHeaderNames.Deadline, "20000")
		if err != nil {
			t.Error(err)
			status <- 0
			return
		}
		status <- res.StatusCode
	}
	go call()
	waitFor(t, "the first request runs", func() bool { return f.fakeTargets[0].arrivals.Load() == 1 })
	f.fakeTargets[0].setLoad("4,0,4,100")
	time.Sleep(2 * probeWait) // the load of the first probe is no longer reused
	go call()
	waitFor(t, "the second request is queued", func() bool { return f.queueLen("kekhai") == 1 })

	f.apply(3, inState(leaving, kqtargets.Draining))
	close(release)
	if got := <-status; got != http.StatusOK {
		t.Errorf("status %d for the request that ran while its target drained", got)
	}
	f.apply(4, inState(leaving, kqtargets.Draining), other)
	if got := <-status; got != http.StatusOK {
		t.Errorf("status %d for the queued request", got)
	}
	if left, right := f.fakeTargets[0].arrivals.Load(), f.fakeTargets[1].arrivals.Load(); left != 1 || right != 1 {
		t.Errorf("%d requests at the draining target and %d at the other one, want 1 and 1", left, right)
	}
}
