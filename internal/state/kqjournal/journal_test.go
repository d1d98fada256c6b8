package kqjournal

import (
	"fmt"
	"math/rand/v2"
	"testing"

	kq "kumquatglade"
	"kumquatglade/internal/fake/kqfake"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

func newDisk(seed uint64) *kqfake.Disk {
	return kqfake.NewDisk(rand.New(rand.NewPCG(seed, 2)))
}

func open(t *testing.T, d *kqfake.Disk) (*Journal, Loaded) {
	t.Helper()
	j, l, err := Open(d)
	if err != nil {
		t.Fatal(err)
	}
	return j, l
}

func entry(i uint64) Entry {
	return Entry{Index: i, Term: 1, Kind: "command", Data: fmt.Appendf(nil, "entry %d", i)}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func TestLoadReturnsWhatWasSynced(t *testing.T) {
	d := newDisk(1)
	j, _ := open(t, d)
	must(t, j.SaveMeta(Meta{Cluster: "k", Term: 3, Vote: "a", Boot: 1, Incarnation: "i"}))
	must(t, j.Append([]Entry{entry(1), entry(2)}))
	must(t, j.Append([]Entry{entry(3)}))
	must(t, j.Append([]Entry{{Index: 2, Term: 2, Kind: "command"}})) // overwritten by a new leader
	d.Crash()
	_, l := open(t, d)
	want := Loaded{
		Meta:    Meta{Cluster: "k", Term: 3, Vote: "a", Boot: 1, Incarnation: "i"},
		Entries: []Entry{entry(1), {Index: 2, Term: 2, Kind: "command"}},
	}
	if diff := cmp.Diff(want, l); diff != "" {
		t.Fatal(diff)
	}
}

// TestEveryCrashKeepsAcknowledgedEntries crashes the disk at each operation in
// turn, during appends and snapshots: every acknowledged entry must be loaded.
func TestEveryCrashKeepsAcknowledgedEntries(t *testing.T) {
	for crashAt := range 120 {
		d := newDisk(uint64(crashAt))
		j, _ := open(t, d)
		d.CrashAfter(crashAt)
		acknowledged := uint64(0)
		for i := uint64(1); i <= 20; i++ {
			if j.Append([]Entry{entry(i)}) != nil {
				break
			}
			acknowledged = i
			if i%7 == 0 && j.SaveSnapshot(Snapshot{Index: i - 2, Term: 1, State: []byte("s")}, []Entry{entry(i - 1), entry(i)}) != nil {
				break
			}
		}
		d.Crash()
		_, l := open(t, d)
		last := l.Snapshot.Index + uint64(len(l.Entries))
		if last < acknowledged {
			t.Fatalf("crash at operation %d: acknowledged up to %d, loaded up to %d", crashAt, acknowledged, last)
		}
		for i, e := range l.Entries {
			if diff := cmp.Diff(entry(l.Snapshot.Index+1+uint64(i)), e); diff != "" {
				t.Fatalf("crash at operation %d: %s", crashAt, diff)
			}
		}
	}
}

// TestEveryCrashKeepsVotes crashes the disk at each operation in turn: a saved
// term must be loaded, even after the segment that held it was removed.
func TestEveryCrashKeepsVotes(t *testing.T) {
	for crashAt := range 120 {
		d := newDisk(uint64(crashAt))
		j, _ := open(t, d)
		d.CrashAfter(crashAt)
		saved := uint64(0)
		for i := uint64(1); i <= 20; i++ {
			if i%3 == 0 {
				if j.SaveMeta(Meta{Term: i, Seen: map[string]Run{"a": {Boot: i}}}) != nil {
					break
				}
				saved = i
			}
			if j.Append([]Entry{entry(i)}) != nil {
				break
			}
			if i%7 == 0 && j.SaveSnapshot(Snapshot{Index: i - 2, Term: 1, State: []byte("s")}, []Entry{entry(i - 1), entry(i)}) != nil {
				break
			}
		}
		d.Crash()
		_, l := open(t, d)
		if l.Meta.Term < saved || l.Meta.Seen["a"].Boot != l.Meta.Term {
			t.Fatalf("crash at operation %d: term %d saved, loaded %+v", crashAt, saved, l.Meta)
		}
	}
}

// TestVoteIsSavedWithOneSync: an election waits for the vote to be synced, and
// no requests are served during an election.
func TestVoteIsSavedWithOneSync(t *testing.T) {
	d := newDisk(1)
	j, _ := open(t, d)
	before := d.Syncs()
	must(t, j.SaveMeta(Meta{Term: 2, Vote: "a"}))
	d.Crash() // the folder itself has not been synced since
	if n := d.Syncs() - before; n != 1 {
		t.Errorf("%d syncs of files", n)
	}
	if _, l := open(t, d); l.Meta.Vote != "a" {
		t.Errorf("loaded %+v", l.Meta)
	}
}

// TestLegacyMetaFileIsReadUntilFirstSave: older versions kept Meta in a file
// of its own, which is read until the first SaveMeta writes to the log.
func TestLegacyMetaFileIsReadUntilFirstSave(t *testing.T) {
	d := newDisk(1)
	j, _ := open(t, d)
	must(t, j.replaceFile(legacyMetaName, Meta{Term: 4, Vote: "a"}))
	must(t, j.Append([]Entry{entry(1)}))
	j, l := open(t, d)
	if l.Meta.Term != 4 || l.Meta.Vote != "a" {
		t.Fatalf("loaded %+v", l.Meta)
	}
	must(t, j.SaveMeta(Meta{Term: 5}))
	if _, l = open(t, d); l.Meta.Term != 5 || l.Meta.Vote != "" {
		t.Fatalf("loaded %+v", l.Meta)
	}
}

func TestDamagedFiles(t *testing.T) {
	cases := []struct {
		name    string
		file    string
		offset  func(size int) int
		corrupt bool
	}{
		{"first record of the log", "log-0000000000000001", func(int) int { return headerSize + 2 }, true},
		{"last record of the log is truncated", "log-0000000000000001", func(n int) int { return n - 1 }, false},
		{"snapshot", snapshotName, func(n int) int { return n - 1 }, true},
		{"legacy meta file", legacyMetaName, func(n int) int { return n - 1 }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newDisk(1)
			j, _ := open(t, d)
			must(t, j.SaveMeta(Meta{Cluster: "k"}))
			must(t, j.replaceFile(legacyMetaName, Meta{Cluster: "k"}))
			must(t, j.replaceFile(snapshotName, Snapshot{State: []byte("state")}))
			must(t, j.Append([]Entry{entry(1)}))
			must(t, j.Append([]Entry{entry(2)}))
			p, err := d.ReadFile(c.file)
			must(t, err)
			d.FlipBit(c.file, c.offset(len(p)))
			_, l, err := Open(d)
			if c.corrupt != errors.Is(err, ErrCorrupt) {
				t.Fatalf("error is %v", err)
			}
			if !c.corrupt && (l.TruncatedBytes == 0 || len(l.Entries) != 1) {
				t.Fatalf("truncated %d bytes, kept %d entries", l.TruncatedBytes, len(l.Entries))
			}
		})
	}
}

func TestFailuresAreReported(t *testing.T) {
	cases := []struct {
		name  string
		fault func(*kqfake.Disk)
		want  error
	}{
		{"sync fails", (*kqfake.Disk).FailSync, kqfake.ErrSync},
		{"disk is full", (*kqfake.Disk).Fill, kq.ErrFull},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newDisk(1)
			j, _ := open(t, d)
			c.fault(d)
			if err := j.Append([]Entry{entry(1)}); !errors.Is(err, c.want) {
				t.Fatalf("append: %v", err)
			}
			if err := j.SaveMeta(Meta{}); !errors.Is(err, c.want) {
				t.Fatalf("meta: %v", err)
			}
		})
	}
}

