package kqproxy

import (
	"net/http"
	"testing"
	"time"

	"kumquatglade/internal/state/kqroutes"
)

// TestLateProbeAnswerIsOld guards against a choice by a load report that waited in the
// queue of a busy link: the target may long have become slow.
func TestLateProbeAnswerIsOld(t *testing.T) {
	const delay = 80 * time.Millisecond
	f := newFixture(t, kqroutes.Safe, 2*time.Second, replyOK)
	probe := func() bool { return f.engine.probe(t.Context(), f.target(0), "/health", 10, time.Second) }
	if !probe() {
		t.Fatal("the first answer does not count")
	}
	f.fakeTargets[0].probeDelay.Store(int64(delay))
	if probe() {
		t.Error("an answer that took longer than ever counts as timely")
	}
	now := time.Now()
	if age := now.Sub(f.target(0).LastLoad.At); age < delay/2 {
		t.Errorf("the report counts as %v old, want about %v", age, delay)
	}
	f.fakeTargets[0].probeDelay.Store(0)
	if !probe() {
		t.Error("the link is free again, and the answer does not count")
	}
}

// TestServesWithoutTimelyReports guards against refusals that only mean that no report
// came in time: a host whose link stays busy still serves.
func TestServesWithoutTimelyReports(t *testing.T) {
	f := newFixtureWithObjective(t, kqroutes.Unsafe, 5*time.Second, 600*time.Millisecond, replyOK, replyOK)
	for _, fake := range f.fakeTargets {
		f.engine.probe(t.Context(), f.target(0), "/health", 10, time.Second)
		fake.probeDelay.Store(int64(200 * time.Millisecond))
	}
	started := time.Now()
	res, _, err := f.call("/filings/1", "filing")
	if err != nil || res.StatusCode != http.StatusOK {
		t.Fatal(res, err)
	}
	if took := time.Since(started); took > 600*time.Millisecond {
		t.Errorf("served after %v, want within the objective", took)
	}
}

// TestFullTargetsAreNoLackOfReports checks that a request is refused when the targets say
// in time that they are full.
func TestFullTargetsAreNoLackOfReports(t *testing.T) {
	f := newFixture(t, kqroutes.Unsafe, 2*time.Second, replyOK)
	f.fakeTargets[0].setLoad("4,8,4,100")
	f.engine.probe(t.Context(), f.target(0), "/health", 10, time.Second)
	f.engine.mu.Lock()
	f.engine.chooser("kekhai").Saturation.Record(3) // filling the last slots is known to slow the target
	for range 20 {
		f.engine.chooser("kekhai").Saturation.Record(3)
	}
	f.engine.mu.Unlock()
	if res, _, err := f.call("/filings/1", "filing"); err != nil || res.StatusCode != http.StatusServiceUnavailable || f.arrivals() != 0 {
		t.Errorf("%v %v after %d arrivals, want 503 and none", res, err, f.arrivals())
	}
	if n := f.engine.metrics.uninformed.Count(); n != 0 {
		t.Errorf("%d sends without a report", n)
	}
}

// TestPausedHostTrustsReports guards against a send to a full target by a host that wakes from
// a pause: that it has asked nothing meanwhile is no lack of reports.
func TestPausedHostTrustsReports(t *testing.T) {
	const objective = 1200 * time.Millisecond // a request waits for half of it
	f := newFixtureWithObjective(t, kqroutes.Unsafe, 2*time.Second, objective, replyOK)
	f.fakeTargets[0].setLoad("4,8,4,100")
	f.engine.probe(t.Context(), f.target(0), "/health", 10, time.Second)
	done := make(chan *http.Response, 1)
	go func() {
		res, _, err := f.call("/filings/1", "filing")
		if err != nil {
			t.Error(err)
		}
		done <- res
	}()
	waitFor(t, "the queued request knows that the target is full", func() bool {
		f.engine.mu.Lock()
		defer f.engine.mu.Unlock()
		ch := f.engine.chooser("kekhai")
		return ch.Queue.Len() == 1 && !ch.Search.Blind()
	})
	f.engine.mu.Lock() // nothing is decided meanwhile, as in a process that does not run
	time.Sleep(objective * 3 / 4)
	f.engine.mu.Unlock()
	if res := <-done; res == nil || res.StatusCode != http.StatusServiceUnavailable || f.arrivals() != 0 {
		t.Errorf("%v after %d arrivals, want 503 and none", res, f.arrivals())
	}
}
