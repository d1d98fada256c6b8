package kqselection

import (
	"testing"
	"time"
)

// TestBlindSearch guards against two wrong verdicts on a busy or paused host: that a service
// has no room, by reports that were too old when the target was chosen, and that no reports
// come, because the host itself did not run.
func TestBlindSearch(t *testing.T) {
	const limit = 3 * QueueProbeInterval
	type round struct {
		pause  time.Duration // since the round before
		age    time.Duration // of the target's report at the choice, below 0: none
		full   bool          // what it reports
		begins bool          // no request waited before
	}
	repeat := func(n int, r round) (list []round) {
		for range n {
			list = append(list, r)
		}
		return list
	}
	full, usable, old := round{limit, time.Millisecond, true, false}, round{limit, maxLoadAge, false, false}, round{limit, maxLoadAge + time.Millisecond, false, false}
	silent := round{limit, -1, false, false}
	for name, c := range map[string]struct {
		rounds []round
		blind  bool
	}{
		"nothing known":                           {nil, true},
		"full":                                    {repeat(3, full), false},
		"a report that is just young enough":      {repeat(3, usable), false},
		"in time, but too old at each choice":     {repeat(3, old), true},
		"no answers":                              {repeat(3, silent), true},
		"no answers after a report, one round":    {[]round{full, silent}, false},
		"no answers after a report, three rounds": {append([]round{full}, repeat(3, silent)...), true},
		"paused after a report":                   {[]round{full, {time.Second, -1, false, false}}, false},
		"paused twice after a report":             {[]round{full, {time.Second, -1, false, false}, {time.Second, -1, false, false}}, false},
		"a report after no answers":               {append(repeat(5, silent), full), false},
		"full a moment ago, not probed yet":       {append([]round{full}, repeat(3, round{limit, fullReprobeDelay - 1, true, false})...), false},
		"first request after a quiet time":        {[]round{full, {time.Second, -1, false, true}}, true},
		"next request at once":                    {[]round{full, {limit, -1, false, true}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_764_843_130, 0)
			var s Search
			s.Begin(now)
			for _, r := range c.rounds {
				now = now.Add(r.pause)
				if r.begins {
					s.Begin(now)
				}
				target := &Target{ID: "t", Slots: 4, Saturation: &Saturation{}}
				if r.age >= 0 {
					sample := Sample{Slots: 4, Slowdown: 1, At: now.Add(-r.age)}
					if r.full {
						sample.Running, sample.Waiting = 4, 8
					}
					target.RecordLoad(sample)
				}
				s.Record([]*Target{target}, now, limit)
			}
			if s.Blind() != c.blind {
				t.Errorf("blind %v, want %v", s.Blind(), c.blind)
			}
		})
	}
}
