package kqcontrol

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"kumquatglade/internal/fake/kqfake"
	"kumquatglade/internal/host/kqclock"
	"kumquatglade/internal/host/kqevent"
	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqreplica"

	"github.com/rcrowley/go-metrics"
)

// startAlone starts a control host without peers.
func startAlone(t *testing.T, disk *kqfake.Disk) LocalStore {
	t.Helper()
	return startControl(t, disk, []kqreplica.MemberSpec{{Host: "c1", Domain: "a", Peers: "127.0.0.1:1", Voter: true}})
}

// startControl starts c1, the first of the founding control hosts, without a link to the
// others.
func startControl(t *testing.T, disk *kqfake.Disk, founders []kqreplica.MemberSpec) LocalStore {
	t.Helper()
	c, err := Start(Config{
		Self: founders[0], Hosts: founders, Disk: disk, Link: noLink{}, Clock: kqclock.System{}, Log: kqlog.Discard(),
		Events: kqevent.NewRecorder("c1", time.Now), Metrics: metrics.NewRegistry(), Rand: rand.New(rand.NewPCG(1, 1)),
		Changed: func([]kqcontract.Change) {}, Restored: func() {}, MembersChanged: func([]kqreplica.Member) {},
		Fatal: func(err error) { t.Errorf("the process would end: %v", err) },
	})
	if err != nil {
		t.Fatal(err)
	}
	return LocalStore{Control: c}
}

func announceWithin(l LocalStore, i int, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return l.Announce(ctx, target(i))
}

// eventually repeats an announcement until it is acknowledged, for at most 10 s.
func eventually(t *testing.T, l LocalStore, i int) {
	t.Helper()
	var err error
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if err = announceWithin(l, i, time.Second); err == nil {
			return
		}
	}
	t.Fatalf("target %d is not acknowledged: %v", i, err)
}

// TestFullDiskEndsNoProcess guards against a process that ends, and is started again and
// again, because its disk is full for a while: changes must be refused meanwhile, and
// accepted and kept once there is room.
func TestFullDiskEndsNoProcess(t *testing.T) {
	disk := kqfake.NewDisk(rand.New(rand.NewPCG(1, 1)))
	c := startAlone(t, disk)
	for i := range 5 {
		eventually(t, c, 2*i)
		_ = c.runInLoop(disk.Fill)
		if err := announceWithin(c, 2*i+1, 200*time.Millisecond); err == nil {
			t.Error("a change is acknowledged that the disk refused")
		}
		if s, err := c.Status(); err != nil || !s.Full {
			t.Errorf("status %+v, %v, want a full disk", s, err)
		}
		_ = c.runInLoop(disk.Free)
	}
	eventually(t, c, 10)
	c.Close()
	disk.Crash()
	c = startAlone(t, disk)
	defer c.Close()
	eventually(t, c, 11)
	err := c.View(func(s *kqcontract.State) {
		for i := 0; i <= 10; i += 2 {
			if s.Targets.Targets[target(i).ID] == nil {
				t.Errorf("target %d was acknowledged and is lost", i)
			}
		}
	})
	if err != nil {
		t.Error(err)
	}
}

// TestStartWithFullDisk guards against a process that cannot start while its disk is full.
func TestStartWithFullDisk(t *testing.T) {
	disk := kqfake.NewDisk(rand.New(rand.NewPCG(1, 1)))
	disk.Fill()
	c := startAlone(t, disk)
	defer c.Close()
	time.Sleep(2 * kqreplica.TickInterval)
	_ = c.runInLoop(disk.Free)
	eventually(t, c, 1)
}
