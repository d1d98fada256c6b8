package kqproxy

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqroutes"
)

// newEvacuationFixture returns a fixture whose first target is in domain a, all others in b.
func newEvacuationFixture(t *testing.T, targets ...responder) *fixture {
	t.Helper()
	f := newFixture(t, kqroutes.Unsafe, 5*time.Second, targets...)
	f.apply(2) // the records keep their first failure domain
	for i := range f.targets {
		f.targets[i].Domain = map[bool]string{true: "a", false: "b"}[i == 0]
	}
	f.apply(3, f.targets...)
	return f
}

// TestEvacuatedDomainGetsNothing guards against requests, repeated ones and probes that
// reach an evacuated failure domain, and against a domain that stays unused afterwards.
func TestEvacuatedDomainGetsNothing(t *testing.T) {
	notRun := replyWith(func(r *http.Request) string {
		return replyHead(r, "503 Full", DefaultHeaderNames.NotExecuted+": 1\r\nContent-Length: 0\r\n\r\n")
	}, true)
	f := newEvacuationFixture(t, replyOK, notRun)
	f.evacuate("a", true, 4)
	probes := f.fakeTargets[0].probes.Load()
	for range 10 {
		if res, _, err := f.call("/filings/1", "filing"); err != nil || res.StatusCode != http.StatusServiceUnavailable {
			t.Fatal(res, err)
		}
	}
	if n, more := f.fakeTargets[0].arrivals.Load(), f.fakeTargets[0].probes.Load()-probes; n != 0 || more != 0 {
		t.Errorf("%d requests and %d probes in the evacuated domain", n, more)
	}
	if f.fakeTargets[1].arrivals.Load() == 0 {
		t.Error("no request in the other domain")
	}
	before := time.Now()
	f.evacuate("a", false, 5)
	if end := f.target(0).EvacuationEnd; end.Before(before) || f.target(0).Evacuated {
		t.Errorf("the evacuation ended at %v, want after %v", end, before)
	}
	for f.fakeTargets[0].arrivals.Load() == 0 && time.Since(before) < 10*time.Second {
		f.call("/filings/1", "filing")
	}
	if f.fakeTargets[0].arrivals.Load() == 0 {
		t.Error("the domain is unused after the end")
	}
}

// TestAllTargetsEvacuated guards against callers that wait for targets which get nothing
// until an operator's next order, or come back at once.
func TestAllTargetsEvacuated(t *testing.T) {
	f := newEvacuationFixture(t, replyOK)
	f.fakeTargets[0].setLoad("4,0,4,100")
	queued := make(chan int, 1)
	go f.callPatiently(t, queued)
	waitFor(t, "the request is queued", func() bool { return f.queueLen("kekhai") == 1 })
	f.evacuate("a", true, 4)
	select {
	case got := <-queued:
		if got != http.StatusServiceUnavailable {
			t.Errorf("queued request: status %d", got)
		}
	case <-time.After(2 * time.Second):
		t.Error("the queued request still waits")
	}
	started := time.Now()
	res, _, err := f.call("/filings/1", "filing")
	if err != nil || res.StatusCode != http.StatusServiceUnavailable || time.Since(started) > 200*time.Millisecond {
		t.Fatal(res, err, time.Since(started))
	}
	after, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	if err != nil || after < evacuatedRetryAfter.Seconds()/2 || after > 5 {
		t.Errorf("Retry-After %q", res.Header.Get("Retry-After"))
	}
	if n := f.engine.metrics.evacuated.Count(); n != 2 {
		t.Errorf("%d requests counted as refused for evacuation, want 2", n)
	}
}

// TestEvacuationBeforeStart checks which end of an evacuation a host records that starts
// later, and one that missed the evacuation.
func TestEvacuationBeforeStart(t *testing.T) {
	hourAgo := time.Now().Add(-time.Hour)
	ended := func(revision uint64) []kqcontract.Evacuation {
		return []kqcontract.Evacuation{{Domain: "", Revision: revision, Time: hourAgo}}
	}
	f := newFixture(t, kqroutes.Unsafe, time.Second, replyOK)
	f.engine.routing.Store(nil)
	f.engine.firstRoutes, f.engine.doc = make(chan struct{}), nil
	f.evacuations = ended(5)
	f.apply(6, f.targets...)
	if end := f.target(0).EvacuationEnd; !end.Equal(hourAgo) {
		t.Errorf("ended at %v, want %v", end, hourAgo)
	}
	f.evacuations = ended(9)
	f.apply(10, f.targets...)
	if end := f.target(0).EvacuationEnd; time.Since(end) > time.Minute {
		t.Errorf("ended at %v, want now: the host missed the evacuation", end)
	}
}
