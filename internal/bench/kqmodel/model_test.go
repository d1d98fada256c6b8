package kqmodel

import (
	"testing"
	"time"

	"kumquatglade/internal/route/kqselection"
)

// play runs a policy on some seeds and adds up the reports.
func play(t *testing.T, cfg Config, f Fault, policy string) (inTime float64, p99 time.Duration) {
	t.Helper()
	requests, good := 0, 0
	for seed := range uint64(3) {
		cfg.Fault, cfg.Seed = f, seed
		r, err := Run(cfg, policy)
		if err != nil {
			t.Fatal(err)
		}
		requests += r.Requests
		good += r.InTime
		p99 = max(p99, time.Duration(r.Latency.ValueAtPercentile(99)))
	}
	return float64(good) / float64(requests), p99
}

// TestFreshKnowledgeIsWorthIt: under each pattern of load the product's choice
// answers more in time than the ones that know nothing of others.
func TestFreshKnowledgeIsWorthIt(t *testing.T) {
	for name, cfg := range map[string]Config{"hoanglien": Hoanglien(), "schetsbord": Schetsbord()} {
		for _, f := range Faults() {
			t.Run(name+"/"+f.Name, func(t *testing.T) {
				got, p99 := play(t, cfg, f, Fresh)
				best, bound := 0.0, 0.0
				for _, other := range []string{Random, Least} {
					x, _ := play(t, cfg, f, other)
					best = max(best, x)
				}
				bound, _ = play(t, cfg, f, Perfect)
				t.Logf("in time %.3f, p99 %v; best without questions %.3f, perfect knowledge %.3f", got, p99, best, bound)
				if got <= best {
					t.Error("knowledge of load is worth nothing")
				}
			})
		}
	}
}

// TestSameSeedSamePlay: conclusions can be had again.
func TestSameSeedSamePlay(t *testing.T) {
	cfg := Schetsbord()
	cfg.Fault, cfg.Seed = Faults()[1], 7
	a, err := Run(cfg, Fresh)
	if err != nil {
		t.Fatal(err)
	}
	b, err := Run(cfg, Fresh)
	if err != nil {
		t.Fatal(err)
	}
	if a.InTime != b.InTime || a.Asked != b.Asked || a.Latency.Max() != b.Latency.Max() {
		t.Fatalf("%+v and %+v", a, b)
	}
}

// TestPreferredTargets: on hundreds of hosts with few requests each, preferred targets
// save most of the new connections under every pattern of load, and as many requests are
// answered in time.
func TestPreferredTargets(t *testing.T) {
	const (
		slack     = 0.015 // of the share in time, between two plays with other random numbers
		mostDials = 0.4   // of those without preferred targets; the requirement is two thirds
	)
	for _, f := range Faults() {
		t.Run(f.Name, func(t *testing.T) {
			t.Parallel()
			run := func(preferred int) (inTime, dials float64) {
				cfg := Large()
				cfg.Preferred, cfg.Fault, cfg.Seed = preferred, f, 3
				r, err := Run(cfg, Fresh)
				if err != nil {
					t.Fatal(err)
				}
				return float64(r.InTime) / float64(r.Requests), float64(r.Dials) / float64(r.Requests)
			}
			all, allDials := run(0)
			few, fewDials := run(kqselection.PreferredTargets)
			t.Logf("in time %.4f with preferred targets, %.4f without; new connections a request %.2f and %.2f", few, all, fewDials, allDials)
			if few < all-slack || fewDials > mostDials*allDials {
				t.Error("preferred targets cost callers time, or save too few connections")
			}
		})
	}
}
