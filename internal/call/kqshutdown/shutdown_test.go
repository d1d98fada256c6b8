package kqshutdown

import (
	"testing"
	"time"
)

// TestTakes guards against a request that is taken although it may outlast the shutdown.
func TestTakes(t *testing.T) {
	now := time.Unix(1_764_843_130, 0)
	end := now.Add(5 * time.Second)
	cases := []struct {
		name     string
		ends     []time.Time
		deadline time.Time
		want     bool
	}{
		{"no shutdown", nil, now.Add(time.Hour), true},
		{"ends in time", []time.Time{end}, now.Add(time.Second), true},
		{"ends with the shutdown", []time.Time{end}, end, false},
		{"leaves time to deliver the response", []time.Time{end}, end.Add(-deliveryTime), true},
		{"may outlast the shutdown", []time.Time{end}, end.Add(time.Second), false},
		{"the end was brought forward", []time.Time{end, now}, now.Add(time.Second), false},
	}
	for _, c := range cases {
		var s Shutdown
		for _, e := range c.ends {
			s.Begin(e)
		}
		if got := s.Takes(c.deadline); got != c.want || s.Begun() != (len(c.ends) > 0) {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
	}
}
