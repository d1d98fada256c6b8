package kqevent

import (
	"testing"
	"time"
)

// TestCausesStandBeforeEffects passes messages between hosts whose wall clocks
// differ: an event after a message is later than the one before it was sent.
func TestCausesStandBeforeEffects(t *testing.T) {
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

func TestWildClockIsNotBelieved(t *testing.T) {
	base := time.Unix(1_700_000_000, 0)
	c := NewClock(func() time.Time { return base })
	c.Observe(Stamp{Wall: base.Add(time.Hour).UnixMicro()})
	if s := c.Next(); s.Wall != base.UnixMicro() {
		t.Fatalf("pulled to %v", s)
	}
}

func TestStampsAsWords(t *testing.T) {
	cases := []struct {
		word string
		want Stamp
		bad  bool
	}{
		{"", Stamp{}, false},
		{"12.3", Stamp{12, 3}, false},
		{"12", Stamp{}, true},
		{"x.3", Stamp{}, true},
		{"12.x", Stamp{Wall: 12}, true},
	}
	for _, c := range cases {
		got, err := ParseStamp(c.word)
		if (err != nil) != c.bad || got != c.want {
			t.Errorf("%q: %v %v", c.word, got, err)
		}
	}
}

func TestRecorderKeepsTheNewest(t *testing.T) {
	r := NewRecorder("e1", time.Now)
	for i := range KeptEvents + 10 {
		r.Add(Event{Kind: "k", Change: uint64(i)})
	}
	list, count := r.Since(Stamp{})
	if len(list) != KeptEvents || count != KeptEvents+10 || list[0].Change != 10 {
		t.Fatalf("%d kept of %d, first %d", len(list), count, list[0].Change)
	}
	half, _ := r.Since(list[len(list)/2].Time)
	if len(half) != len(list)/2-1 {
		t.Fatalf("%d after the middle", len(half))
	}
}
