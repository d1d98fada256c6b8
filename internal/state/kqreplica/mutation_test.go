package kqreplica

import "testing"

// mutationSeeds is how many histories may be needed to notice a broken replica.
const maxMutationSeeds = 400

// TestMutationsAreCaught breaks the replica on purpose: a check that stays
// green on these would prove nothing on the whole one. Only a broken promise
// counts as caught, not hosts that fail to come together.
func TestMutationsAreCaught(t *testing.T) {
	cases := []struct {
		mutant mutation
		first  uint64 // seed to begin with, so that CI need not search
	}{
		{voteUnsynced, 1398},
		{lostDiskVotes, 12},
		{commitsEarlierTerm, 760},
	}
	for _, c := range cases {
		t.Run(string(c.mutant), func(t *testing.T) {
			t.Parallel()
			for seed := c.first; seed < c.first+maxMutationSeeds; seed++ {
				if msg := checkHistory(seed, c.mutant); msg != "" && msg != statesDiverge {
					t.Logf("caught by seed %d: %s", seed, msg)
					return
				}
			}
			t.Fatalf("not caught by %d seeds", maxMutationSeeds)
		})
	}
}
