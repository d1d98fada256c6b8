package kqreplica

import (
	"testing"

	"kumquatglade/internal/state/kqjournal"

	"github.com/google/go-cmp/cmp"
)

// Guards against one disk sync for each SaveMeta: the first messages of four peers after
// a start each change the metadata, and a sync may take 5 ms, so they must share one.
func TestMergeMeta(t *testing.T) {
	meta := func(term uint64) Effect {
		return SaveMeta{Meta: kqjournal.Meta{Term: term}}
	}
	send := func(to string) Effect { return Send{To: to} }
	cases := []struct {
		name     string
		in, want []Effect
	}{
		{"nothing", nil, []Effect{}},
		{"none to save", []Effect{send("a"), send("b")}, []Effect{send("a"), send("b")}},
		{
			"the newest in the place of the first",
			[]Effect{send("a"), meta(1), send("b"), meta(2), send("c"), meta(3)},
			[]Effect{send("a"), meta(3), send("b"), send("c")},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, Merge(c.in)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
