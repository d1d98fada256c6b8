package kqtargets

import (
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// TestOddAnnouncementsAreRefused guards against entries of other programs that all hosts
// would have to live with, for good.
func TestOddAnnouncementsAreRefused(t *testing.T) {
	now := time.UnixMilli(1_764_843_130_000)
	good := Target{ID: "i-7f3a91c2", Boot: now.UnixMilli(), Seq: 4, Service: "huvo11a", Addr: "10.128.0.9:8080", Domain: "nl-west-a", Slots: 6, State: Ready}
	if err := good.Validate(now); err != nil {
		t.Fatal(err)
	}
	ahead := good
	ahead.Boot = now.Add(10 * time.Second).UnixMilli() // its clock may be ahead
	if err := ahead.Validate(now); err != nil {
		t.Error(err)
	}
	cases := []struct {
		name  string
		spoil func(a *Target)
	}{
		{"no id", func(a *Target) { a.ID = "" }},
		{"id of kilobytes", func(a *Target) { a.ID = strings.Repeat("i", 4<<10) }},
		{"id with the end of a line", func(a *Target) { a.ID = "i-1\r\nX: 1" }},
		{"id that is no text", func(a *Target) { a.ID = "i-\xff" }},
		{"service of kilobytes", func(a *Target) { a.Service = strings.Repeat("s", 4<<10) }},
		{"no failure domain", func(a *Target) { a.Domain = "" }},
		{"start in the far future", func(a *Target) { a.Boot = math.MaxInt64 }},
		{"start next month", func(a *Target) { a.Boot = now.AddDate(0, 1, 0).UnixMilli() }},
		{"start below 0", func(a *Target) { a.Boot = -1 }},
		{"sequence number as large as can be", func(a *Target) { a.Seq = math.MaxUint64 }},
		{"slots as large as can be", func(a *Target) { a.Slots = math.MaxInt }},
		{"no slots", func(a *Target) { a.Slots = 0 }},
		{"warming up for centuries", func(a *Target) { a.ColdRemaining = math.MaxInt64 }},
		{"warming up below 0", func(a *Target) { a.ColdRemaining = -1 }},
		{"port out of range", func(a *Target) { a.Addr = "10.128.0.9:65536" }},
		{"port 0", func(a *Target) { a.Addr = "10.128.0.9:0" }},
		{"address of this host", func(a *Target) { a.Addr = "0.0.0.0:8080" }},
		{"address of a group", func(a *Target) { a.Addr = "224.0.0.1:8080" }},
		{"address with a zone", func(a *Target) { a.Addr = "[fe80::1%" + strings.Repeat("z", 10) + "]:8080" }},
		{"address that is a name", func(a *Target) { a.Addr = "localhost:8080" }},
		{"state that nobody knows", func(a *Target) { a.State = "bootstrapping" }},
		{"leaves with a start in the far future", func(a *Target) { a.State, a.Boot = Gone, math.MaxInt64 }},
	}
	for _, c := range cases {
		a := good
		c.spoil(&a)
		if err := a.Validate(now); !errors.Is(err, ErrInvalid) || len(err.Error()) > 300 {
			t.Errorf("%s: %v, want a short error marked ErrInvalid", c.name, err)
		}
	}
}

// TestDirectoryIsBounded guards against a program that announces ever new targets.
func TestDirectoryIsBounded(t *testing.T) {
	s := NewSet()
	for i := range maxLive {
		a := announcement("t"+strconv.Itoa(i), 1, 1, Ready, "10."+strconv.Itoa(i>>8)+"."+strconv.Itoa(i&255)+".1:80")
		if !s.HasRoom(a) {
			t.Fatalf("no room for target %d", i)
		}
		s.Apply(a, now)
	}
	if s.HasRoom(announcement("further", 1, 1, Ready, "10.0.0.9:80")) {
		t.Error("room for more than the bound")
	}
	if !s.HasRoom(announcement("t0", 1, 2, Draining, "10.0.0.1:80")) {
		t.Error("a known target cannot drain")
	}
	s.Apply(announcement("t0", 1, 3, Gone, ""), now)
	if !s.HasRoom(announcement("further", 1, 1, Ready, "10.0.0.9:80")) {
		t.Error("no room after a target has left")
	}
}
