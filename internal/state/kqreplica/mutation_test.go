package kqreplica

import "testing"

// maxMutationSeeds is the number of histories after which a mutation counts as not
// detected.
const maxMutationSeeds = 400

// TestMutationsAreCaught breaks the replica on purpose: a check that passes on a broken
// replica would prove nothing about the correct one. Only a violated guarantee counts as
// detection, not hosts that fail to reach the same state.
func TestMutationsAreCaught(t *testing.T) {
	cases := []struct {
		mutant mutation
		first  uint64 // first seed to try, close before one that detects the mutation, so that CI need not search
		check  func(seed uint64, mutant mutation) string
	}{
		{voteUnsynced, 1398, checkHistory},
		{lostDiskVotes, 12, checkHistory},
		{commitsEarlierTerm, 760, checkHistory},
		{fullDiskIgnored, 1, checkFullHistory},
		{entriesNotSynced, 1, checkBlackouts},
		{folderNotSynced, 1, checkBlackouts},
	}
	for _, c := range cases {
		t.Run(string(c.mutant), func(t *testing.T) {
			t.Parallel()
			for seed := c.first; seed < c.first+maxMutationSeeds; seed++ {
				if msg := c.check(seed, c.mutant); msg != "" && msg != statesDiverge {
					t.Logf("caught by seed %d: %s", seed, msg)
					return
				}
			}
			t.Fatalf("not caught by %d seeds", maxMutationSeeds)
		})
	}
}
