package kqcontract

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"kumquatglade/internal/state/kqtargets"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

func evacuateCommand(domain string, on bool, revision uint64) Command {
	return Command{
		Op: OpEvacuate, Evacuate: &EvacuationOrder{Domain: domain, On: on, Revision: revision},
		Time: time.Unix(1_796_000_000, 0).UTC(),
	}
}

// TestEvacuationOrders guards against an order that was accepted before a withdrawal and
// restores the evacuation when it reaches the log after it, and against an order whose
// repetition is refused or takes a revision.
func TestEvacuationOrders(t *testing.T) {
	story := []struct {
		name     string
		cmd      Command
		refused  string
		repeat   bool
		revision uint64 // of the state afterwards
	}{
		{"end without an evacuation", evacuateCommand("a", false, 0), "", true, 0},
		{"evacuation", evacuateCommand("a", true, 0), "", false, 1},
		{"repeated at another host", evacuateCommand("a", true, 1), "", true, 1},
		{"sent again with the first revision", evacuateCommand("a", true, 0), "", true, 1},
		{"another domain", evacuateCommand("b", true, 0), "", false, 2},
		{"end", evacuateCommand("a", false, 1), "", false, 3},
		{"end repeated", evacuateCommand("a", false, 1), "", true, 3},
		{"late order", evacuateCommand("a", true, 0), ReasonStale, false, 3},
		{"late order that saw the evacuation", evacuateCommand("a", true, 1), ReasonStale, false, 3},
		{"next evacuation", evacuateCommand("a", true, 3), "", false, 4},
		{"late end", evacuateCommand("a", false, 1), ReasonStale, false, 4},
		{"no domain", evacuateCommand("", true, 0), ReasonUnknown, false, 4},
		{"no order", Command{Op: OpEvacuate}, ReasonUnknown, false, 4},
	}
	s := NewState()
	for _, c := range story {
		before := s.Evacuations
		kept := fmt.Sprint(before)
		res, change := s.Apply(c.cmd)
		if res.Refused != c.refused || res.Repeat != c.repeat || s.Revision != c.revision {
			t.Fatalf("%s: %+v, revision %d", c.name, res, s.Revision)
		}
		if accepted := c.refused == "" && !c.repeat; accepted != (change != nil) {
			t.Fatalf("%s: change %+v", c.name, change)
		}
		if fmt.Sprint(before) != kept {
			t.Fatalf("%s: modifies the entries of an earlier change", c.name)
		}
		if change != nil && cmp.Diff(s.Evacuations, change.Evacuations) != "" {
			t.Fatalf("%s: change %+v of %+v", c.name, change, s.Evacuations)
		}
	}
	if a, b := s.Evacuation("a"), s.Evacuation("b"); !a.On || a.Revision != 4 || !b.On || b.Revision != 2 || s.Evacuation("c").Revision != 0 {
		t.Errorf("%+v", s.Evacuations)
	}
}

// TestEvacuationsAreBounded guards against a state that grows with invented domains.
func TestEvacuationsAreBounded(t *testing.T) {
	s := NewState()
	for i := range MaxEvacuations + 1 {
		res, _ := s.Apply(evacuateCommand(fmt.Sprintf("d%05d", i), true, 0))
		if want := map[bool]string{true: ReasonFull}[i == MaxEvacuations]; res.Refused != want {
			t.Fatalf("entry %d: refused %q, want %q", i, res.Refused, want)
		}
	}
	if res, _ := s.Apply(evacuateCommand("d00000", false, 1)); res.Refused != "" || len(s.Evacuations) != MaxEvacuations {
		t.Errorf("%+v with %d entries", res, len(s.Evacuations))
	}
}

// TestEvacuationsInSnapshots checks that entries, also withdrawn ones, survive a snapshot,
// that a state without any is encoded as before, and that an old snapshot can be read.
func TestEvacuationsInSnapshots(t *testing.T) {
	s := NewState()
	s.Apply(applyCommand(1, 1))
	unchanged := s.Digest()
	old, err := s.Encode()
	if err != nil || bytes.Contains(old, []byte("evacuations")) {
		t.Fatalf("%v: %q", err, old)
	}
	s.Apply(evacuateCommand("a", false, 0))
	if s.Digest() != unchanged {
		t.Error("the end of no evacuation changes the state")
	}
	s.Apply(evacuateCommand("a", true, 0))
	s.Apply(evacuateCommand("b", true, 0))
	s.Apply(evacuateCommand("a", false, 2))
	p, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	again, err := Decode(p)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(s, again, cmpopts.IgnoreUnexported(kqtargets.Set{})); diff != "" || s.Digest() != again.Digest() {
		t.Fatal(diff)
	}
	if res, _ := again.Apply(evacuateCommand("a", true, 0)); res.Refused != ReasonStale {
		t.Errorf("late order after a snapshot: %+v", res)
	}
	if s, err := Decode(old); err != nil || s.Evacuations != nil {
		t.Errorf("%v: %+v", err, s.Evacuations)
	}
	for name, v := range map[string]any{"command": applyCommand(1, 1), "change": Change{Revision: 1}} {
		if p, err := cbor.Marshal(v); err != nil || bytes.Contains(p, []byte("evacuat")) {
			t.Errorf("%s without an evacuation: %v %q", name, err, p)
		}
	}
}
