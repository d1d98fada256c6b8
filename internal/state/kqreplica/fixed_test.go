package kqreplica

import "testing"

// TestFixedSeeds keeps histories that once left a group that did not come
// together again.
func TestFixedSeeds(t *testing.T) {
	cases := []struct {
		seed uint64
		was  string
	}{
		{770334, "a host that had been removed waited for a leader of old"},
		{3269, "a non-voter never forgot a leader that had fallen, so that it did not ask to join"},
		{3674, "a non-voter that had heard a leader long ago held up the only candidate"},
		{2800, "a late message brought an earlier data folder back in place of the one that counts"},
	}
	for _, c := range cases {
		if msg := checkHistory(c.seed, noMutation); msg != "" {
			t.Errorf("seed %d (%s): %s", c.seed, c.was, msg)
		}
	}
}
