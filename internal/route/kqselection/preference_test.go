package kqselection

import (
	"maps"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

const manyHosts = 312 // of the largest fleet

// fleet returns n targets in five failure domains as a host sees them.
func fleet(host string, n int) []*Target {
	var list []*Target
	for i := range n {
		id := "t" + strconv.Itoa(i)
		list = append(list, &Target{ID: id, Domain: string(rune('a' + i%5)), Slots: 4, Rank: Rank(host, id)})
	}
	return list
}

func preferredIDs(list []*Target) map[string]bool {
	ids := map[string]bool{}
	for _, t := range list {
		if t.Preferred {
			ids[t.ID] = true
		}
	}
	return ids
}

// TestPreferenceIsEven checks that on many hosts each target is preferred by some and none
// by many, also a target that has just joined, and that a change moves few others.
func TestPreferenceIsEven(t *testing.T) {
	for _, targets := range []int{29, 164, 257} {
		preferredBy, moved := map[string]int{}, 0
		for h := range manyHosts {
			domain, host := string(rune('a'+h%5)), "h"+strconv.Itoa(h)
			before := fleet(host, targets)
			Prefer(before, domain, PreferredTargets)
			after := fleet(host, targets+1) // one has joined
			Prefer(after, domain, PreferredTargets)
			old := preferredIDs(before)
			for id := range preferredIDs(after) {
				preferredBy[id]++
				if !old[id] {
					moved++
				}
			}
		}
		mean := float64(manyHosts*min(PreferredTargets, targets/5)) / float64(targets+1)
		if len(preferredBy) != targets+1 || preferredBy["t"+strconv.Itoa(targets)] == 0 {
			t.Errorf("%d of %d targets are preferred by a host", len(preferredBy), targets+1)
		}
		for id, n := range preferredBy {
			if float64(n) > 3*mean {
				t.Errorf("%d targets: %s is preferred by %d hosts, the mean is %.1f", targets, id, n, mean)
			}
		}
		if moved > manyHosts {
			t.Errorf("%d targets: %d preferences moved on %d hosts for one that joined", targets, moved, manyHosts)
		}
	}
}

// TestPreferenceWidens checks that a host looks beyond its preferred targets at once when
// they fail, are full, drain or are not reachable.
func TestPreferenceWidens(t *testing.T) {
	now := time.Unix(1000, 0)
	rng := rand.New(rand.NewPCG(1, 1))
	spoil := map[string]func(t *Target){
		"failing":     func(t *Target) { t.failureRate, t.failureRateAt = 1, now },
		"full":        func(t *Target) { t.InFlight = t.Slots },
		"slow":        func(t *Target) { t.RecordLoad(Sample{Slots: 4, Slowdown: 9, At: now}) },
		"draining":    func(t *Target) { t.DrainingSince = now },
		"leaving":     func(t *Target) { t.RecordLeaving(now) },
		"evacuated":   func(t *Target) { t.Evacuated = true },
		"quiet":       func(t *Target) { t.RecordQuiet(now, time.Minute) },
		"unreachable": func(t *Target) { t.RecordUnreachable(now) },
	}
	for name, spoil := range spoil {
		list := fleet("h1", 100)
		Prefer(list, "a", PreferredTargets)
		for _, c := range Candidates(list, MaxProbes, "a", now, rng) {
			if !c.Preferred {
				t.Errorf("%s: candidate %s before the preferred targets are spoiled", name, c.ID)
			}
		}
		for _, target := range list {
			if target.Preferred {
				spoil(target)
			}
		}
		got := Candidates(list, MaxProbes, "a", now, rng)
		if len(got) != MaxProbes {
			t.Fatalf("%s: %d candidates", name, len(got))
		}
		for _, c := range got {
			if c.Preferred || c.Domain != "a" {
				t.Errorf("%s: candidate %s in domain %s, preferred %v", name, c.ID, c.Domain, c.Preferred)
			}
		}
	}
}

// TestPreferenceInEvacuatedDomain guards against hosts of an evacuated failure domain that
// send each request to another random target, over a new connection: they need preferred
// targets elsewhere, spread evenly, and their own again after the end.
func TestPreferenceInEvacuatedDomain(t *testing.T) {
	const targets = 257
	evacuate := func(list []*Target, on bool) {
		for _, t := range list {
			t.Evacuated = on && t.Domain == "a"
		}
	}
	byTarget, byDomain, hosts := map[string]int{}, map[string]int{}, 0
	for h := range manyHosts {
		list := fleet("h"+strconv.Itoa(h), targets)
		domain := string(rune('a' + h%5))
		Prefer(list, domain, PreferredTargets)
		before := preferredIDs(list)
		evacuate(list, true)
		Prefer(list, domain, PreferredTargets)
		during := preferredIDs(list)
		if domain != "a" && !maps.Equal(before, during) {
			t.Fatalf("host %d of domain %s prefers others than before", h, domain)
		}
		if domain == "a" {
			hosts++
			for _, target := range list {
				if target.Preferred {
					byTarget[target.ID]++
					byDomain[target.Domain]++
				}
			}
		}
		evacuate(list, false)
		Prefer(list, domain, PreferredTargets)
		if after := preferredIDs(list); !maps.Equal(before, after) {
			t.Fatalf("host %d of domain %s does not prefer its earlier targets after the end", h, domain)
		}
	}
	total := hosts * PreferredTargets
	for _, domain := range []string{"b", "c", "d", "e"} {
		if n := byDomain[domain]; n < total/4*7/10 || n > total/4*13/10 {
			t.Errorf("domain %s: %d of %d preferences, want about a quarter", domain, n, total)
		}
	}
	if byDomain["a"] > 0 || len(byTarget) < targets*4/5*8/10 {
		t.Errorf("%d preferences in the evacuated domain, %d targets preferred", byDomain["a"], len(byTarget))
	}
	for id, n := range byTarget {
		if n > 12 { // the mean is 2.5
			t.Errorf("%s is preferred by %d of %d hosts", id, n, hosts)
		}
	}
}
