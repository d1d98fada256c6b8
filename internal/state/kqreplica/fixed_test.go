package kqreplica

import "testing"

// TestFixedSeeds replays histories after which the hosts once failed to reach the same
// state.
func TestFixedSeeds(t *testing.T) {
	cases := []struct {
		seed  uint64
		fault string
	}{
		{770334, "a host that had been removed waited for a former leader"},
		{3269, "a non-voter never forgot a leader that had failed, so it did not ask to join"},
		{3674, "a non-voter that had heard from a leader long ago refused the only candidate"},
		{2800, "a delayed message replaced the current data folder in the member list by a former one"},
	}
	for _, c := range cases {
		if msg := checkHistory(c.seed, noMutation); msg != "" {
			t.Errorf("seed %d (%s): %s", c.seed, c.fault, msg)
		}
	}
}
