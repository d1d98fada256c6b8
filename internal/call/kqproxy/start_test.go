package kqproxy

import (
	"net/http"
	"testing"
	"time"

	"kumquatglade/internal/state/kqroutes"
)

// withoutRoutes returns a fixture whose engine has just started and has no routes yet.
func withoutRoutes(t *testing.T, startedAgo time.Duration) *fixture {
	f := newFixture(t, kqroutes.Unsafe, 5*time.Second, replyOK)
	f.engine.doc = nil
	f.engine.routing.Store(nil)
	f.engine.firstRoutes = make(chan struct{})
	f.engine.started = time.Now().Add(-startedAgo)
	return f
}

// TestRequestWaitsForFirstRoutes guards against callers that are sent away by a host that
// has its routes a moment later, as after a power loss.
func TestRequestWaitsForFirstRoutes(t *testing.T) {
	f := withoutRoutes(t, 0)
	time.AfterFunc(100*time.Millisecond, func() { f.apply(2, f.targets...) })
	started := time.Now()
	res, _, err := f.call("/filings/1", "filing", DefaultHeaderNames.Deadline, "4000")
	if err != nil || res.StatusCode != http.StatusOK {
		t.Fatal(res, err)
	}
	if took := time.Since(started); took > 400*time.Millisecond {
		t.Errorf("served after %v, want soon after the routes came", took)
	}
}

// TestRefusalWithoutRoutes checks that a request does not wait for long for routes that do
// not come, least of all on a host that has had none for a while.
func TestRefusalWithoutRoutes(t *testing.T) {
	cases := []struct {
		name       string
		startedAgo time.Duration
		deadline   string
		most       time.Duration
	}{
		{"just started, patient caller", 0, "60000", maxRoutesWait + 200*time.Millisecond},
		{"just started, impatient caller", 0, "800", 300 * time.Millisecond},
		{"cut off for long", time.Minute, "60000", 200 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := withoutRoutes(t, c.startedAgo)
			started := time.Now()
			res, _, err := f.call("/filings/1", "filing", DefaultHeaderNames.Deadline, c.deadline)
			if took := time.Since(started); err != nil || res.StatusCode != http.StatusServiceUnavailable || took > c.most {
				t.Errorf("%v %v after %v, want 503 within %v", res, err, took, c.most)
			}
			if f.arrivals() != 0 {
				t.Errorf("%d arrivals", f.arrivals())
			}
		})
	}
}
