package kqcontrol

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	kq "kumquatglade"
	"kumquatglade/internal/fake/kqfake"
	"kumquatglade/internal/host/kqclock"
	"kumquatglade/internal/host/kqevent"
	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqreplica"
	"kumquatglade/internal/state/kqtargets"

	"github.com/rcrowley/go-metrics"
)

// slowDisk is a fake disk on which each sync of a file takes 5 ms.
type slowDisk struct {
	*kqfake.Disk
}

type slowFile struct{ kq.File }

func (f slowFile) Sync() error {
	time.Sleep(5 * time.Millisecond)
	return f.File.Sync()
}

func (d slowDisk) OpenAppend(name string) (kq.File, error) {
	f, err := d.Disk.OpenAppend(name)
	return slowFile{f}, err
}

func (d slowDisk) Create(name string) (kq.File, error) {
	f, err := d.Disk.Create(name)
	return slowFile{f}, err
}

// noLink is the link of a host without peers.
type noLink struct{}

func (noLink) Send(string, string, any)                             {}
func (noLink) Encode(string, any) ([]byte, error)                   { return nil, nil }
func (noLink) SendEncoded([]string, []byte)                         {}
func (noLink) Call(context.Context, string, string, any, any) error { return errRetry }
func (noLink) Up(string) bool                                       { return false }
func (noLink) Receiving(string) bool                                { return false }
func (noLink) Host() string                                         { return "c1" }

// TestTargetsThatJoinAtOnceShareSyncs: 1,000 targets announce themselves to a
// system that has just started. With one sync for each, other commands would have
// to wait for 5 s.
func TestTargetsThatJoinAtOnceShareSyncs(t *testing.T) {
	const targets, maxSyncs = 1000, 100 // number of targets, and limit of syncs and messages for them
	disk := slowDisk{kqfake.NewDisk(rand.New(rand.NewPCG(1, 1)))}
	var mu sync.Mutex
	reported, messages := 0, 0
	self := kqreplica.MemberSpec{Host: "c1", Domain: "a", Peers: "127.0.0.1:1", Voter: true}
	c, err := Start(Config{
		Self: self, Hosts: []kqreplica.MemberSpec{self}, Disk: disk, Link: noLink{}, Clock: kqclock.System{}, Log: kqlog.Discard(),
		Events: kqevent.NewRecorder("c1", time.Now), Metrics: metrics.NewRegistry(), Rand: rand.New(rand.NewPCG(1, 1)),
		Changed: func(list []kqcontract.Change) {
			mu.Lock()
			defer mu.Unlock()
			reported += len(list)
			messages++
		},
		Restored: func() {}, MembersChanged: func([]kqreplica.Member) {}, Fatal: func(err error) { t.Error(err) },
	})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	local := LocalStore{Control: c}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := local.Announce(ctx, target(0)); err != nil { // returns once there is a leader
		t.Fatal(err)
	}
	before := disk.Syncs()
	var wg sync.WaitGroup
	for i := 1; i <= targets; i++ {
		wg.Go(func() {
			if err := local.Announce(ctx, target(i)); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if n := disk.Syncs() - before; n > maxSyncs {
		t.Errorf("%d syncs for %d targets, at most %d", n, targets, maxSyncs)
	}
	mu.Lock()
	defer mu.Unlock()
	if reported != targets+1 || messages > maxSyncs {
		t.Errorf("reported %d targets in %d messages, want %d in at most %d", reported, messages, targets+1, maxSyncs)
	}
}

func target(i int) kqtargets.Target {
	return kqtargets.Target{
		ID: fmt.Sprintf("t-%d", i), Boot: 1, Seq: 1, Service: "kekhai", Addr: fmt.Sprintf("127.1.%d.%d:80", i/250, i%250),
		Domain: "a", Slots: 4, State: kqtargets.Ready,
	}
}
