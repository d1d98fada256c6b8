package kqproxy

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"kumquatglade/internal/route/kqselection"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqroutes"
	"kumquatglade/internal/state/kqtargets"
)

// target returns what the engine knows of the fixture's n-th target.
func (f *fixture) target(n int) *kqselection.Target {
	f.engine.mu.Lock()
	defer f.engine.mu.Unlock()
	return f.engine.knownTargets["t"+strconv.Itoa(n)]
}

func (f *fixture) barred(n int) kqselection.Barred {
	t := f.target(n)
	f.engine.mu.Lock()
	defer f.engine.mu.Unlock()
	return t.Barred(time.Now())
}

// barringReasons are the ways in which a host learns that a target must get nothing.
var barringReasons = []struct {
	reason kqselection.Barred
	bar    func(f *fixture)
}{
	{kqselection.Draining, func(f *fixture) { f.apply(9, inState(f.targets[0], kqtargets.Draining)) }},
	{kqselection.Leaving, func(f *fixture) { f.engine.recordLeaving(f.target(0), time.Now()) }},
	{kqselection.Evacuated, func(f *fixture) { f.evacuate("", true, 9) }},
	{kqselection.Quiet, func(f *fixture) { f.engine.recordQuiet(f.target(0), "30", time.Now()) }},
}

// TestBarredTargetGetsNothing checks every way to a target against every reason for which
// it must get nothing.
func TestBarredTargetGetsNothing(t *testing.T) {
	ways := []struct {
		name string
		try  func(t *testing.T, f *fixture, bar func())
	}{
		{"new request", func(t *testing.T, f *fixture, bar func()) {
			bar()
			if res, _, err := f.call("/filings/1", "filing"); err != nil || res.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("%v %v, want 503", res, err)
			}
		}},
		{"queued request", func(t *testing.T, f *fixture, bar func()) {
			f.fakeTargets[0].setLoad("4,0,4,100")
			status := make(chan int, 1)
			go func() {
				res, _, err := f.call("/filings/1", "filing")
				if err != nil {
					t.Error(err)
					status <- 0
					return
				}
				status <- res.StatusCode
			}()
			waitFor(t, "the request is queued", func() bool { return f.queueLen("kekhai") == 1 })
			bar()
			f.fakeTargets[0].setLoad("0,0,4,100")
			if got := <-status; got != http.StatusServiceUnavailable {
				t.Errorf("status %d, want 503", got)
			}
		}},
		{"chosen target", func(t *testing.T, f *fixture, bar func()) {
			p := f.chosenRequest(t)
			bar()
			if out, answered := p.attempt(t.Context(), p.chosen.Target); answered || !out.unsent {
				t.Errorf("answered %v, %+v, want an unsent request", answered, out)
			}
			if target := p.chosen.Target; target.InFlight != 0 || target.FailureRate(time.Now()) != 0 {
				t.Errorf("%d in flight, failure rate %v, want 0 and 0", target.InFlight, target.FailureRate(time.Now()))
			}
		}},
		{"probe", func(t *testing.T, f *fixture, bar func()) {
			target := f.target(0)
			bar()
			if f.engine.probe(t.Context(), target, "/health", 10, time.Second) || target.FailureRate(time.Now()) != 0 {
				t.Errorf("probed, or failure rate %v", target.FailureRate(time.Now()))
			}
		}},
		{"last byte held back", func(t *testing.T, f *fixture, bar func()) {
			f.fakeTargets[0].setLoad("0,0,4,900") // slow: the byte would be held back for long
			s, target := f.engine.routing.Load(), f.target(0)
			route, _ := s.table.Find("index.example", "/filings/1")
			p := &proxiedRequest{engine: f.engine, requestSpec: requestSpec{routing: s, route: route, service: "kekhai"}}
			bar()
			probes, started := f.fakeTargets[0].probes.Load(), time.Now()
			p.holdLastByte(t.Context(), target)
			if held := time.Since(started); held > 100*time.Millisecond || f.fakeTargets[0].probes.Load() != probes {
				t.Errorf("held for %v with %d probes, want none", held, f.fakeTargets[0].probes.Load()-probes)
			}
		}},
	}
	for _, reason := range barringReasons {
		for _, way := range ways {
			t.Run(string(reason.reason)+"/"+way.name, func(t *testing.T) {
				f := newFixtureWithObjective(t, kqroutes.Unsafe, 2*time.Second, time.Second, replyOK)
				way.try(t, f, func() {
					reason.bar(f)
					if got := f.barred(0); got != reason.reason {
						t.Fatalf("barred %q, want %q", got, reason.reason)
					}
				})
				if n := f.arrivals(); n != 0 {
					t.Errorf("%d arrivals, want none", n)
				}
			})
		}
	}
}

