package kqcontrol

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"kumquatglade/internal/fake/kqfake"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqreplica"
	"kumquatglade/internal/state/kqtargets"
)

// TestLeaveNeedsQuorum guards against a leave that a host acknowledges and nobody records,
// because it is cut off or has just started and its state does not show the target.
func TestLeaveNeedsQuorum(t *testing.T) {
	hosts := []kqreplica.MemberSpec{
		{Host: "c1", Domain: "a", Peers: "127.0.0.1:1", Voter: true},
		{Host: "c2", Domain: "b", Peers: "127.0.0.1:2", Voter: true},
		{Host: "c3", Domain: "c", Peers: "127.0.0.1:3", Voter: true},
	}
	c := startControl(t, kqfake.NewDisk(rand.New(rand.NewPCG(1, 1))), hosts)
	defer c.Close()
	for _, state := range []kqtargets.State{kqtargets.Gone, kqtargets.Draining} {
		for _, boot := range []int64{0, 1} {
			a := target(1)
			a.State, a.Boot = state, boot
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			if err := c.Announce(ctx, a); err == nil {
				t.Errorf("%s with start %d is acknowledged without a quorum", state, boot)
			}
			cancel()
		}
	}
}

// TestLeaveOfUnknownTargetIsRecorded guards against an announcement that arrives after the
// leave of its target was acknowledged.
func TestLeaveOfUnknownTargetIsRecorded(t *testing.T) {
	c := startAlone(t, kqfake.NewDisk(rand.New(rand.NewPCG(1, 1))))
	defer c.Close()
	leave := kqtargets.Target{ID: target(1).ID, State: kqtargets.Gone}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := c.Announce(ctx, leave); err != nil {
		t.Fatal(err)
	}
	if err := c.Announce(ctx, target(1)); err != nil {
		t.Fatal(err)
	}
	err := c.View(func(s *kqcontract.State) {
		if got := s.Targets.Live(); len(got) != 0 {
			t.Errorf("in use after its leave: %+v", got)
		}
	})
	if err != nil {
		t.Error(err)
	}
}
