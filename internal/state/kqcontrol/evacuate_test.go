package kqcontrol

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"kumquatglade/internal/fake/kqfake"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqreplica"

	"github.com/cockroachdb/errors"
)

func (c *Control) revision(t *testing.T) (revision uint64) {
	t.Helper()
	if err := c.View(func(s *kqcontract.State) { revision = s.Revision }); err != nil {
		t.Fatal(err)
	}
	return revision
}

// TestEvacuate checks that an order is acknowledged again when it is repeated, without a
// log entry, and that an unknown domain leaves no trace.
func TestEvacuate(t *testing.T) {
	l := startAlone(t, kqfake.NewDisk(rand.New(rand.NewPCG(1, 1))))
	defer l.Close()
	l.cfg.Domains = []string{"z"}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := l.Announce(ctx, target(1)); err != nil { // in domain a
		t.Fatal(err)
	}
	steps := []struct {
		domain   string
		on       bool
		revision uint64 // of the state afterwards
		known    bool
	}{
		{"y", true, 1, false},
		{"", true, 1, false},
		{"y", false, 1, false},
		{"z", false, 1, true},
		{"z", true, 2, true},
		{"z", true, 2, true},
		{"a", true, 3, true},
		{"z", false, 4, true},
		{"z", false, 4, true},
		{"z", true, 5, true},
	}
	for i, s := range steps {
		entry, err := l.Evacuate(ctx, s.domain, s.on)
		if s.known != !errors.Is(err, kqcontract.ErrUnknownDomain) || s.known != (err == nil) {
			t.Fatalf("step %d: %v", i, err)
		}
		if s.known && entry.On != s.on || l.revision(t) != s.revision {
			t.Errorf("step %d: %+v, revision %d", i, entry, l.revision(t))
		}
	}
}

// TestEvacuateOnBehalf checks the answers to a host without a replica.
func TestEvacuateOnBehalf(t *testing.T) {
	l := startAlone(t, kqfake.NewDisk(rand.New(rand.NewPCG(1, 1))))
	defer l.Close()
	l.cfg.Domains = []string{"z"}
	remote := RemoteStore{
		Link: handlingLink{store: l}, ControlHosts: func() []string { return []string{"c1"} }, PreferredHost: func() string { return "" },
	}
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	if entry, err := remote.Evacuate(ctx, "z", true); err != nil || !entry.On || entry.Revision != 1 {
		t.Errorf("%+v %v", entry, err)
	}
	if _, err := remote.Evacuate(ctx, "y", true); !errors.Is(err, kqcontract.ErrUnknownDomain) {
		t.Errorf("unknown domain: %v", err)
	}
	doc, err := remote.Read(ctx, Query{Evacuations: true})
	if err != nil || len(doc.Evacuations) != 1 || !doc.Evacuations[0].On {
		t.Errorf("%+v %v", doc.Evacuations, err)
	}
}

// handlingLink passes calls to a store, encoded as between processes.
type handlingLink struct {
	noLink
	store LocalStore
}

func (handlingLink) Up(string) bool { return true }

func (w handlingLink) Call(ctx context.Context, _, method string, body, out any) error {
	p, err := json.Marshal(body)
	if err != nil {
		return err
	}
	res, err := w.store.HandleRequest(ctx, method, p)
	if err != nil {
		return err
	}
	if p, err = json.Marshal(res); err != nil {
		return err
	}
	return json.Unmarshal(p, out)
}

// TestEvacuateNeedsQuorum guards against an acknowledgement by a host that is cut off.
func TestEvacuateNeedsQuorum(t *testing.T) {
	hosts := []kqreplica.MemberSpec{
		{Host: "c1", Domain: "a", Peers: "127.0.0.1:1", Voter: true},
		{Host: "c2", Domain: "b", Peers: "127.0.0.1:2", Voter: true},
	}
	l := startControl(t, kqfake.NewDisk(rand.New(rand.NewPCG(1, 1))), hosts)
	defer l.Close()
	l.cfg.Domains = []string{"z"}
	for _, on := range []bool{true, false} {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		if _, err := l.Evacuate(ctx, "z", on); err == nil || errors.Is(err, kqcontract.ErrUnknownDomain) {
			t.Errorf("evacuated %v: %v", on, err)
		}
		cancel()
	}
}

// TestLateOrderDoesNotRestore guards against an order of a caller that gave it up, repeated
// it elsewhere and withdrew it, and that is carried out after all.
func TestLateOrderDoesNotRestore(t *testing.T) {
	l := startAlone(t, kqfake.NewDisk(rand.New(rand.NewPCG(1, 1))))
	defer l.Close()
	l.cfg.Domains = []string{"z"}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	accepted, err := l.confirmedEvacuation(ctx, "z")
	if err != nil {
		t.Fatal(err)
	}
	for _, on := range []bool{true, false} {
		if _, err := l.Evacuate(ctx, "z", on); err != nil {
			t.Fatal(err)
		}
	}
	if entry, err := l.order(ctx, accepted, true); !errors.Is(err, errSuperseded) || entry.On {
		t.Errorf("%+v %v, want %v", entry, err, errSuperseded)
	}
	if entry, err := l.order(ctx, accepted, false); err != nil || entry.On {
		t.Errorf("late end: %+v %v", entry, err)
	}
	if rev := l.revision(t); rev != 2 {
		t.Errorf("revision %d, want 2", rev)
	}
	expired, cancel := context.WithDeadline(withoutDone{t.Context()}, time.Now().Add(-time.Second))
	defer cancel()
	if _, err := l.Evacuate(withoutDone{expired}, "z", true); err == nil || l.revision(t) != 2 {
		t.Error("an order is carried out after its deadline, as after a long stop of the process")
	}
}

// withoutDone is a context whose timer has not fired yet.
type withoutDone struct{ context.Context }

func (withoutDone) Done() <-chan struct{} { return nil }
func (withoutDone) Err() error            { return nil }
