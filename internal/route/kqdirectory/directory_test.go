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

// TestTargetMovesBetweenHosts checks that a target's announcements reach a second
// host, and that the target stays known when the first host is lost and the target
// announces itself to the second one.
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
		{"received by b", 0, b, RecordsReceived{[]Record{heldBy(record(Ready, 1, 1), "a")}}, []Effect{Updated{heldBy(record(Ready, 1, 1), "a")}}},
		{"a renewal is not broadcast", time.Second, a, Announced{record(Ready, 1, 2)}, []Effect{LoadReported{heldBy(record(Ready, 1, 2), "a")}}},
		{"an older announcement is refused", 0, a, Announced{record(Ready, 1, 1)}, []Effect{Refused{heldBy(record(Ready, 1, 2), "a")}}},
		{"a drain is broadcast", time.Second, a, Announced{record(Draining, 1, 3)}, []Effect{
			BroadcastRecords{[]Record{heldBy(record(Draining, 1, 3), "a")}}, Updated{heldBy(record(Draining, 1, 3), "a")}, LoadReported{heldBy(record(Draining, 1, 3), "a")},
		}},
		{"a late older message changes nothing", 0, b, RecordsReceived{[]Record{heldBy(record(Ready, 1, 1), "a")}}, nil},
		{"b receives the drain", 0, b, RecordsReceived{[]Record{heldBy(record(Draining, 1, 3), "a")}}, []Effect{Updated{heldBy(record(Draining, 1, 3), "a")}}},
		{"the link to a breaks", time.Second, b, LinkChanged{"a", false}, nil},
		{"the target is still known within the lease duration", leaseDuration - time.Second, b, Tick{}, nil},
		{"the target announces itself to b", 0, b, Announced{record(Draining, 1, 9)}, []Effect{
			BroadcastRecords{[]Record{heldBy(record(Draining, 1, 9), "b")}}, Updated{heldBy(record(Draining, 1, 9), "b")}, LoadReported{heldBy(record(Draining, 1, 9), "b")},
		}},
		{"an expiry reported by a is corrected", 0, b, RecordsReceived{[]Record{expired(heldBy(record(Draining, 1, 3), "a"))}}, []Effect{
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
		t.Fatalf("%d records remain after the retention of gone records", n)
	}
}

func TestDigestRecoversLostMessage(t *testing.T) {
	a, b := New("a"), New("b")
	a.Reduce(start, Announced{record(Ready, 1, 1)}) // the message to b is lost
	effects := a.Reduce(start.Add(time.Second), Tick{})
	broadcast := effects[len(effects)-1].(BroadcastDigest)
	if diff := cmp.Diff([]Effect{RequestRecords{"a"}}, b.Reduce(start, DigestReceived{"a", broadcast.Digest})); diff != "" {
		t.Fatal(diff)
	}
	sent := a.Reduce(start, RecordsRequested{"b"})[0].(SendRecords)
	b.Reduce(start, RecordsReceived{sent.Records})
	if effects := b.Reduce(start, DigestReceived{"a", broadcast.Digest}); len(effects) != 0 {
		t.Fatalf("digests still differ after the records were sent: %v", effects)
	}
}
