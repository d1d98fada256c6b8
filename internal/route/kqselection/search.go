package kqselection

import (
	"slices"
	"time"
)

// maxBlindSearch is how long after the last usable load report a search counts as blind:
// several rounds of probes.
const maxBlindSearch = 8 * QueueProbeInterval

// Search tells a service without room from one whose load reports do not come in time. The
// zero value has had no report.
type Search struct {
	informedAt time.Time // when a choice was last made by a load report
}

// Record ends a round of probes: now is when a target was chosen from the list, or none. Only
// reports that are young enough at the choice count, however timely they arrived.
func (s *Search) Record(list []*Target, now time.Time) {
	if slices.ContainsFunc(list, func(t *Target) bool { return t.Informed(now) }) {
		s.informedAt = now
	}
}

// Blind reports whether no load report was there to choose by for several rounds of probes.
func (s *Search) Blind(now time.Time) bool { return now.Sub(s.informedAt) > maxBlindSearch }
