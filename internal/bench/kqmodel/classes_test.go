package kqmodel

import "testing"

// playClasses adds up the reports by class over some seeds.
func playClasses(t *testing.T, f Fault, policy string, leastCost bool) []ClassReport {
	t.Helper()
	sum := make([]ClassReport, len(SharedService().Classes))
	for seed := range uint64(3) {
		cfg := SharedService()
		cfg.Fault, cfg.Seed, cfg.LeastCost = f, seed+1, leastCost
		r, err := Run(cfg, policy)
		if err != nil {
			t.Fatal(err)
		}
		for i, c := range r.Classes {
			sum[i].Add(c)
		}
	}
	return sum
}

// TestUrgentClassInOwnerBurst guards against an urgent class that is served worse than the
// less urgent one that fills its targets: measured were 0.434 and 0.801 of the worth. Under
// the named load, and beyond what targets can run, the urgent class is in time, no class
// gets less than a quarter of the mean, and no class is worse off than without the rule.
func TestUrgentClassInOwnerBurst(t *testing.T) {
	const (
		minUrgent = 0.8  // of the urgent class in time under the heaviest of the loads
		slack     = 0.03 // between two plays with other random numbers
	)
	heavier, heaviest := OwnerBurst(), OwnerBurst()
	heavier.Name, heavier.Burst = "owner, 9 times", 9
	heaviest.Name, heaviest.Burst, heaviest.AtOnce = "owner, 14 times", 14, false
	for _, f := range []Fault{{Name: "calm"}, OwnerBurst(), heavier, heaviest} {
		t.Run(f.Name, func(t *testing.T) {
			t.Parallel()
			before, after, bound := playClasses(t, f, Fresh, false), playClasses(t, f, Fresh, true), playClasses(t, f, Perfect, false)
			requests, answered := 0, 0
			for i, c := range after {
				t.Logf("%s: in time %.3f, answered %.3f; without the rule %.3f, %.3f; perfect knowledge %.3f, %.3f", c.Name,
					c.ShareInTime(), c.ShareAnswered(), before[i].ShareInTime(), before[i].ShareAnswered(), bound[i].ShareInTime(), bound[i].ShareAnswered())
				requests += c.Requests
				answered += c.InTime + c.Late
				if c.ShareInTime() < before[i].ShareInTime()-slack {
					t.Errorf("%s is worse off than without the rule", c.Name)
				}
			}
			urgent, patient := after[0], after[1]
			if urgent.ShareInTime() < minUrgent || urgent.ShareAnswered() < patient.ShareAnswered()-slack {
				t.Error("the urgent class is not served first")
			}
			if mean := float64(answered) / float64(requests); patient.ShareAnswered() < mean/4 {
				t.Errorf("%.3f of the less urgent class are answered, of all %.3f", patient.ShareAnswered(), mean)
			}
		})
	}
}
