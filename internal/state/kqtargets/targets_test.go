package kqtargets

import (
	"cmp"
	"encoding/json"
	"testing"
	"time"
)

func announcement(id string, boot int64, seq uint64, state State, addr string) Target {
	return Target{ID: id, Boot: boot, Seq: seq, Service: "kekhai", Addr: addr, Slots: 4, State: state}
}

// now is when the announcements of the tests are made.
var now = time.UnixMilli(1_764_843_130_000)

// TestAnnouncements applies sequences of announcements and checks the final states of
// targets a and b. It guards against a target that becomes ready again within one boot.
func TestAnnouncements(t *testing.T) {
	const x, y = "10.0.0.1:80", "10.0.0.2:80"
	cases := []struct {
		name string
		list []Target
		a, b State // empty: unknown
	}{
		{"a renewal changes nothing", []Target{announcement("a", 1, 1, Ready, x), announcement("a", 1, 2, Ready, x)}, Ready, ""},
		{"draining stays", []Target{announcement("a", 1, 1, Ready, x), announcement("a", 1, 2, Draining, x), announcement("a", 1, 3, Ready, x)}, Draining, ""},
		{"a late renewal does not undo draining", []Target{announcement("a", 1, 5, Draining, x), announcement("a", 1, 4, Ready, x)}, Draining, ""},
		{"gone is final for a boot", []Target{announcement("a", 1, 1, Ready, x), announcement("a", 0, 0, Gone, ""), announcement("a", 1, 9, Ready, x)}, Gone, ""},
		{"a new boot comes back", []Target{announcement("a", 1, 7, Draining, x), announcement("a", 2, 1, Ready, x)}, Ready, ""},
		{"a late announcement of an earlier boot revives nothing", []Target{announcement("a", 2, 1, Draining, x), announcement("a", 1, 99, Ready, x)}, Draining, ""},
		{"an earlier boot leaves", []Target{announcement("a", 2, 1, Ready, x), announcement("a", 1, 99, Gone, "")}, Ready, ""},
		{"an address used again ends the earlier target", []Target{announcement("a", 1, 1, Ready, x), announcement("b", 2, 1, Ready, x)}, Gone, Ready},
		{"a late announcement does not take an address back", []Target{announcement("b", 2, 1, Ready, x), announcement("a", 1, 4, Ready, x)}, Gone, Ready},
		{"draining stays after an announcement without a boot", []Target{announcement("a", 1, 1, Ready, x), announcement("a", 0, 2, Draining, x), announcement("a", 1, 3, Ready, x)}, Draining, ""},
		{"gone stays after an announcement without a boot", []Target{announcement("a", 1, 1, Ready, x), announcement("a", 0, 2, Draining, x), announcement("a", 0, 0, Gone, ""), announcement("a", 1, 3, Ready, x)}, Gone, ""},
		{"a foreign announcement does not outdate that it drains", []Target{announcement("a", 1, 3, Ready, x), announcement("a", 0, 5000, Ready, x), announcement("a", 1, 4, Draining, x)}, Draining, ""},
		{"nor does a later one of its own", []Target{announcement("a", 1, 5000, Ready, x), announcement("a", 1, 4, Draining, x), announcement("a", 1, 5001, Ready, x)}, Draining, ""},
		{"two addresses", []Target{announcement("a", 1, 1, Ready, x), announcement("b", 2, 1, Ready, y)}, Ready, Ready},
		{"an unknown target leaves", []Target{announcement("a", 0, 0, Gone, "")}, Gone, ""},
		{"a late announcement does not follow the leave of an unknown target", []Target{announcement("a", 0, 0, Gone, ""), announcement("a", 1, 1, Ready, x)}, Gone, ""},
		{"a later start follows the leave of an unknown target", []Target{announcement("a", 0, 0, Gone, ""), announcement("a", now.UnixMilli()+1, 1, Ready, x)}, Ready, ""},
		{"a leave that names its start is final", []Target{announcement("a", 1, 1, Ready, x), announcement("a", 1, 2, Gone, ""), announcement("a", 1, 3, Ready, x)}, Gone, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := NewSet()
			for _, a := range c.list {
				s.Apply(a, now)
			}
			for id, want := range map[string]State{"a": c.a, "b": c.b} {
				got := State("")
				if r := s.Targets[id]; r != nil {
					got = r.State
				}
				if got != want {
					t.Errorf("%s is %q, want %q", id, got, want)
				}
			}
		})
	}
}

// TestAcknowledgedLeaveHolds guards against a leave that is acknowledged and has no effect, over
// all short histories of announcements that may be late, foreign or of another start. Each leave
// that names its start is in effect at once, and one in effect stays so for that start.
func TestAcknowledgedLeaveHolds(t *testing.T) {
	const x = "10.0.0.1:80"
	var all []Target
	for _, boot := range []int64{0, 1, 2} {
		for _, seq := range []uint64{1, 2, 3} {
			for _, state := range []State{Ready, Draining, Gone} {
				all = append(all, announcement("a", boot, seq, state, x))
			}
		}
	}
	var play func(list []Target)
	play = func(list []Target) {
		s, left := NewSet(), map[int64]bool{}
		for i, a := range list {
			s.Apply(a, now)
			if a.State != Ready && s.InEffect(a) {
				left[cmp.Or(a.Boot, s.Targets["a"].Boot)] = true
			} else if a.State != Ready && a.Boot != 0 {
				t.Fatalf("after %+v: not in effect", list[:i+1])
			}
			if k := s.Targets["a"]; k.State == Ready && k.Boot != 0 && left[k.Boot] {
				t.Fatalf("after %+v: ready, though it left", list[:i+1])
			}
		}
		if len(list) < 4 {
			for _, a := range all {
				play(append(list[:len(list):len(list)], a))
			}
		}
	}
	play(nil)
}

