package kqdirectory

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Unix(1_700_000_000, 0)

func record(state State, epoch, seq uint64) Record {
	return Record{Service: "s", ID: "t", Addr: "127.0.0.1:1", Domain: "a", Slots: 4, Connections: 100, State: state, Epoch: epoch, Seq: seq}
}

func heldBy(r Record, holder string) Record {
	r.Holder = holder
	return r
}

// TestStory follows one target over two hosts.
func TestTargetMovesBetweenHosts(t *testing.T) {
	a, b := New("a"), New("b")
	now := start
	a.digestSentAt, b.digestSentAt = now, now
	steps := []struct {
		name  string
		after time.Duration
		on    *Directory
		ev    Event
		want  []Effect
	}{
		{"announced at a", 0, a, Announced{record(Ready, 1, 1)}, []Effect{
			BroadcastRecords{[]Record{heldBy(record(Ready, 1, 1), "a")}}, Updated{heldBy(record(Ready, 1, 1), "a")}, LoadReported{heldBy(record(Ready, 1, 1), "a")},
		}},
		{"learned by b", 0, b, RecordsReceived{[]Record{heldBy(record(Ready, 1, 1), "a")}}, []Effect{Updated{heldBy(record(Ready, 1, 1), "a")}}},
		{"a renewal is not spread", time.Second, a, Announced{record(Ready, 1, 2)}, []Effect{LoadReported{heldBy(record(Ready, 1, 2), "a")}}},
		{"an older announcement is refused", 0, a, Announced{record(Ready, 1, 1)}, []Effect{Refused{heldBy(record(Ready, 1, 2), "a")}}},
		{"a drain is spread", time.Second, a, Announced{record(Draining, 1, 3)}, []Effect{
			BroadcastRecords{[]Record{heldBy(record(Draining, 1, 3), "a")}}, Updated{heldBy(record(Draining, 1, 3), "a")}, LoadReported{heldBy(record(Draining, 1, 3), "a")},
		}},
		{"a late older message changes nothing", 0, b, RecordsReceived{[]Record{heldBy(record(Ready, 1, 1), "a")}}, nil},
		{"b learns of the drain", 0, b, RecordsReceived{[]Record{heldBy(record(Draining, 1, 3), "a")}}, []Effect{Updated{heldBy(record(Draining, 1, 3), "a")}}},
		{"a is lost", time.Second, b, LinkChanged{"a", false}, nil},
		{"a little later the target is still known", leaseDuration - time.Second, b, Tick{}, nil},
		{"it announces itself to b", 0, b, Announced{record(Draining, 1, 9)}, []Effect{
			BroadcastRecords{[]Record{heldBy(record(Draining, 1, 9), "b")}}, Updated{heldBy(record(Draining, 1, 9), "b")}, LoadReported{heldBy(record(Draining, 1, 9), "b")},
		}},
		{"a's expiry is overtaken", 0, b, RecordsReceived{[]Record{expired(heldBy(record(Draining, 1, 3), "a"))}}, []Effect{
			BroadcastRecords{[]Record{heldBy(record(Draining, 1, 9), "b")}},
		}},
	}
	for _, s := range steps {
		now = now.Add(s.after)
		if diff := cmp.Diff(s.want, s.on.Reduce(now, s.ev)); diff != "" {
			t.Fatalf("%s: %s", s.name, diff)
		}
	}
}

func expired(r Record) Record {
	r.Expired = true
	return r
}

func TestSilentTargetExpires(t *testing.T) {
	d := New("a")
	d.digestSentAt = start
	d.Reduce(start, Announced{record(Ready, 1, 1)})
	want := expired(heldBy(record(Ready, 1, 1), "a"))
	if diff := cmp.Diff([]Effect{BroadcastRecords{[]Record{want}}, Updated{want}}, d.Reduce(start.Add(leaseDuration), Tick{})); diff != "" {
		t.Fatal(diff)
	}
	d.Reduce(start.Add(leaseDuration+goneRetention), Tick{})
	if n := len(d.All()); n != 0 {
		t.Fatalf("%d records are kept for ever", n)
	}
}

func TestDigestRecoversLostMessage(t *testing.T) {
	a, b := New("a"), New("b")
	a.Reduce(start, Announced{record(Ready, 1, 1)}) // the message to b is lost
	effects := a.Reduce(start.Add(time.Second), Tick{})
	compare := effects[len(effects)-1].(BroadcastDigest)
	if diff := cmp.Diff([]Effect{RequestRecords{"a"}}, b.Reduce(start, DigestReceived{"a", compare.Digest})); diff != "" {
		t.Fatal(diff)
	}
	give := a.Reduce(start, RecordsRequested{"b"})[0].(SendRecords)
	b.Reduce(start, RecordsReceived{give.Records})
	if effects := b.Reduce(start, DigestReceived{"a", compare.Digest}); len(effects) != 0 {
		t.Fatalf("still differs: %v", effects)
	}
}