// TestRepeatedSnapshotTakesNoRoom guards against a snapshot that does not fit and is tried
// again and again, each time with a new segment, until the rest of the disk is used up.
func TestRepeatedSnapshotTakesNoRoom(t *testing.T) {
	d := newDisk(1)
	j, _ := open(t, d)
	must(t, j.SaveMeta(Meta{Term: 3}))
	var keep []Entry
	for i := uint64(1); i <= 20; i++ {
		must(t, j.Append([]Entry{entry(i)}))
		if i > 10 {
			keep = append(keep, entry(i))
		}
	}
	s := Snapshot{Index: 10, Term: 1, State: make([]byte, 64<<10)}
	d.LimitWrites(8 << 10)
	var after int
	for i := range 30 {
		if err := j.SaveSnapshot(s, keep); !errors.Is(err, kq.ErrFull) {
			t.Fatal(err)
		}
		if i == 0 {
			after = d.Size()
		}
	}
	if names, _ := d.List(); d.Size() > after+(8<<10) || len(names) > 4 {
		t.Errorf("%d bytes in %d files after 30 tries, %d bytes after the first", d.Size(), len(names), after)
	}
	d.Free()
	must(t, j.SaveSnapshot(s, keep))
	must(t, j.Append([]Entry{entry(21)}))
	d.Crash()
	_, l := open(t, d)
	if l.Snapshot.Index != 10 || len(l.Entries) != 11 || l.Meta.Term != 3 {
		t.Errorf("loaded snapshot %d, %d entries, term %d", l.Snapshot.Index, len(l.Entries), l.Meta.Term)
	}
}

