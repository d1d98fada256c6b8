package kqproxy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"kumquatglade/internal/state/kqroutes"
	"kumquatglade/internal/state/kqtargets"
)

// TestRegions guards against requests that are sent to a target outside the regions that the
// route and the owner allow.
func TestRegions(t *testing.T) {
	domains := map[string]string{"d0": "east", "d1": "west"}
	cases := []struct {
		name         string
		route, owner []string
		target       int // that gets the request, -1: none
	}{
		{"of the route", []string{"west"}, nil, 1},
		{"of the owner", nil, []string{"east"}, 0},
		{"both allow one", []string{"east", "west"}, []string{"west"}, 1},
		{"none is allowed by both", []string{"east"}, []string{"west"}, -1},
		{"without targets", []string{"north"}, nil, -1},
	}
	start := func(t *testing.T) *fixture {
		f := newFixtureWithObjective(t, kqroutes.Unsafe, 3*time.Second, 2*time.Second, replyOK, replyOK)
		f.engine.cfg.Domains = domains
		for i := range f.targets {
			f.targets[i].Domain, f.targets[i].Boot = fmt.Sprint("d", i), 2
		}
		return f
	}
	restrict := func(f *fixture, route, owner []string) {
		f.change(func(d *kqroutes.Document) {
			d.Owners = owners("a")
			d.Owners[0].Regions, d.Hosts[0].Routes[0].Regions = owner, route
		})
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := start(t)
			restrict(f, c.route, c.owner)
			for range 5 {
				started := time.Now()
				res, _, err := f.call("/filings/1", "filing", "Authorization", "Bearer a-key")
				if err != nil || (res.StatusCode == 200) != (c.target >= 0) || c.target < 0 && (res.StatusCode != 503 || time.Since(started) > time.Second) {
					t.Fatal(res, err, time.Since(started))
				}
			}
			for i, fake := range f.fakeTargets {
				if n := fake.arrivals.Load(); (n > 0) != (i == c.target) {
					t.Errorf("%d arrivals at target %d", n, i)
				}
				if i != c.target && c.target >= 0 && fake.probes.Load() > 0 {
					t.Errorf("target %d was probed", i)
				}
			}
		})
	}
	t.Run("queued", func(t *testing.T) {
		f := start(t)
		restrict(f, []string{"west"}, nil)
		f.fakeTargets[1].setLoad("4,0,4,100")
		status := make(chan int, 1)
		go func() {
			res, _, err := f.call("/filings/1", "filing", "Authorization", "Bearer a-key")
			if err != nil {
				t.Error(err)
				status <- 0
				return
			}
			status <- res.StatusCode
		}()
		waitFor(t, "the request is queued", func() bool { return f.queueLen("kekhai") == 1 })
		f.apply(9, f.targets[0], inState(f.targets[1], kqtargets.Draining))
		if got := <-status; got != 503 || f.arrivals() != 0 {
			t.Errorf("status %d, %d arrivals, want 503 at once as the only allowed target is gone", got, f.arrivals())
		}
	})
	t.Run("others pass by", func(t *testing.T) {
		f := start(t)
		f.change(func(d *kqroutes.Document) {
			d.Owners = owners("a", "b")
			d.Owners[0].Regions = []string{"west"}
		})
		f.fakeTargets[1].setLoad("4,0,4,100")
		waiting := make(chan struct{})
		go func() {
			defer close(waiting)
			f.call("/filings/1", "filing", "Authorization", "Bearer a-key")
		}()
		waitFor(t, "the request is queued", func() bool { return f.queueLen("kekhai") == 1 })
		p := f.authorized(t, "b-key")
		c, cause := p.choose(t.Context(), nil)
		if c.Target == nil || c.Target.ID != "t0" || c.waited != 0 || c.queueLen != 1 {
			t.Errorf("chosen %+v, %s, want the target that the queued request does not allow, without a wait", c, cause)
		}
		f.fakeTargets[1].setLoad("0,0,4,100")
		<-waiting
		if n := f.fakeTargets[1].arrivals.Load(); n != 1 {
			t.Errorf("%d arrivals at the only target of the queued request", n)
		}
	})
	t.Run("restricted before the first byte", func(t *testing.T) {
		f := start(t)
		restrict(f, []string{"east"}, nil)
		p := f.authorized(t, "a-key")
		p.chosen, _ = p.choose(t.Context(), nil)
		restrict(f, []string{"west"}, nil)
		if out, answered := p.attempt(t.Context(), p.chosen.Target); answered || !out.unsent || !strings.Contains(out.cause, string(wrongRegion)) || f.arrivals() != 0 {
			t.Errorf("answered %v, %+v, %d arrivals", answered, out, f.arrivals())
		}
	})
}
