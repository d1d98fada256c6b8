package kqevent

import (
	"testing"
	"time"
)

// TestCausesStandBeforeEffects passes messages between hosts whose wall clocks
// differ: an event after a message is later than the one before it was sent.
func TestCausesOrderedBeforeEffects(t *testing.T) {
	base := time.Unix(1_700_000_000, 0)
	ahead := NewClock(func() time.Time { return base.Add(20 * time.Second) })
	behind := NewClock(func() time.Time { return base })
	for range 10 {
		cause := ahead.Next()
		behind.Observe(cause)
		effect := behind.Next()
		if !cause.Less(effect) {
			t.Fatalf("%v is not before %v", cause, effect)
		}
		ahead.Observe(effect)
		if later := ahead.Next(); !effect.Less(later) {
			t.Fatalf("%v is not before %v", effect, later)
		}
	}
}

func TestTimestampFarAheadIsIgnored(t *testing.T) {
	base := time.Unix(1_700_000_000, 0)
	c := NewClock(func() time.Time { return base })
	c.Observe(Timestamp{Wall: base.Add(time.Hour).UnixMicro()})
	if s := c.Next(); s.Wall != base.UnixMicro() {
		t.Fatalf("pulled to %v", s)
	}
}

func TestParseTimestamp(t *testing.T) {
	cases := []struct {
		word string
		want Timestamp
		bad  bool
	}{
		{"", Timestamp{}, false},
		{"12.3", Timestamp{12, 3}, false},
		{"12", Timestamp{}, true},
		{"x.3", Timestamp{}, true},
		{"12.x", Timestamp{Wall: 12}, true},
	}
	for _, c := range cases {
		got, err := ParseTimestamp(c.word)
		if (err != nil) != c.bad || got != c.want {
			t.Errorf("%q: %v %v", c.word, got, err)
		}
	}
}

func TestRecorderKeepsNewestEvents(t *testing.T) {
	r := NewRecorder("e1", time.Now)
	for i := range MaxEvents + 10 {
		r.Add(Event{Kind: "k", ContractRevision: uint64(i)})
	}
	list, count := r.Since(Timestamp{})
	if len(list) != MaxEvents || count != MaxEvents+10 || list[0].ContractRevision != 10 {
		t.Fatalf("%d kept of %d, first %d", len(list), count, list[0].ContractRevision)
	}
	half, _ := r.Since(list[len(list)/2].Time)
	if len(half) != len(list)/2-1 {
		t.Fatalf("%d after the middle", len(half))
	}
}
