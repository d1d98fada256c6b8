package kqproxy

import (
	"net"
	"net/http"
	"testing"
	"time"

	"kumquatglade/internal/state/kqroutes"
)

// silence is a responder that never answers.
func silence(net.Conn, *http.Request) bool { return false }

// replyAfter returns a responder that answers after a time.
func replyAfter(d time.Duration) responder {
	return func(c net.Conn, r *http.Request) bool {
		time.Sleep(d)
		return replyOK(c, r)
	}
}

// TestHungTarget guards against requests that wait until their timeout for a target that
// has lost them, and against giving up those that a target still has.
func TestHungTarget(t *testing.T) {
	const busy, idle = "1,0,4,100", "0,0,4,100"
	cases := []struct {
		name     string
		kind     kqroutes.Kind
		respond  responder
		load     string // that the first target reports while it has the request
		stop     bool   // the host begins to shut down
		status   int
		arrivals int // at both targets
		hung     int64
	}{
		{"a repeatable request goes elsewhere", kqroutes.Safe, silence, idle, false, 200, 2, 1},
		{"another one fails at the timeout", kqroutes.Unsafe, silence, idle, false, 504, 1, 1},
		{"its answer is passed on", kqroutes.Unsafe, replyAfter(1200 * time.Millisecond), idle, false, 200, 1, 1},
		{"slow but alive", kqroutes.Safe, replyAfter(1200 * time.Millisecond), busy, false, 200, 1, 0},
		{"around a planned shutdown", kqroutes.Safe, replyAfter(1200 * time.Millisecond), idle, true, 200, 1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, c.kind, 1500*time.Millisecond, c.respond, replyOK)
			f.activateAdmission()
			first, probed := f.fakeTargets[0], f.fakeTargets[0].probes.Load
			first.load = func(int64) string {
				if first.arrivals.Load() > 0 {
					return c.load
				}
				return idle
			}
			f.fakeTargets[1].load = func(int64) string {
				if first.arrivals.Load() > 0 {
					return idle
				}
				return "4,0,4,100" // the first target gets the request
			}
			if c.stop {
				f.engine.Stop(time.Now().Add(time.Minute))
			}
			started := time.Now()
			res, _, err := f.call("/filings/1", "filing", DefaultHeaderNames.Deadline, "20000")
			if err != nil {
				t.Fatal(err)
			}
			if res.StatusCode != c.status || f.arrivals() != c.arrivals || f.engine.metrics.hung.Count() != c.hung {
				t.Errorf("status %d after %v, %d arrivals, %d hung, %d probes", res.StatusCode, time.Since(started), f.arrivals(), f.engine.metrics.hung.Count(), probed())
			}
			a, b := f.target(0), f.target(1)
			f.engine.mu.Lock()
			inFlight, seen := a.InFlight+b.InFlight, f.engine.chooser("kekhai").Hangs.Seen(time.Now())
			f.engine.mu.Unlock()
			if inFlight != 0 || seen != (c.hung > 0) {
				t.Errorf("%d requests count as in flight, known to hang: %v", inFlight, seen)
			}
			if n := f.engine.pool.OpenConns(first.listener.Addr().String()); c.hung > 0 && n > 1 {
				t.Errorf("%d connections to the target are open, want that of the probes", n)
			}
			if c.arrivals == 1 {
				return
			}
			select {
			case <-first.closed:
			case <-time.After(time.Second):
				t.Error("the connection of the lost request is still open")
			}
		})
	}
}

// TestLostRequestIsNotInFlight guards against a target that looks busy to this host for as
// long as it leaves a request unanswered that may not be repeated.
func TestLostRequestIsNotInFlight(t *testing.T) {
	f := newFixture(t, kqroutes.Unsafe, 1500*time.Millisecond, silence)
	f.activateAdmission()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _, _ = f.call("/filings/1", "filing") // its answer is 504
	}()
	waitFor(t, "the request is lost", func() bool { return f.engine.metrics.hung.Count() == 1 })
	target := f.target(0)
	f.engine.mu.Lock()
	n := target.InFlight
	f.engine.mu.Unlock()
	if n != 0 {
		t.Errorf("%d requests in flight", n)
	}
	select {
	case <-done:
		t.Error("the request ended before its timeout")
	default:
	}
	<-done
}

// activateAdmission has sends checked, as in a document with owners.
func (f *fixture) activateAdmission() {
	f.engine.mu.Lock()
	defer f.engine.mu.Unlock()
	f.engine.chooser("kekhai").Admission.Active = true
}

// TestUnansweredAtEndOfShutdown guards against callers whose connection ends without a response
// when a host shuts down, because a target never answers what they sent.
func TestUnansweredAtEndOfShutdown(t *testing.T) {
	f := newFixture(t, kqroutes.Unsafe, 10*time.Second, silence)
	f.activateAdmission()
	time.AfterFunc(100*time.Millisecond, func() {
		f.engine.Stop(time.Now().Add(200 * time.Millisecond))
		f.engine.FailUnanswered()
	})
	started := time.Now()
	res, _, err := f.call("/filings/1", "filing")
	if err != nil || res.StatusCode != http.StatusBadGateway || time.Since(started) > 5*time.Second {
		t.Errorf("%v %v after %s, want 502", res, err, time.Since(started))
	}
}