// TestForeignAnnouncementChangesNothing guards against another program's announcement, which
// names no start, that changes what the target said of itself.
func TestForeignAnnouncementChangesNothing(t *testing.T) {
	s := NewSet()
	s.Apply(announcement("a", 1, 3, Ready, "10.0.0.1:80"), now)
	foreign := announcement("a", 0, 5000, Ready, "10.0.0.2:80")
	if changed := s.Apply(foreign, now); len(changed) != 0 || !s.IsForeign(foreign) {
		t.Errorf("changed %+v", changed)
	}
	s = NewSet()
	s.Apply(announcement("a", 0, 3, Ready, "10.0.0.1:80"), now)
	if changed := s.Apply(foreign, now); len(changed) != 1 || s.IsForeign(foreign) {
		t.Errorf("changed %+v for a target of unknown start", changed)
	}
}

// TestAddressesAfterDecoding: the index by address is not encoded, so a host that
// decodes a directory must build it again.
func TestAddressesAfterDecoding(t *testing.T) {
	s := NewSet()
	s.Apply(announcement("a", 1, 1, Ready, "127.0.0.1:1"), now)
	s.Apply(announcement("b", 1, 1, Ready, "127.0.0.1:2"), now)
	s.Apply(announcement("a", 1, 2, Ready, "127.0.0.1:3"), now) // changes its address
	p, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	decoded := NewSet()
	if err := json.Unmarshal(p, &decoded); err != nil {
		t.Fatal(err)
	}
	for _, set := range []*Set{&s, &decoded} {
		if got := set.Apply(announcement("c", 2, 1, Ready, "127.0.0.1:1"), now); len(got) != 1 {
			t.Fatalf("%d changes for a new target at a released address", len(got))
		}
		if got := set.Apply(announcement("d", 2, 1, Ready, "127.0.0.1:3"), now); len(got) != 2 || got[0].ID != "a" || got[0].State != Gone {
			t.Fatalf("changes %+v for a new target at an occupied address", got)
		}
	}
}

// TestLateLeaveEndsNoLaterStartForGood guards against a target that announces itself and
// gets no requests, because a leave of its earlier start, which named none, came late. An
// announcement that is merely late must not undo a leave.
func TestLateLeaveEndsNoLaterStartForGood(t *testing.T) {
	const x = "10.0.0.1:80"
	ready, leave := announcement("a", 5, 1, Ready, x), announcement("a", 0, 0, Gone, "")
	cases := []struct {
		name   string
		before []Target
		after  time.Duration // between the leave and the next announcement
		want   State
	}{
		{"an announcement soon after", []Target{ready, leave}, returnAfter - 1, Gone},
		{"announcements go on", []Target{ready, leave}, returnAfter, Ready},
		{"the target had drained", []Target{ready, announcement("a", 5, 2, Draining, x), leave}, returnAfter, Gone},
		{"a leave that names the start came too", []Target{ready, leave, announcement("a", 5, 2, Gone, "")}, returnAfter, Gone},
		{"draining that names the start came too", []Target{ready, leave, announcement("a", 5, 2, Draining, x)}, returnAfter, Gone},
		{"the target was unknown", []Target{leave}, returnAfter, Ready},
	}
	for _, c := range cases {
		s := NewSet()
		for _, a := range c.before {
			s.Apply(a, now)
		}
		s.Apply(announcement("a", 5, 9, Ready, x), now.Add(c.after))
		if got := s.Targets["a"].State; got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// TestIsFinal guards against a leave that is acknowledged from a state that lags: the
// directory may miss a later start of the target, or the target itself.
func TestIsFinal(t *testing.T) {
	const x = "10.0.0.1:80"
	cases := []struct {
		name   string
		before []Target
		leave  Target
		want   bool
	}{
		{"unknown target", nil, announcement("a", 1, 1, Gone, ""), false},
		{"unknown target, no start", nil, announcement("a", 0, 0, Gone, ""), false},
		{"ready", []Target{announcement("a", 1, 1, Ready, x)}, announcement("a", 1, 2, Draining, x), false},
		{"draining", []Target{announcement("a", 1, 1, Draining, x)}, announcement("a", 1, 2, Draining, x), true},
		{"draining, then gone", []Target{announcement("a", 1, 1, Draining, x)}, announcement("a", 1, 2, Gone, ""), false},
		{"draining, no start", []Target{announcement("a", 1, 1, Draining, x)}, announcement("a", 0, 2, Draining, x), false},
		{"gone", []Target{announcement("a", 1, 1, Gone, "")}, announcement("a", 1, 2, Gone, ""), true},
		{"gone, no start", []Target{announcement("a", 1, 1, Gone, "")}, announcement("a", 0, 0, Gone, ""), false},
		{"gone by a leave without start", []Target{announcement("a", 1, 1, Ready, x), announcement("a", 0, 0, Gone, "")}, announcement("a", 1, 2, Gone, ""), false},
		{"later start known", []Target{announcement("a", 2, 1, Ready, x)}, announcement("a", 1, 9, Gone, ""), true},
		{"later start leaves", []Target{announcement("a", 1, 1, Gone, "")}, announcement("a", 2, 1, Gone, ""), false},
	}
	for _, c := range cases {
		s := NewSet()
		for _, a := range c.before {
			s.Apply(a, now)
		}
		if got := s.IsFinal(c.leave); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
	}
}
