package kqproxy

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"kumquatglade/internal/route/kqtokens"
	"kumquatglade/internal/state/kqroutes"
)

// checkMoved checks that the only request reached a target once, as one of owner b.
func (f *fixture) checkMoved(t *testing.T, status int) {
	t.Helper()
	if status != http.StatusOK || f.arrivals() != 1 {
		t.Fatalf("status %d after %d arrivals, want 200 after 1", status, f.arrivals())
	}
	got := f.fakeTargets[0].lastRequest.Load().Header
	if name := got["Kumquat-Owner"]; len(name) != 1 || name[0] != "b" || got["Authorization"] != nil {
		t.Errorf("the target gets owner %q, key %q", name, got["Authorization"])
	}
	if n := f.engine.metrics.keyMoved.Count(); n != 1 {
		t.Errorf("%d counted", n)
	}
}

// TestMovedKey guards against requests that are refused since their key moved to another owner
// while they were sent, waited or were about to be sent, though both documents allow them. They
// go on as requests of the new owner, with its priority.
func TestMovedKey(t *testing.T) {
	urgent, list := 0, movedKey()
	list[1].Priority = &urgent
	call := func(t *testing.T, f *fixture, body string) <-chan int {
		status := make(chan int, 1)
		go func() {
			res, _, err := f.call("/filings/1", body, "Authorization", "Bearer a-key")
			if err != nil {
				t.Error(err)
				status <- 0
				return
			}
			status <- res.StatusCode
		}()
		return status
	}
	t.Run("queued", func(t *testing.T) {
		f := newFixtureWithObjective(t, kqroutes.Unsafe, 5*time.Second, 4*time.Second, replyOK)
		f.change(func(d *kqroutes.Document) { d.Owners, d.Hosts[0].Routes[0].Priority = owners("a", "b"), 3 })
		f.fakeTargets[0].setLoad("4,0,4,100")
		status := call(t, f, "filing")
		waitFor(t, "the request is queued", func() bool { return f.queueLen("kekhai") == 1 })
		f.setOwners(list...)
		f.fakeTargets[0].setLoad("0,0,4,100")
		f.checkMoved(t, <-status)
	})
	t.Run("before the first byte", func(t *testing.T) {
		f := newFixture(t, kqroutes.Unsafe, time.Second, replyOK)
		f.change(func(d *kqroutes.Document) { d.Owners, d.Hosts[0].Routes[0].Priority = owners("a", "b"), 3 })
		p := f.authorized(t, "a-key")
		p.chosen, _ = p.choose(t.Context(), nil)
		f.setOwners(list...)
		if out, answered := p.attempt(t.Context(), p.chosen.Target); answered || !out.unsent || f.arrivals() != 0 {
			t.Fatalf("answered %v, %+v, %d arrivals, want an unsent request", answered, out, f.arrivals())
		}
		p.send(t.Context())
		f.checkMoved(t, p.w.(*httptest.ResponseRecorder).Code)
		if p.priority != urgent || p.owner.Name != "b" {
			t.Errorf("priority %d, owner %s", p.priority, p.owner.Name)
		}
	})
}

// TestMovedKeyTakesNewLimit guards against requests that use up the limit of the owner that had
// their key before, or escape that of the one that has it now.
func TestMovedKeyTakesNewLimit(t *testing.T) {
	for name, c := range map[string]struct{ before, after float64 }{
		"both are limited": {1, 1}, "to a limited one": {0, 1}, "to one without a limit": {1, 0},
	} {
		for _, tokens := range []int{2, 0} {
			t.Run(name, func(t *testing.T) {
				f := newFixture(t, kqroutes.Unsafe, time.Second, replyOK)
				l := &fakeLimiter{tokens: 1, life: time.Minute, outcome: kqtokens.Refused}
				f.engine.cfg.Limiter = l
				before, after := owners("a", "b"), movedKey()
				before[0].Rate, after[1].Rate = c.before, c.after
				f.setOwners(before...)
				p := f.authorized(t, "a-key")
				if r := p.admit(t.Context()); r != nil {
					t.Fatal(r)
				}
				f.setOwners(after...)
				l.tokens = tokens - int(c.before) // the request gives one back
				p.send(t.Context())
				want := http.StatusOK
				if tokens == 0 && c.after > 0 {
					want = http.StatusTooManyRequests
				}
				if code := p.w.(*httptest.ResponseRecorder).Code; code != want {
					t.Errorf("status %d with %d tokens, want %d", code, tokens, want)
				}
				if l.returned != int(c.before) || l.taken != int(c.before)+int(c.after)*min(tokens, 1) {
					t.Errorf("%d tokens taken, %d returned", l.taken, l.returned)
				}
			})
		}
	}
}
