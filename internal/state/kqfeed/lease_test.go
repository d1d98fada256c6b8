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
		{"confirmed a while ago", peerQueryAge, -1, true, true},
		{"the lease has run out", LeaseDuration, -1, false, true},
		{"control is down for all", LeaseDuration * 10, time.Second, true, true},
		{"and now this host is cut off too", LeaseDuration * 10, LeaseDuration, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var l lease
			if c.confirmed >= 0 {
				l.confirm(start.Add(-c.confirmed))
			}
			if c.excused >= 0 {
				l.extend(start.Add(-c.excused))
			}
			if l.valid(start) != c.serves || l.needsPeers(start) != c.asks {
				t.Fatalf("serves %v, asks %v", l.valid(start), l.needsPeers(start))
			}
		})
	}
}
