package kqsoak

import (
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestRound checks that equal seeds draw equal faults, that every kind occurs, and
// that no round combines faults under which a guarantee does not hold.
func TestRound(t *testing.T) {
	seen := map[Kind]int{}
	for seed := range uint64(500) {
		list := Round(rand.New(rand.NewPCG(seed, 1)), false)
		if diff := cmp.Diff(list, Round(rand.New(rand.NewPCG(seed, 1)), false)); diff != "" || len(list) == 0 {
			t.Fatal(seed, diff)
		}
		disruptive, leaves := 0, 0
		for _, f := range list {
			seen[f.Kind]++
			if delaysLeave(f.Kind) {
				disruptive++
			}
			if f.Kind == TargetLeaves {
				leaves++
			}
			if f.After < 0 || f.After >= roundTime || f.Count > tolerance {
				t.Fatalf("%+v", f)
			}
		}
		if disruptive > 1 || disruptive > 0 && leaves > 0 {
			t.Fatalf("seed %d: %+v", seed, list)
		}
	}
	if len(seen) != 12 {
		t.Errorf("kinds %v", seen)
	}
}

// TestPlannedRound checks that planned rounds contain planned work only, and every kind.
func TestPlannedRound(t *testing.T) {
	seen := map[Kind]bool{}
	for seed := range uint64(100) {
		for _, f := range Round(rand.New(rand.NewPCG(seed, 1)), true) {
			seen[f.Kind] = true
		}
	}
	want := map[Kind]bool{StopEntry: true, StopEntryTwice: true, StopControl: true, TargetLeaves: true}
	if diff := cmp.Diff(want, seen); diff != "" {
		t.Error(diff)
	}
}
