package kqselection

import (
	"testing"
	"time"
)

// TestBlindSearch guards against the verdict that a service has no room by reports that came
// in time, but were too old when a busy host chose a target.
func TestBlindSearch(t *testing.T) {
	for name, c := range map[string]struct {
		age   time.Duration // of the target's report at each choice, below 0: none
		blind bool
	}{
		"just reported":                      {0, false},
		"a report that is just young enough": {maxLoadAge, false},
		"in time, but too old at the choice": {maxLoadAge + time.Millisecond, true},
		"no answers":                         {-1, true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_764_843_130, 0)
			var s Search
			for range 10 {
				target := &Target{ID: "t", Slots: 4, Saturation: &Saturation{}}
				if c.age >= 0 {
					target.RecordLoad(Sample{Slots: 4, Slowdown: 1, At: now.Add(-c.age)})
				}
				s.Record([]*Target{target}, now)
				now = now.Add(QueueProbeInterval)
			}
			if s.Blind(now) != c.blind {
				t.Errorf("blind %v, want %v", s.Blind(now), c.blind)
			}
		})
	}
}