// TestLeavingIsHeardInAnyResponse checks that a target is barred whatever kind of response
// says that it is shutting down, and until its next start.
func TestLeavingIsHeardInAnyResponse(t *testing.T) {
	leaving := DefaultHeaderNames.Leaving + ": 1\r\n"
	reply := func(format func(r *http.Request) string) responder { return replyWith(format, true) }
	cases := []struct {
		name string
		do   responder
	}{
		{"success", reply(func(r *http.Request) string { return replyHead(r, "200 OK", leaving+"Content-Length: 5\r\n\r\nwhole") })},
		{"failure", reply(func(r *http.Request) string { return replyHead(r, "500 Bad", leaving+"Content-Length: 0\r\n\r\n") })},
		{"refusal", reply(func(r *http.Request) string {
			return replyHead(r, "503 Full", leaving+DefaultHeaderNames.NotExecuted+": 1\r\nContent-Length: 0\r\n\r\n")
		})},
		{"response without a seal", reply(func(r *http.Request) string {
			return "HTTP/1.1 200 OK\r\n" + DefaultHeaderNames.RequestID + ": " + r.Header.Get(DefaultHeaderNames.RequestID) + "\r\n" + leaving + "Content-Length: 0\r\n\r\n"
		})},
		{"response to another request", reply(func(*http.Request) string {
			return "HTTP/1.1 200 OK\r\n" + DefaultHeaderNames.RequestID + ": other\r\n" + leaving + "Content-Length: 0\r\n\r\n"
		})},
		{"truncated response", replyWith(func(r *http.Request) string { return replyHead(r, "200 OK", leaving+"Content-Length: 50\r\n\r\nshort") }, false)},
		{"copy of an earlier response", reply(func(r *http.Request) string {
			return "HTTP/1.1 503 Full\r\n" + DefaultHeaderNames.RequestID + ": other\r\n" + leaving + "Content-Length: 0\r\n\r\n" +
				replyHead(r, "200 OK", "Content-Length: 5\r\n\r\nwhole")
		})},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, kqroutes.Unsafe, time.Second, func(conn net.Conn, r *http.Request) bool {
				if r.URL.Path == "/filings/warm" {
					return replyOK(conn, r)
				}
				return c.do(conn, r)
			})
			f.call("/filings/warm", "", DefaultHeaderNames.RequestID, "other")
			f.call("/filings/7", "filing")
			f.checkLeavingHolds(t)
		})
	}
	t.Run("probe", func(t *testing.T) {
		f := newFixture(t, kqroutes.Unsafe, time.Second, replyOK)
		f.fakeTargets[0].setLoad("0,0,4,100\r\n" + strings.TrimSuffix(leaving, "\r\n"))
		f.engine.probe(t.Context(), f.target(0), "/health", 10, time.Second)
		f.checkLeavingHolds(t)
	})
	t.Run("early response to an upload", func(t *testing.T) {
		f := newFixture(t, kqroutes.Upload, time.Second, func(conn net.Conn, r *http.Request) bool {
			io.WriteString(conn, replyHead(r, "200 OK", leaving+"Content-Length: 5\r\n\r\nwhole"))
			return false
		})
		f.call("/filings/7", strings.Repeat("x", 512<<10), "Early", "1")
		f.checkLeavingHolds(t)
	})
}

// checkLeavingHolds checks that the first target is barred until its next start, whatever
// is announced.
func (f *fixture) checkLeavingHolds(t *testing.T) {
	t.Helper()
	if got := f.barred(0); got != kqselection.Leaving {
		t.Errorf("barred %q, want %q", got, kqselection.Leaving)
	}
	f.apply(5, f.targets[0])
	moved := f.targets[0]
	moved.Addr = "127.0.0.1:1"
	f.apply(6, moved)
	if got := f.barred(0); got != kqselection.Leaving {
		t.Errorf("after an announcement: barred %q, want %q", got, kqselection.Leaving)
	}
	restarted := f.targets[0]
	restarted.Boot++
	f.apply(7, restarted)
	if got := f.barred(0); got != kqselection.NotBarred {
		t.Errorf("after the next start: barred %q", got)
	}
}

