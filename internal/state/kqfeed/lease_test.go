package kqfeed

import (
	"testing"
	"time"
)

func TestLease(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	cases := []struct {
		name      string
		confirmed time.Duration // before now, negative: never
		excused   time.Duration // before now, negative: never
		serves    bool
		asks      bool
	}{
		{"never confirmed", -1, -1, false, false},
		{"never confirmed, but a majority is not either", -1, 0, false, false},
		{"just confirmed", 0, -1, true, false},
		{"confirmed a while ago", askAfter, -1, true, true},
		{"the lease has run out", LeaseTime, -1, false, true},
		{"control is down for all", LeaseTime * 10, time.Second, true, true},
		{"and now this host is cut off too", LeaseTime * 10, LeaseTime, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var l lease
			if c.confirmed >= 0 {
				l.confirm(start.Add(-c.confirmed))
			}
			if c.excused >= 0 {
				l.excuse(start.Add(-c.excused))
			}
			if l.serves(start) != c.serves || l.asks(start) != c.asks {
				t.Fatalf("serves %v, asks %v", l.serves(start), l.asks(start))
			}
		})
	}
}
