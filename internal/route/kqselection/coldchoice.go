package kqselection

import (
	"slices"
	"time"
)

// lastChance is how long before its latest start a request takes a cold target although it
// will be late there: a few rounds of probes.
const lastChance = 4 * QueueProbeInterval

// ToleratesCold reports whether a request loses little on a cold target: an answer that
// takes coldPenalty times the service time is in time, or the request is late anyway.
func ToleratesCold(now, startBy time.Time, serviceTime time.Duration) bool {
	slower := time.Duration((coldPenalty - 1) * float64(serviceTime))
	return !now.Add(slower).After(startBy) || now.Add(lastChance).After(startBy)
}

func (w *Waiter) toleratesCold(now time.Time) bool {
	return ToleratesCold(now, w.StartBy, w.ServiceTime)
}

// hasWarm reports whether one of the targets is not cold.
func hasWarm(list []*Target, now time.Time) bool {
	return slices.ContainsFunc(list, func(t *Target) bool { return !t.IsCold(now) })
}

// withoutCold removes the cold targets from those available to a request that does not
// tolerate them, unless all targets of the list are cold.
func withoutCold(available, list []*Target, now time.Time) []*Target {
	if !hasWarm(list, now) {
		return available
	}
	return slices.DeleteFunc(slices.Clone(available), func(t *Target) bool { return t.IsCold(now) })
}

// toleratesCold reports whether one of the queued requests tolerates a cold target.
func (q *Queue) toleratesCold(now time.Time) bool {
	return slices.ContainsFunc(q.waiters, func(w *Waiter) bool { return w.toleratesCold(now) })
}