// TestQuietTargets checks that targets which ask for quiet get nothing until the end of
// that time, and what callers are told when all of them ask for it.
func TestQuietTargets(t *testing.T) {
	askForQuiet := func(d string) responder {
		return replyWith(func(r *http.Request) string {
			return replyHead(r, "503 Full", "Retry-After: "+d+"\r\n"+DefaultHeaderNames.NotExecuted+": 1\r\nContent-Length: 0\r\n\r\n")
		}, true)
	}
	t.Run("the other target serves", func(t *testing.T) {
		f := newFixture(t, kqroutes.Unsafe, time.Second, askForQuiet("30"), replyOK)
		for i := range 20 {
			if res, _, err := f.call("/filings/1", "filing"); err != nil || res.StatusCode != 200 {
				t.Fatal(i, res, err)
			}
		}
		probes := f.fakeTargets[0].probes.Load()
		f.call("/filings/1", "filing")
		if n := f.fakeTargets[0].arrivals.Load(); n > 1 || f.fakeTargets[0].probes.Load() != probes {
			t.Errorf("%d arrivals and %d more probes at the quiet target", n, f.fakeTargets[0].probes.Load()-probes)
		}
	})
	t.Run("all ask for it", func(t *testing.T) {
		f := newFixture(t, kqroutes.Unsafe, 5*time.Second, askForQuiet("1.5"), askForQuiet("30"))
		f.call("/filings/1", "filing") // is refused by both
		started := time.Now()
		res, _, err := f.call("/filings/2", "filing")
		if err != nil || res.StatusCode != 503 || time.Since(started) > 200*time.Millisecond {
			t.Fatal(res, err, time.Since(started))
		}
		if after, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err != nil || after < 1 || after > 3 {
			t.Errorf("Retry-After %q, want the earlier return", res.Header.Get("Retry-After"))
		}
		if f.arrivals() != 2 {
			t.Errorf("%d arrivals, want 2", f.arrivals())
		}
	})
	t.Run("it ends", func(t *testing.T) {
		a, b := failFirst(askForQuiet("0.2"))
		f := newFixture(t, kqroutes.Unsafe, time.Second, a, b)
		f.apply(2, f.targets[0])
		f.call("/filings/1", "filing")
		time.Sleep(250 * time.Millisecond)
		if res, _, err := f.call("/filings/1", "filing"); err != nil || res.StatusCode != 200 {
			t.Fatal(res, err)
		}
	})
	t.Run("an hour ends with the next start", func(t *testing.T) {
		f := newFixture(t, kqroutes.Unsafe, time.Second, askForQuiet("1e300"))
		f.call("/filings/1", "filing")
		if got := f.barred(0); got != kqselection.Quiet {
			t.Fatalf("barred %q", got)
		}
		restarted := f.targets[0]
		restarted.Boot++
		f.apply(2, restarted)
		if got := f.barred(0); got != kqselection.NotBarred {
			t.Errorf("barred %q after its next start", got)
		}
	})
	for _, odd := range []string{"-1", "NaN", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", strings.Repeat("9", 5000) + "x"} {
		t.Run("odd time "+bounded(odd), func(t *testing.T) {
			f := newFixture(t, kqroutes.Unsafe, time.Second, askForQuiet(odd))
			f.call("/filings/1", "filing")
			if f.barred(0) != kqselection.NotBarred || f.engine.metrics.oddQuiet.Count() != 1 {
				t.Errorf("barred %q, %d counted", f.barred(0), f.engine.metrics.oddQuiet.Count())
			}
		})
	}
}

// evacuate puts the order for the failure domain into effect on the engine.
func (f *fixture) evacuate(domain string, on bool, revision uint64) {
	f.evacuations = []kqcontract.Evacuation{{Domain: domain, On: on, Revision: revision, Time: time.Now()}}
	f.apply(revision, f.targets...)
}