// FuzzUnframe feeds unframe arbitrary bytes, as a damaged disk may return them.
func FuzzUnframe(f *testing.F) {
	f.Add(frame([]byte("payload")))
	f.Add([]byte{0, 0, 0, 1})
	f.Fuzz(func(t *testing.T, p []byte) {
		payload, size, err := unframe(p)
		if err == nil && (size > len(p) || string(frame(payload)) != string(p[:size])) {
			t.Fatalf("frame of %d bytes does not match", size)
		}
	})
}

// TestFullDiskLosesNothing fills the disk at random, so that operations leave a part of
// what they write, and repeats them until there is room. Then the host crashes: all that
// was saved must be loaded. It guards against records that follow an incomplete one.
func TestFullDiskLosesNothing(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 3))
		d := kqfake.NewDisk(rng)
		j, _ := open(t, d)
		repeat := func(save func() error) {
			t.Helper()
			for {
				err := save()
				if err == nil {
					return
				}
				if !errors.Is(err, kq.ErrFull) {
					t.Fatalf("seed %d: %v", seed, err)
				}
				if rng.IntN(3) == 0 {
					d.Free()
				}
				if rng.IntN(10) == 0 { // the process is killed meanwhile
					j.Close()
					j, _ = open(t, d)
				}
			}
		}
		fill := func() {
			if rng.IntN(4) == 0 {
				d.Fill()
			}
		}
		term, last := uint64(0), uint64(5+rng.IntN(30))
		for i := uint64(1); i <= last; i++ {
			fill()
			repeat(func() error { return j.Append([]Entry{entry(i)}) })
			if i%3 == 0 {
				fill()
				term = i
				repeat(func() error { return j.SaveMeta(Meta{Term: i}) })
			}
			if i%7 == 0 {
				fill()
				repeat(func() error {
					return j.SaveSnapshot(Snapshot{Index: i - 2, Term: 1, State: []byte("s")}, []Entry{entry(i - 1), entry(i)})
				})
			}
		}
		d.Crash()
		_, l := open(t, d)
		if got := l.Snapshot.Index + uint64(len(l.Entries)); got != last || l.Meta.Term != term {
			t.Fatalf("seed %d: loaded up to entry %d and term %d, want %d and %d", seed, got, l.Meta.Term, last, term)
		}
		for i, e := range l.Entries {
			if diff := cmp.Diff(entry(l.Snapshot.Index+1+uint64(i)), e); diff != "" {
				t.Fatalf("seed %d: %s", seed, diff)
			}
		}
		if names, _ := d.List(); len(names) > 8 {
			t.Errorf("seed %d: repeated snapshots left %d files", seed, len(names))
		}
	}
}
