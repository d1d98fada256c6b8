package kqproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
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

// callPatiently makes a request that has 20 s, and passes on the status of its response, 0
// if there is none.
func (f *fixture) callPatiently(t *testing.T, status chan<- int) {
	res, _, err := f.call("/filings/1", "filing", DefaultHeaderNames.Deadline, "20000")
	if err != nil {
		t.Error(err)
		status <- 0
		return
	}
	status <- res.StatusCode
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
	go f.callPatiently(t, status)
	waitFor(t, "the first request runs", func() bool { return f.fakeTargets[0].arrivals.Load() == 1 })
	f.fakeTargets[0].setLoad("4,0,4,100")
	time.Sleep(2 * probeWait) // the load of the first probe is no longer reused
	go f.callPatiently(t, status)
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

// TestSlowBodyUsesCurrentTargets guards against requests that are refused, or sent to
// targets that left, because the targets are those of the request's arrival.
func TestSlowBodyUsesCurrentTargets(t *testing.T) {
	f := newFixture(t, kqroutes.Upload, 5*time.Second, replyOK, replyOK)
	f.apply(2, f.targets[0])
	c, err := net.Dial("tcp", strings.TrimPrefix(f.server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /filings/7 HTTP/1.1\r\nHost: index.example\r\n%s: id-1\r\nContent-Length: 2\r\n\r\no", DefaultHeaderNames.RequestID)
	waitFor(t, "the request arrives", func() bool { return f.engine.InFlight() == 1 })
	f.apply(3, inState(f.targets[0], kqtargets.Draining), f.targets[1])
	io.WriteString(c, "k")
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if left, right := f.fakeTargets[0].arrivals.Load(), f.fakeTargets[1].arrivals.Load(); res.StatusCode != http.StatusOK || left != 0 || right != 1 {
		t.Errorf("status %d, %d requests at the draining target and %d at the other one, want 200, 0 and 1", res.StatusCode, left, right)
	}
}

// TestRetryUsesCurrentTargets guards against retries that find no target, because all
// targets of the request's arrival have left and their successors are not looked up.
func TestRetryUsesCurrentTargets(t *testing.T) {
	var f *fixture
	replaced := func(c net.Conn, r *http.Request) bool {
		f.apply(3, inState(f.targets[0], kqtargets.Draining), f.targets[1])
		return replyNotExecuted(c, r)
	}
	f = newFixture(t, kqroutes.Unsafe, 5*time.Second, replaced, replyOK)
	f.apply(2, f.targets[0])
	res, _, err := f.call("/filings/7", "filing")
	if err != nil {
		t.Fatal(err)
	}
	if res.StatusCode != http.StatusOK || f.fakeTargets[1].arrivals.Load() != 1 {
		t.Errorf("status %d, %d requests at the new target, want 200 and 1", res.StatusCode, f.fakeTargets[1].arrivals.Load())
	}
}

// chosenRequest returns a request for which a target was chosen and nothing was sent yet.
func (f *fixture) chosenRequest(t *testing.T) *proxiedRequest {
	t.Helper()
	s := f.engine.routing.Load()
	route, _ := s.table.Find("index.example", "/filings/1")
	p := &proxiedRequest{
		engine: f.engine, w: httptest.NewRecorder(), in: httptest.NewRequest(http.MethodPost, "/filings/1", nil),
		requestSpec: requestSpec{
			header: http.Header{}, started: time.Now(), deadline: time.Now().Add(5 * time.Second),
			routing: s, route: route, service: "kekhai",
		},
	}
	var cause string
	if p.chosen, cause = p.choose(t.Context(), nil); p.chosen.Target == nil {
		t.Fatal(cause)
	}
	return p
}

// TestDrainBeforeFirstByte guards against a request that reaches a target which began to
// drain after it was chosen, while the connection was being established.
func TestDrainBeforeFirstByte(t *testing.T) {
	f := newFixture(t, kqroutes.Unsafe, 5*time.Second, replyOK)
	p := f.chosenRequest(t)
	f.apply(2, inState(f.targets[0], kqtargets.Draining))
	out, answered := p.attempt(t.Context(), p.chosen.Target)
	if answered || !out.unsent || out.mayHaveRun || f.arrivals() != 0 {
		t.Errorf("answered %v, %+v, %d arrivals, want an unsent request", answered, out, f.arrivals())
	}
	if target := p.chosen.Target; target.InFlight != 0 || target.FailureRate(time.Now()) != 0 {
		t.Errorf("%d in flight, failure rate %v, want 0 and 0", target.InFlight, target.FailureRate(time.Now()))
	}
}
