package kqmodel

import (
	"testing"
	"time"
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
