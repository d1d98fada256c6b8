package kqsoak

import (
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestRound: the same seed draws the same faults, all kinds come, and none meet
// whose promises would not hold together.
func TestRound(t *testing.T) {
	seen := map[Kind]int{}
	for seed := range uint64(500) {
		list := Round(rand.New(rand.NewPCG(seed, 1)))
		if diff := cmp.Diff(list, Round(rand.New(rand.NewPCG(seed, 1)))); diff != "" || len(list) == 0 {
			t.Fatal(seed, diff)
		}
		hard, leaves := 0, 0
		for _, f := range list {
			seen[f.Kind]++
			if touchy(f.Kind) {
				hard++
			}
			if f.Kind == TargetLeaves {
				leaves++
			}
			if f.After < 0 || f.After >= roundTime || f.Count > tolerance {
				t.Fatalf("%+v", f)
			}
		}
		if hard > 1 || hard > 0 && leaves > 0 {
			t.Fatalf("seed %d: %+v", seed, list)
		}
	}
	if len(seen) != 12 {
		t.Errorf("kinds %v", seen)
	}
}
