package kqcontract

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"kumquatglade/internal/state/kqtargets"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/golden"
)

func readValidContract(tb testing.TB) []byte {
	tb.Helper()
	p, err := os.ReadFile("testdata/good.json")
	if err != nil {
		tb.Fatal(err)
	}
	return p
}

func TestInvalidContracts(t *testing.T) {
	files, err := filepath.Glob("testdata/bad/*.json")
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	for _, f := range files {
		p, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		_, err = Parse(p)
		if err == nil {
			t.Errorf("%s is accepted", f)
			continue
		}
		out.WriteString(filepath.Base(f) + ": " + err.Error() + "\n")
	}
	golden.Assert(t, out.String(), "bad.golden")
}

func TestIdempotentPatterns(t *testing.T) {
	c, err := Parse(readValidContract(t))
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		method, path string
		want         bool
	}{
		{"GET", "/anything", true},
		{"PUT", "/ledgers/2026", true},
		{"PUT", "/filings/1", false},
		{"POST", "/ledgers/2026", false},
		{"get", "/", false},
	}
	for _, k := range cases {
		if got := c.Services[0].IsIdempotent(k.method, k.path); got != k.want {
			t.Errorf("%s %s: %v", k.method, k.path, got)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(readValidContract(f))
	f.Add([]byte(`{"owner":"o","version":1,"services":[{"name":"s","deadline":"1ns"}]}`))
	f.Fuzz(func(t *testing.T, p []byte) {
		c, err := Parse(p)
		if err != nil {
			return
		}
		again, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		d, err := Parse(again)
		if err != nil || d.Hash() != c.Hash() {
			t.Fatalf("does not survive its own encoding: %v", err)
		}
	})
}

// change is one step of a story about versions.
type versionStep struct {
	name        string
	cmd         Command
	refused     string
	repeat      bool
	nextVersion uint64
}

func applyCommand(version uint64, deadline int) Command {
	return Command{Op: OpApply, Contract: &Contract{Owner: "o", Version: version, Services: []Service{{Name: "s", Deadline: Duration(deadline)}}}}
}

func TestVersions(t *testing.T) {
	story := []versionStep{
		{"first version", applyCommand(1, 1), "", false, 2},
		{"resent", applyCommand(1, 1), "", true, 2},
		{"same version, other content", applyCommand(1, 9), ReasonTaken, false, 2},
		{"a version is left out", applyCommand(3, 3), ReasonGap, false, 2},
		{"second version", applyCommand(2, 2), "", false, 3},
		{"the first resent late", applyCommand(1, 1), "", true, 3},
		{"removed", Command{Op: OpRemove, Owner: "o", Version: 3}, "", false, 4},
		{"removal resent", Command{Op: OpRemove, Owner: "o", Version: 3}, "", true, 4},
		{"content in the removal's version", applyCommand(3, 3), ReasonTaken, false, 4},
		{"removed twice", Command{Op: OpRemove, Owner: "o", Version: 4}, ReasonUnknown, false, 4},
		{"versions go on after a removal", applyCommand(4, 4), "", false, 5},
		{"removal of an unknown owner", Command{Op: OpRemove, Owner: "p", Version: 1}, ReasonUnknown, false, 0},
	}
	s := NewState()
	for _, c := range story {
		res, changed := s.Apply(c.cmd)
		if res.Refused != c.refused || res.Repeat != c.repeat || res.NextVersion != c.nextVersion {
			t.Fatalf("%s: %+v", c.name, res)
		}
		if accepted := c.refused == "" && !c.repeat; accepted != (changed != nil) {
			t.Fatalf("%s: change %+v", c.name, changed)
		}
	}
	if n := len(s.History("o")); n != 4 || s.Revision != 4 {
		t.Fatalf("%d accepted, revision %d", n, s.Revision)
	}
}

func TestResendsAreRecognizedWithinKeptVersions(t *testing.T) {
	s := NewState()
	for v := uint64(1); v <= KeptVersions+10; v++ {
		s.Apply(applyCommand(v, int(v)))
	}
	if res, _ := s.Apply(applyCommand(11, 11)); !res.Repeat {
		t.Fatalf("oldest kept version: %+v", res)
	}
	if res, _ := s.Apply(applyCommand(10, 10)); res.Refused != ReasonOld {
		t.Fatalf("older than the kept versions: %+v", res)
	}
}

func TestStateSurvivesItsEncoding(t *testing.T) {
	s := NewState()
	s.Apply(applyCommand(1, 1))
	s.Apply(Command{Op: OpJoin, Join: &EntryHost{Name: "e1", Domain: "d", Region: "r", Calls: "127.0.0.1:1", Peers: "127.0.0.1:2"}})
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
}
