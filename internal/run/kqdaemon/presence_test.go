package kqdaemon

import (
	"testing"
	"time"
)

// TestHasSettled checks when a control host that has just started publishes the entry
// hosts: not a few of many, and not only when the last one has come.
func TestHasSettled(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name                  string
		ready, linked         int
		sinceLast, sinceStart time.Duration
		want                  bool
	}{
		{"none ready", 0, 300, 10 * ms, 500 * ms, false},
		{"a few of many", 20, 300, 10 * ms, 500 * ms, false},
		{"most of many, more to come", 260, 300, 10 * ms, 500 * ms, true},
		{"the first ones right after the start", 2, 2, 10 * ms, 50 * ms, false},
		{"no more to come", 20, 300, 300 * ms, 900 * ms, true},
		{"long after the start", 0, 0, time.Hour, 3 * time.Second, true},
	}
	for _, c := range cases {
		if got := hasSettled(c.ready, c.linked, c.sinceLast, c.sinceStart); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
