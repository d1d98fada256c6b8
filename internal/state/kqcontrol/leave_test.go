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

	"github.com/cockroachdb/errors"
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

// TestForeignAnnouncementIsRefused guards against the announcement of another program, which
// names no start, that voids the acknowledged leave of a target by its higher sequence number.
func TestForeignAnnouncementIsRefused(t *testing.T) {
	c := startAlone(t, kqfake.NewDisk(rand.New(rand.NewPCG(1, 1))))
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	own, foreign, leave := target(1), target(1), target(1)
	own.Boot, own.Seq = 1, 3
	foreign.Boot, foreign.Seq, foreign.Slots = 0, 5000, own.Slots+1
	leave.Boot, leave.Seq, leave.State = 1, 4, kqtargets.Draining
	late := leave
	late.Boot, late.Seq = 0, 2
	for _, step := range []struct {
		name    string
		a       kqtargets.Target
		refused bool
	}{{"own", own, false}, {"foreign", foreign, true}, {"late leave of an unknown start", late, true}, {"leave", leave, false}} {
		if err := c.Announce(ctx, step.a); errors.Is(err, kqtargets.ErrInvalid) != step.refused || !step.refused && err != nil {
			t.Errorf("%s: %v, refused %v is expected", step.name, err, step.refused)
		}
	}
	err := c.View(func(s *kqcontract.State) {
		if got := s.Targets.Live(); len(got) != 1 || got[0].State != kqtargets.Draining || got[0].Slots != own.Slots {
			t.Errorf("%+v", got)
		}
	})
	if err != nil {
		t.Error(err)
	}
}
